#include "dragonflysill/links/retrypolicy.h"

#include <algorithm>

namespace dragonflysill {

RetryPolicy::RetryPolicy(std::uint64_t seed)
    : m_random(seed)
{
}

void RetryPolicy::requestArrived()
{
    m_tokens = std::min(maxTokens, m_tokens + tokensPerRequest);
}

std::optional<Duration> RetryPolicy::nextAttempt(const AttemptHistory &history)
{
    if (history.result == AttemptResult::Refused) {
        if (history.refusals > maxRefusals)
            return std::nullopt;
        return Duration(0);
    }
    if (history.byteSent && !history.repeatable)
        return std::nullopt;
    if (history.retries >= maxRetries || m_tokens < 1)
        return std::nullopt;
    const Duration delay = backoff(history.retries);
    if (delay >= history.remaining)
        return std::nullopt;
    m_tokens -= 1;
    return delay;
}

Duration RetryPolicy::backoff(int retries)
{
    // Full jitter (Brooker, "Exponential Backoff and Jitter", 2015) spreads retries over time.
    constexpr std::chrono::milliseconds base{5};
    const Duration longest = base * (1 << retries);
    return std::chrono::duration_cast<Duration>(m_random.unit() * longest);
}

} // namespace dragonflysill
