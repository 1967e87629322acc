#pragma once

#include "dragonflysill/base/time.h"

#include <array>
#include <cstdint>

namespace dragonflysill {

/** Histogram of durations with fixed buckets, for metrics. Not thread-safe. */
class LatencyHistogram
{
public:
    /**
     * Upper bounds of the buckets in seconds; they range from one store call to the longest time
     * that a caller waits.
     */
    static constexpr std::array bounds{0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
                                       0.5,   1.0,  2.5,   5.0,  10.0};

    /** Adds a duration to its bucket. */
    void observe(Duration duration)
    {
        const double seconds = toSeconds(duration);
        std::size_t n = 0;
        while (n < bounds.size() && seconds > bounds.at(n))
            ++n;
        ++m_counts.at(n);
        m_sum += seconds;
    }

    /** Returns the count of each bucket; the last bucket has no upper bound. */
    [[nodiscard]] const std::array<std::uint64_t, bounds.size() + 1> &counts() const
    {
        return m_counts;
    }

    /** Returns the sum of all durations in seconds. */
    [[nodiscard]] double sum() const { return m_sum; }

private:
    std::array<std::uint64_t, bounds.size() + 1> m_counts{};
    double m_sum = 0;
};

} // namespace dragonflysill
