#include "dragonflysill/base/backoff.h"

#include <algorithm>

namespace dragonflysill {

Backoff::Backoff(std::uint64_t seed, BackoffLimits limits)
    : m_limits(limits)
    , m_random(seed)
{
}

Duration Backoff::next()
{
    // Larger exponents exceed any sensible limit and would overflow.
    constexpr int maxExponent = 20;
    const int exponent = std::min(m_failures++, maxExponent);
    const Duration delay
            = std::min<Duration>(m_limits.first * (std::int64_t{1} << exponent), m_limits.longest);
    const double jitterFactor = 0.5 + m_random.unit() / 2;
    return scaled(delay, jitterFactor);
}

} // namespace dragonflysill
