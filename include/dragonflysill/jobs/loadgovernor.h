#pragma once

#include "dragonflysill/base/time.h"

namespace dragonflysill {

/**
 * Tells an overloaded owner of the schedule how far to stretch the intervals of work that gets
 * cheaper when it is done less often: several ends of runs then share a report, and several events
 * a decision. Without this, the work for each event would take the time of the events after it.
 *
 * The load is judged by the smallest delay within a window: if even the most punctual event was
 * late, a queue has built up for the processor or on the link; a single late event says little.
 */
class LoadGovernor
{
public:
    /** Records how late the event loop ran a timer. */
    void recordLoopDelay(Duration delay, TimePoint now);

    /** Records the time that a worker took to answer an order. */
    void recordResponseTime(Duration time, TimePoint now);

    /** Returns the factor, at least 1, by which intervals are stretched. */
    [[nodiscard]] double stretch() const { return m_stretch; }

    /** Returns a stretched interval that is not longer than @p longest. */
    [[nodiscard]] Duration stretched(Duration interval, Duration longest) const;

private:
    void endWindow(TimePoint now);

    double m_stretch = 1;
    TimePoint m_windowStart{};
    Duration m_minLoopDelay = Duration::max();
    Duration m_minResponseTime = Duration::max();
};

} // namespace dragonflysill
