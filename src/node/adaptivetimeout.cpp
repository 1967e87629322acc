#include "dragonflysill/node/adaptivetimeout.h"

#include <algorithm>

namespace dragonflysill {

namespace internal {

/** Ratio of the timeout to the time that the last response took. */
constexpr int responseTimeFactor = 4;

} // namespace internal

void AdaptiveTimeout::recordResponse(Duration elapsed, TimePoint now)
{
    m_lastResponseAt = now;
    m_current = std::clamp(internal::responseTimeFactor * elapsed, m_minimum, m_maximum);
}

void AdaptiveTimeout::recordTimeout(TimePoint sentAt)
{
    // If another response came since this call was sent, only this one was lost; otherwise the
    // store may be slow.
    if (m_lastResponseAt < sentAt)
        m_current = std::min(2 * m_current, m_maximum);
}

} // namespace dragonflysill
