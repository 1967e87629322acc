#include "dragonflysill/links/latencyestimate.h"

#include <chrono>

namespace dragonflysill {

namespace internal {

// Smaller gains than the 1/8 and 1/4 of the paper: there is a sample for every request, and a
// single long response must not change admission.
constexpr int meanDivisor = 32;
constexpr int deviationDivisor = 16;

} // namespace internal

void LatencyEstimate::add(Duration sample)
{
    if (!m_hasSamples) {
        m_hasSamples = true;
        m_mean = sample;
        m_deviation = sample / 2;
        return;
    }
    const Duration error = sample - m_mean;
    m_mean += error / internal::meanDivisor;
    m_deviation += (std::chrono::abs(error) - m_deviation) / internal::deviationDivisor;
}

} // namespace dragonflysill
