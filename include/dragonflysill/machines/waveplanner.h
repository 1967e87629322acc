#pragma once

#include "dragonflysill/machines/moveplanner.h"
#include "dragonflysill/machines/wavebudget.h"
#include "dragonflysill/machines/waveprogress.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/** The next state of a wave, with its explanation for operators. */
struct WavePlan
{
    std::optional<WaveProgress> progress; ///< Empty if the stored wave is to be deleted.
    int total = 0; ///< Instances that the order covers.
    std::string reason; ///< Why the wave is paused or makes no progress; empty otherwise.
    std::string remedy; ///< What an operator can do about the reason.
};

/**
 * Selects the instances that a maintenance order takes out of service next: those of one
 * availability zone at a time, rack by rack. Failed instances count against the budget of their
 * pool. If they use up the budget, the wave pauses until they are repaired. An instance is done
 * when the platform's list showed it as leaving and then as live, and it serves again. The result
 * depends only on the inputs.
 */
class WavePlanner
{
public:
    /**
     * @param inputs the inputs of the pass
     * @param declared the declared instances, with all spares in the spare pool
     * @param budget the budgets, shared by all waves of the pass; all three must outlive the object
     */
    WavePlanner(const FleetInputs &inputs, const ByName<DeclaredInstance> &declared,
                WaveBudget &budget);

    /**
     * Returns the next state of one wave.
     * @param order the order, or null if it was deleted
     * @param stored the stored progress, or null for a new order; not null if @p order is null
     */
    WavePlan decide(const Maintenance *order, const WaveProgress *stored);

private:
    WavePlan cancel(WaveProgress progress, bool deleted) const;
    void updateActiveInstances(WaveProgress &progress) const;
    [[nodiscard]] std::vector<std::string> candidates(const WaveProgress &progress) const;
    bool admit(const Maintenance &order, const std::vector<std::string> &names,
               WaveProgress &progress);
    void updateState(const Maintenance &order, WaveProgress &progress, bool remaining,
                     bool admitted, WavePlan &plan) const;
    void describeBlocked(const WaveProgress &progress, WavePlan &plan) const;
    [[nodiscard]] const InstanceRecord *findRecord(std::string_view name) const;
    [[nodiscard]] std::optional<PlatformState> platformState(std::string_view name) const;
    [[nodiscard]] int total(const WaveProgress &progress) const;

    const FleetInputs &m_inputs;
    const ByName<DeclaredInstance> &m_declared;
    WaveBudget &m_budget;
};

/** Returns the maintenance step that an instance needs according to the waves in progress. */
MaintenanceNeed maintenanceNeed(const FleetInputs &inputs, const ByName<WaveProgress> &waves,
                                std::string_view name);

} // namespace dragonflysill
