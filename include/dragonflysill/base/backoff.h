#pragma once

#include "dragonflysill/base/random.h"
#include "dragonflysill/base/time.h"

#include <chrono>
#include <cstdint>

namespace dragonflysill {

/** The delays of a Backoff. */
struct BackoffLimits
{
    std::chrono::milliseconds first{50}; ///< Delay after the first failure.
    std::chrono::milliseconds longest{2000}; ///< Upper limit of the delay.
};

/**
 * Exponential back-off with jitter: the delay doubles up to a limit, and up to half of it is
 * removed at random, so that clients that failed at the same time do not retry at the same time.
 * The same seed gives the same delays. Not thread-safe.
 */
class Backoff
{
public:
    explicit Backoff(std::uint64_t seed, BackoffLimits limits = {});

    /** Counts a failure and returns the delay before the next attempt. */
    Duration next();

    /** Resets the count of failures after a success. */
    void reset() { m_failures = 0; }

    /** Returns the number of failures since the last success. */
    [[nodiscard]] int failures() const { return m_failures; }

private:
    BackoffLimits m_limits;
    Random m_random;
    int m_failures = 0;
};

} // namespace dragonflysill
