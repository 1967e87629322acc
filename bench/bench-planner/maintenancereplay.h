#pragma once

#include "dragonflysill/base/random.h"
#include "dragonflysill/machines/waveplanner.h"

#include <cstdint>
#include <string>

namespace dragonflysill {

/** The results of a replay. */
struct ReplayResult
{
    double maintained = 0; ///< Instances maintained by the wave.
    double days = 0; ///< Time until the wave was finished, or the length of the replay.
    double hoursOverBudget = 0;
    double calculatedDays
            = 0; ///< Shortest possible time without failures: instances * step / maxParallel.
    double meanDecisionMs = 0;
};

/**
 * Replays five weeks of one maintenance order over 8,100 instances in 259 pools, seven availability
 * zones and racks of four, with 140 failures a day and a failed rack each week. Moves are not
 * simulated: an admitted instance is in maintenance until the next step, and a failed one is
 * repaired after four hours.
 */
class MaintenanceReplay
{
public:
    explicit MaintenanceReplay(std::uint64_t seed);

    ReplayResult run();

private:
    /** Half an hour, the time for drain, reboot and slow start of one instance. */
    static constexpr std::int64_t stepMs = 1'800'000;
    static constexpr std::int64_t repairMs = 4LL * 3'600'000;
    static constexpr int steps = 35 * 48;
    static constexpr int maxParallel = 12;

    void declare();
    void injectFailures(int step);
    void failInstance(InstanceRecord &record);
    void completeRepairsAndMaintenance();
    void decide(ReplayResult &result);
    [[nodiscard]] double hoursOverBudget() const;

    Random m_random;
    FleetInputs m_inputs;
    ByName<DeclaredInstance> m_declared;
    ByName<WaveProgress> m_waves;
    std::vector<InstanceRecord *> m_records;
};

} // namespace dragonflysill
