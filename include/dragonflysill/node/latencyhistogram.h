#pragma once

#include "dragonflysill/base/time.h"

#include <array>
#include <cstdint>

namespace dragonflysill {

/** Counts durations in fixed buckets, for the metrics of a process with one thread. */
class LatencyHistogram
{
public:
    /** Upper bounds of the buckets in seconds: from a store call to a caller's longest wait. */
    static constexpr std::array bounds{0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
                                       0.5,   1.0,  2.5,   5.0,  10.0};

    /** Counts a duration. */
    void observe(Duration duration)
    {
        const double seconds = toSeconds(duration);
        std::size_t n = 0;
        while (n < bounds.size() && seconds > bounds.at(n))
            ++n;
        ++m_counts.at(n);
        m_sum += seconds;
    }

    /** Returns the count of each bucket; the last one has no bound. */
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
