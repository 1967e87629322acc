#include "dragonflysill/peers/framedelay.h"

#include <algorithm>
#include <utility>

namespace dragonflysill {

namespace internal {

/** Length of a window; short, so that drift between the clocks stays small. */
constexpr Duration windowLength = std::chrono::seconds(5);

} // namespace internal

Duration FrameDelay::observe(TimePoint sentAt, TimePoint receivedAt)
{
    const auto difference = receivedAt - sentAt;
    if (!m_smallest)
        m_windowStart = receivedAt;
    const auto known
            = std::min(m_smallest.value_or(difference), m_previousSmallest.value_or(difference));
    const auto delay = std::max<Duration>(Duration{0}, difference - known);
    if (receivedAt - m_windowStart >= internal::windowLength) {
        m_previousSmallest = std::exchange(m_smallest, std::nullopt);
        m_windowStart = receivedAt;
    }
    m_smallest = std::min(m_smallest.value_or(difference), difference);
    return delay;
}

} // namespace dragonflysill
