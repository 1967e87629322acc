#include "dragonflysill/links/latencyestimate.h"

#include <chrono>

namespace dragonflysill {

namespace internal {

// Gains of the original estimator: 1/8 for the mean, 1/4 for the deviation.
constexpr int meanDivisor = 8;
constexpr int deviationDivisor = 4;

} // namespace internal

void LatencyEstimate::add(Duration sample)
{
    if (!m_known) {
        m_known = true;
        m_mean = sample;
        m_deviation = sample / 2;
        return;
    }
    const Duration error = sample - m_mean;
    m_mean += error / internal::meanDivisor;
    m_deviation += (std::chrono::abs(error) - m_deviation) / internal::deviationDivisor;
}

} // namespace dragonflysill
