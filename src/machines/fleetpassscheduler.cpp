#include "dragonflysill/machines/fleetpassscheduler.h"

#include <algorithm>
#include <utility>

namespace dragonflysill {

namespace internal {

bool isOpen(const WaveStatus &wave)
{
    return wave.state == WaveState::Running || wave.state == WaveState::Paused;
}

bool isOpen(const JobStatus &job)
{
    return job.state == JobState::Waiting || job.state == JobState::Running;
}

bool leavesWork(const FleetReport &report)
{
    const FleetStatus &status = report.status;
    return report.error || report.placementError || report.writes > 0 || !status.moves.empty()
           || std::any_of(status.waves.begin(), status.waves.end(),
                          [](const auto &it) { return isOpen(it); })
           || std::any_of(status.jobs.begin(), status.jobs.end(),
                          [](const auto &it) { return isOpen(it); });
}

} // namespace internal

bool FleetPassScheduler::isPassNeeded(const PassTrigger &trigger, std::int64_t nowMs) const
{
    return m_pending || trigger != m_trigger || nowMs - m_lastMs >= idleInterval.count();
}

void FleetPassScheduler::recordPass(PassTrigger trigger, const FleetReport &report,
                                    std::int64_t nowMs)
{
    m_trigger = std::move(trigger);
    m_pending = internal::leavesWork(report);
    m_lastMs = nowMs;
}

} // namespace dragonflysill
