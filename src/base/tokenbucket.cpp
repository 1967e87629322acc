#include "dragonflysill/base/tokenbucket.h"

#include <algorithm>
#include <chrono>

namespace dragonflysill {

namespace internal {

using Seconds = std::chrono::duration<double>;

} // namespace internal

TokenBucket::TokenBucket(double tokensPerSecond, double burst)
    : m_tokensPerSecond(tokensPerSecond)
    , m_capacity(std::max(burst, 1.0))
    , m_tokens(m_capacity)
{
}

double TokenBucket::tokensAt(TimePoint now) const
{
    const double elapsed = internal::Seconds(now - m_lastUpdate).count();
    return std::min(m_capacity, m_tokens + std::max(elapsed, 0.0) * m_tokensPerSecond);
}

bool TokenBucket::take(TimePoint now)
{
    // At the time that availableAt() returned, the tokens may be below 1 by a rounding error.
    constexpr double tolerance = 1e-6;
    m_tokens = tokensAt(now);
    m_lastUpdate = std::max(m_lastUpdate, now);
    if (m_tokens < 1 - tolerance)
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
                   internal::Seconds(missing / m_tokensPerSecond));
}

void TokenBucket::setRate(double tokensPerSecond, TimePoint now)
{
    m_tokens = tokensAt(now);
    m_lastUpdate = std::max(m_lastUpdate, now);
    m_tokensPerSecond = tokensPerSecond;
}

} // namespace dragonflysill
