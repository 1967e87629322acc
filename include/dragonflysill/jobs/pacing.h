#pragma once

#include "dragonflysill/base/time.h"

namespace dragonflysill {

/**
 * Decides how fast tasks that use leftover capacity may work beside tasks that serve their own
 * users. When a serving task nears its latency target they are slowed down at once, and let go on
 * in small steps when there has been room for a while: users are harmed within seconds, lost
 * filling work can be made up for.
 */
class Pacing
{
public:
    /**
     * Takes over a measurement.
     * @param worstRatio highest ratio of tail latency to target of the worker's serving tasks; 0 if
     *     there are none
     */
    void observe(double worstRatio, TimePoint now);

    /** Returns the share of their speed that filling tasks may use, in percent. */
    [[nodiscard]] int percent() const { return m_percent; }

private:
    int m_percent = 100;
    TimePoint m_changedAt{};
    TimePoint m_calmSince{};
};

} // namespace dragonflysill
