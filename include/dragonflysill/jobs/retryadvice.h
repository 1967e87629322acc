#pragma once

#include "dragonflysill/base/random.h"
#include "dragonflysill/base/time.h"

#include <cstdint>

namespace dragonflysill {

/**
 * Chooses the Retry-After of rejected submissions. Callers try only a few times, so the delay grows
 * with the time for which nothing could be accepted: an outage that has lasted for seconds is
 * likely to last as long again. The delays are spread, so that callers do not return together.
 */
class RetryAdvice
{
public:
    explicit RetryAdvice(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /**
     * Returns the value of a Retry-After header.
     * @param outage time for which no submission could be accepted; 0 for a single rejection
     * @return whole seconds, at least 1
     */
    [[nodiscard]] std::int64_t secondsAfter(Duration outage);

private:
    Random m_random;
};

} // namespace dragonflysill
