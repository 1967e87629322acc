#pragma once

#include "dragonflysill/base/time.h"

namespace dragonflysill {

/**
 * A token bucket that limits calls to the store. Pure: the time is a parameter. Not thread-safe.
 */
class TokenBucket
{
public:
    /**
     * @param callsPerSecond tokens that are added each second
     * @param burst tokens that can be saved up, at least 1; the bucket starts full
     */
    TokenBucket(double callsPerSecond, double burst);

    /** Takes a token if there is one. */
    bool take(TimePoint now);

    /** Returns when the next token is available; @p now if there is one. */
    [[nodiscard]] TimePoint availableAt(TimePoint now) const;

    /** Changes the rate; the tokens in the bucket are kept. */
    void setRate(double callsPerSecond, TimePoint now);

private:
    [[nodiscard]] double tokensAt(TimePoint now) const;

    double m_callsPerSecond;
    double m_burst;
    double m_tokens;
    TimePoint m_updated{};
};

} // namespace dragonflysill
