#pragma once

#include "dragonflysill/base/random.h"
#include "dragonflysill/machines/waveplanner.h"

#include <cstdint>
#include <string>

namespace dragonflysill {

/** What a replay of the wave decision measured. */
struct ReplayResult
{
    double maintained = 0; ///< Instances that the wave finished.
    double days = 0; ///< Time until the last one, or the whole time.
    double hoursOverBudget = 0;
    double calculatedDays = 0; ///< Instances * step / parallel, without any failure.
    double meanDecisionMs = 0;
};

/**
 * Replays five weeks of one maintenance order over 8,100 instances in 259 pools, seven availability
 * zones and racks of four, with 140 failures a day and a failed rack each week. Fakes replace the
 * moves: an admitted instance is in maintenance until the next step, a failed one for four hours.
 */
class MaintenanceReplay
{
public:
    explicit MaintenanceReplay(std::uint64_t seed);

    ReplayResult run();

private:
    /** Half an hour for drain, reboot and slow start of one instance. */
    static constexpr std::int64_t stepMs = 1'800'000;
    static constexpr std::int64_t repairMs = 4LL * 3'600'000;
    static constexpr int steps = 35 * 48;
    static constexpr int parallel = 12;

    void declare();
    void fail(int step);
    void failInstance(InstanceRecord &record);
    void advance();
    void decide(ReplayResult &result);
    [[nodiscard]] double overBudget() const;

    Random m_random;
    FleetInputs m_inputs;
    ByName<DeclaredInstance> m_declared;
    ByName<WaveProgress> m_waves;
    std::vector<InstanceRecord *> m_records;
};

} // namespace dragonflysill
