#include "dragonflysill/jobs/workerstate.h"

#include "schedulertimes.h"

namespace dragonflysill {

void WorkerTime::observe(WorkerClock clock, TimePoint now)
{
    m_clock = clock;
    m_observed = now;
    m_known = true;
}

WorkerClock WorkerTime::at(TimePoint now, Duration ahead) const
{
    const auto passed = now - m_observed + ahead;
    return m_clock + std::chrono::duration_cast<Milliseconds>(passed).count();
}

TimePoint WorkerTime::latest(WorkerClock clock) const
{
    const auto ms = static_cast<double>(clock - m_clock) / (1 - internal::clockDrift);
    return m_observed + Milliseconds(static_cast<std::int64_t>(ms) + 1);
}

} // namespace dragonflysill
