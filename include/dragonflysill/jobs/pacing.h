#pragma once

#include "dragonflysill/base/time.h"

namespace dragonflysill {

/**
 * Controls the speed of the best-effort tasks of a worker beside tasks with a latency target. When
 * the latency of one of these approaches its target, the best-effort tasks are slowed down at
 * once; they are sped up in small steps after the latency has been low for a while. Missed targets
 * harm users within seconds, while best-effort work can be made up for later.
 */
class Pacing
{
public:
    /**
     * Updates the speed from a latency measurement.
     * @param worstRatio highest ratio of tail latency to latency target among the worker's tasks;
     *     0 if no task has a target
     */
    void observe(double worstRatio, TimePoint now);

    /** Returns the share of their full speed that best-effort tasks may use, in percent. */
    [[nodiscard]] int percent() const { return m_percent; }

private:
    int m_percent = 100;
    TimePoint m_changedAt{};
    TimePoint m_belowThresholdSince{};
};

} // namespace dragonflysill
