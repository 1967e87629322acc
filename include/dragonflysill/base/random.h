#pragma once

#include <cstddef>
#include <cstdint>

namespace dragonflysill {

/**
 * A seeded pseudo-random generator (SplitMix64: Steele, Lea, Flood, "Fast Splittable Pseudorandom
 * Number Generators", 2014). The same seed gives the same sequence on every platform, which the
 * standard distributions do not guarantee.
 */
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : m_state(seed)
    {
    }

    /** Returns the next 64 random bits. */
    std::uint64_t next();

    /** Returns a uniformly distributed integer in [0, bound); bound must not be 0. */
    std::size_t below(std::size_t bound);

    /** Returns a uniformly distributed number in [0, 1). */
    double unit();

    /** Returns an exponentially distributed number with the given mean. */
    double exponential(double mean);

private:
    std::uint64_t m_state;
};

} // namespace dragonflysill
