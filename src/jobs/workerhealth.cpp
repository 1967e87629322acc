#include "dragonflysill/jobs/workerhealth.h"

#include <algorithm>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** Failures of different jobs in a row that put a worker in quarantine. */
constexpr std::size_t quarantineFailures = 2;
/** First quarantine; doubled with each repetition up to the longest one. */
constexpr Duration firstQuarantine = 3s;
constexpr Duration longestQuarantine = 12s;
/** Ratio of run times above which a worker is slow; those of equal tasks differ by half. */
constexpr double slowAbove = 2.5;
/** Part of the pace that one run makes up, and how long it is relied on without another. */
constexpr double paceWeight = 0.4;
constexpr Duration paceMemory = 3s;
/** How long one failure keeps second attempts away. */
constexpr Duration suspicion = 4s;

} // namespace internal

void WorkerHealth::observePace(double ratio, TimePoint now)
{
    // A single run may be larger than its job declared: it counts in part.
    const double before = now - m_paceAt < internal::paceMemory ? m_pace : 1.0;
    m_pace = before + internal::paceWeight * (ratio - before);
    m_paceAt = now;
}

bool WorkerHealth::slow(TimePoint now) const
{
    return m_pace > internal::slowAbove && now - m_paceAt < internal::paceMemory;
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
    m_quarantinedUntil = now + std::min(length, internal::longestQuarantine);
    if (m_failures.size() >= internal::quarantineFailures)
        ++m_quarantines;
}

void WorkerHealth::exonerate(std::string_view job)
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
           || (!m_failures.empty() && now - m_failures.back().at < internal::suspicion);
}

} // namespace dragonflysill
