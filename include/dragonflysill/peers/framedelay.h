#pragma once

#include "dragonflysill/base/time.h"

#include <optional>

namespace dragonflysill {

/**
 * Tells how late frames arrive from the sender's and the receiver's monotonic clocks, which have
 * unrelated epochs: the smallest difference seen lately stands for a frame without delay. A
 * receiver that was paused and a link that held frames back both show as a delay.
 */
class FrameDelay
{
public:
    /**
     * Returns the delay of a frame relative to the fastest frame of the last seconds.
     * @param sentAt time on the sender's clock
     * @param receivedAt time on the receiver's clock
     */
    Duration observe(TimePoint sentAt, TimePoint receivedAt);

private:
    std::optional<Duration> m_smallest; ///< Of the current window.
    std::optional<Duration> m_previousSmallest; ///< Of the window before.
    TimePoint m_windowStart{};
};

} // namespace dragonflysill
