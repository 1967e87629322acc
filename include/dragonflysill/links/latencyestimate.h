#pragma once

#include "dragonflysill/base/time.h"

namespace dragonflysill {

/**
 * Running mean and mean deviation of service times (Jacobson, "Congestion Avoidance and Control",
 * 1988, appendix A).
 */
class LatencyEstimate
{
public:
    /** Adds the duration of one complete response. */
    void add(Duration sample);

    /** Returns true if a sample was added. */
    [[nodiscard]] bool hasSamples() const { return m_hasSamples; }

    [[nodiscard]] Duration mean() const { return m_mean; }

    /** Returns the mean plus @p deviations times the mean deviation. */
    [[nodiscard]] Duration upperBound(int deviations) const
    {
        return m_mean + deviations * m_deviation;
    }

private:
    Duration m_mean{0};
    Duration m_deviation{0};
    bool m_hasSamples = false;
};

} // namespace dragonflysill
