#pragma once

#include "dragonflysill/base/random.h"
#include "dragonflysill/base/time.h"

#include <chrono>
#include <cstdint>

namespace dragonflysill {

/** The limits of a Backoff. */
struct BackoffLimits
{
    std::chrono::milliseconds first{50};
    std::chrono::milliseconds longest{2000};
};

/**
 * Exponential back-off: the delay doubles up to a limit, and a random half of it is jitter, so that
 * clients that failed together do not return together. Pure and seeded. Not thread-safe.
 */
class Backoff
{
public:
    explicit Backoff(std::uint64_t seed, BackoffLimits limits = {});

    /** Returns the delay after another failure. */
    Duration next();

    /** Starts over after a success. */
    void reset() { m_failures = 0; }

    /** Returns the failures since the last success. */
    [[nodiscard]] int failures() const { return m_failures; }

private:
    BackoffLimits m_limits;
    Random m_random;
    int m_failures = 0;
};

} // namespace dragonflysill
