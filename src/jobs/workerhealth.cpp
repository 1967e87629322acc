#include "dragonflysill/jobs/workerhealth.h"

#include <algorithm>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** Number of different jobs with consecutive failures that puts a worker in quarantine. */
constexpr std::size_t quarantineFailures = 2;
/** Duration of the first quarantine; doubled with each repetition up to the maximum. */
constexpr Duration firstQuarantine = 3s;
constexpr Duration maxQuarantine = 12s;
/** Slowdown above which a worker counts as slow; run times of equal tasks differ by half. */
constexpr double slowThreshold = 2.5;
/** Weight of a single run in the smoothed slowdown. */
constexpr double slowdownWeight = 0.4;
/** Time for which the slowdown is valid after the last observation. */
constexpr Duration slowdownValidity = 3s;
/** Time after a failure during which further attempts of failed tasks avoid the worker. */
constexpr Duration suspectTime = 4s;

} // namespace internal

void WorkerHealth::observeSlowdown(double ratio, TimePoint now)
{
    // A single run may be larger than its job declared, so it only counts in part.
    const double before = now - m_slowdownAt < internal::slowdownValidity ? m_slowdown : 1.0;
    m_slowdown = before + internal::slowdownWeight * (ratio - before);
    m_slowdownAt = now;
}

bool WorkerHealth::slow(TimePoint now) const
{
    return m_slowdown > internal::slowThreshold && now - m_slowdownAt < internal::slowdownValidity;
}

void WorkerHealth::succeeded(TimePoint now)
{
    m_succeededAt = now;
    m_failures.clear();
    if (!quarantined(now))
        m_quarantines = 0;
}

void WorkerHealth::failed(std::string_view job, TimePoint now)
{
    std::erase_if(m_failures, [&](const Failure &it) { return it.job == job; });
    m_failures.push_back({std::string(job), now});
    if (m_failures.size() < internal::quarantineFailures && m_quarantines == 0)
        return;
    Duration length = internal::firstQuarantine * (1 << std::min(m_quarantines, 4));
    m_quarantinedUntil = now + std::min(length, internal::maxQuarantine);
    if (m_failures.size() >= internal::quarantineFailures)
        ++m_quarantines;
}

void WorkerHealth::discardFailures(std::string_view job)
{
    const auto removed
            = std::erase_if(m_failures, [&](const Failure &it) { return it.job == job; });
    if (removed > 0 && m_failures.size() < internal::quarantineFailures) {
        m_quarantinedUntil = {};
        m_quarantines = 0;
    }
}

bool WorkerHealth::suspect(TimePoint now) const
{
    return quarantined(now)
           || (!m_failures.empty() && now - m_failures.back().at < internal::suspectTime);
}

} // namespace dragonflysill
