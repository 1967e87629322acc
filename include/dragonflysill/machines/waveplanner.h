#pragma once

#include "dragonflysill/machines/moveplanner.h"
#include "dragonflysill/machines/wavebudget.h"
#include "dragonflysill/machines/waveprogress.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/** The next state of a wave. */
struct WaveVerdict
{
    std::optional<WaveProgress> progress; ///< Nothing if the stored wave is to be deleted.
    int total = 0; ///< Instances that the order covers.
    std::string reason; ///< Why the wave is paused or makes no progress; empty otherwise.
    std::string remedy;
};

/**
 * Decides which instances a maintenance order takes out next. Instances of one availability zone
 * are taken at a time, rack by rack. Failures count against the budget of their pool; a wave that
 * may take out nothing because of them pauses and resumes when they are repaired. An instance is
 * done when the platform's list showed it as leaving and then as live, and it serves again. Pure.
 */
class WavePlanner
{
public:
    /**
     * @param inputs what the pass reads
     * @param declared the declared instances without loans
     * @param budget shared by all waves of the pass; all three must outlive the object
     */
    WavePlanner(const FleetInputs &inputs, const ByName<DeclaredInstance> &declared,
                WaveBudget &budget);

    /**
     * Decides for one wave.
     * @param order the order, or null if it was deleted
     * @param stored the stored progress, or null before the first decision; one must be given
     */
    WaveVerdict decide(const Maintenance *order, const WaveProgress *stored);

private:
    WaveVerdict stop(WaveProgress progress, bool deleted) const;
    void updateActive(WaveProgress &progress) const;
    [[nodiscard]] std::vector<std::string> candidates(const WaveProgress &progress) const;
    bool admit(const Maintenance &order, const std::vector<std::string> &names,
               WaveProgress &progress);
    void setState(const Maintenance &order, WaveProgress &progress, bool remaining, bool admitted,
                  WaveVerdict &verdict) const;
    void explainBlocked(const WaveProgress &progress, WaveVerdict &verdict) const;
    [[nodiscard]] const InstanceRecord *recordOf(std::string_view name) const;
    [[nodiscard]] std::optional<PlatformState> platformState(std::string_view name) const;
    [[nodiscard]] int total(const WaveProgress &progress) const;

    const FleetInputs &m_inputs;
    const ByName<DeclaredInstance> &m_declared;
    WaveBudget &m_budget;
};

/** Returns what the waves in progress want for an instance. */
MaintenanceNeed maintenanceNeed(const FleetInputs &inputs, const ByName<WaveProgress> &waves,
                                std::string_view name);

} // namespace dragonflysill
