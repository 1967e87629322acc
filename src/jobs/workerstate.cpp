#include "dragonflysill/jobs/workerstate.h"

#include "schedulerconstants.h"

namespace dragonflysill {

void WorkerClockEstimate::observe(WorkerClock clock, TimePoint now)
{
    m_clock = clock;
    m_observed = now;
    m_known = true;
}

WorkerClock WorkerClockEstimate::clockAt(TimePoint now, Duration ahead) const
{
    const auto passed = now - m_observed + ahead;
    return m_clock + std::chrono::duration_cast<Milliseconds>(passed).count();
}

TimePoint WorkerClockEstimate::latestTimeOf(WorkerClock clock) const
{
    const auto ms = static_cast<double>(clock - m_clock) / (1 - internal::maxClockDrift);
    return m_observed + Milliseconds(static_cast<std::int64_t>(ms) + 1);
}

bool WorkerClockEstimate::mayShow(WorkerClock clock, TimePoint now) const
{
    return !m_known || (clock >= m_clock && clock <= clockAt(now, internal::maxCallTime));
}

} // namespace dragonflysill
