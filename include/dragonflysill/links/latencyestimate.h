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

    /** Returns true once a sample was added. */
    [[nodiscard]] bool known() const { return m_known; }

    [[nodiscard]] Duration mean() const { return m_mean; }

    /** Returns the mean plus @p deviations mean deviations. */
    [[nodiscard]] Duration bound(int deviations) const { return m_mean + deviations * m_deviation; }

private:
    Duration m_mean{0};
    Duration m_deviation{0};
    bool m_known = false;
};

} // namespace dragonflysill
