#pragma once

#include "dragonflysill/base/time.h"

namespace dragonflysill {

/**
 * A token bucket that limits the rate of calls to the store. Callers pass the current time. Not
 * thread-safe.
 */
class TokenBucket
{
public:
    /**
     * @param tokensPerSecond tokens that are added per second
     * @param burst capacity of the bucket, raised to at least 1; the bucket starts full
     */
    TokenBucket(double tokensPerSecond, double burst);

    /** Takes a token; returns false if none is available. */
    bool take(TimePoint now);

    /** Returns the time at which a token is available; @p now if one is available already. */
    [[nodiscard]] TimePoint availableAt(TimePoint now) const;

    /** Changes the rate from @p now on; the tokens in the bucket are kept. */
    void setRate(double tokensPerSecond, TimePoint now);

private:
    [[nodiscard]] double tokensAt(TimePoint now) const;

    double m_tokensPerSecond;
    double m_capacity;
    double m_tokens;
    TimePoint m_lastUpdate{};
};

} // namespace dragonflysill
