#include "dragonflysill/jobs/loadgovernor.h"

#include <algorithm>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** Length of the window over which the smallest delay is taken. */
constexpr Duration windowLength = 250ms;
/** Smallest loop delay of a window from which the node counts as overloaded. */
constexpr Duration overloadedLoopDelay = 15ms;
/** Smallest loop delay of a window below which the load counts as low. */
constexpr Duration lowLoopDelay = 5ms;
/** The same two bounds for the response time of workers. */
constexpr Duration overloadedResponseTime = 80ms;
constexpr Duration lowResponseTime = 40ms;
/** Factors of the stretch after a window with overload and with low load. */
constexpr double increase = 1.5;
constexpr double decrease = 0.8;
constexpr double maxStretch = 16;

} // namespace internal

void LoadGovernor::recordLoopDelay(Duration delay, TimePoint now)
{
    m_minLoopDelay = std::min(m_minLoopDelay, delay);
    endWindow(now);
}

void LoadGovernor::recordResponseTime(Duration time, TimePoint now)
{
    m_minResponseTime = std::min(m_minResponseTime, time);
    endWindow(now);
}

void LoadGovernor::endWindow(TimePoint now)
{
    if (now - m_windowStart < internal::windowLength)
        return;
    const bool responses = m_minResponseTime != Duration::max();
    const bool delays = m_minLoopDelay != Duration::max();
    const bool overloaded = (delays && m_minLoopDelay >= internal::overloadedLoopDelay)
                            || (responses && m_minResponseTime >= internal::overloadedResponseTime);
    const bool low = (!delays || m_minLoopDelay < internal::lowLoopDelay)
                     && (!responses || m_minResponseTime < internal::lowResponseTime);
    if (overloaded)
        m_stretch = std::min(m_stretch * internal::increase, internal::maxStretch);
    else if (low)
        m_stretch = std::max(m_stretch * internal::decrease, 1.0);
    m_windowStart = now;
    m_minLoopDelay = Duration::max();
    m_minResponseTime = Duration::max();
}

Duration LoadGovernor::stretched(Duration interval, Duration longest) const
{
    return std::min(scaled(interval, m_stretch), longest);
}

} // namespace dragonflysill
