#include "dragonflysill/base/tokenbucket.h"

#include <algorithm>
#include <chrono>

namespace dragonflysill {

namespace internal {

using Seconds = std::chrono::duration<double>;

} // namespace internal

TokenBucket::TokenBucket(double callsPerSecond, double burst)
    : m_callsPerSecond(callsPerSecond)
    , m_burst(std::max(burst, 1.0))
    , m_tokens(m_burst)
{
}

double TokenBucket::tokensAt(TimePoint now) const
{
    const double elapsed = internal::Seconds(now - m_updated).count();
    return std::min(m_burst, m_tokens + std::max(elapsed, 0.0) * m_callsPerSecond);
}

bool TokenBucket::take(TimePoint now)
{
    // A token that becomes available at availableAt() may be short of 1 by a rounding error.
    constexpr double roundingError = 1e-6;
    m_tokens = tokensAt(now);
    m_updated = std::max(m_updated, now);
    if (m_tokens < 1 - roundingError)
        return false;
    m_tokens = std::max(m_tokens - 1, 0.0);
    return true;
}

TimePoint TokenBucket::availableAt(TimePoint now) const
{
    const double missing = 1 - tokensAt(now);
    if (missing <= 0)
        return now;
    return now
           + std::chrono::ceil<std::chrono::microseconds>(
                   internal::Seconds(missing / m_callsPerSecond));
}

void TokenBucket::setRate(double callsPerSecond, TimePoint now)
{
    m_tokens = tokensAt(now);
    m_updated = std::max(m_updated, now);
    m_callsPerSecond = callsPerSecond;
}

} // namespace dragonflysill
