#pragma once

#include <chrono>
#include <cstdint>

namespace dragonflysill {

/**
 * The clock type of Duration and TimePoint. It deliberately has no now(): decision code receives
 * the time as a parameter, so that tests can set it; only adapters read it, with steadyNow().
 */
struct DecisionClock
{
    using duration = std::chrono::nanoseconds; // NOLINT(readability-identifier-naming)
    using rep = duration::rep; // NOLINT(readability-identifier-naming)
    using period = duration::period; // NOLINT(readability-identifier-naming)
    using time_point = std::chrono::time_point<DecisionClock>; // NOLINT
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

using Duration = DecisionClock::duration;
using TimePoint = DecisionClock::time_point;

/** Converts a duration to seconds. */
inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/** Longest result of scaled(), 36 years; some of them can be added without an overflow. */
constexpr Duration maxScaled = Duration::max() / 8;

/**
 * Multiplies a duration by a factor; the result is truncated to whole nanoseconds and lies between
 * -maxScaled and maxScaled.
 */
inline Duration scaled(Duration duration, double factor)
{
    const double count = static_cast<double>(duration.count()) * factor;
    if (!(count > -static_cast<double>(maxScaled.count())))
        return -maxScaled;
    if (count >= static_cast<double>(maxScaled.count()))
        return maxScaled;
    return Duration(static_cast<Duration::rep>(count));
}

/** Returns the time of the system's monotonic clock. Only adapters and programs may call it. */
TimePoint steadyNow();

/** Returns milliseconds since the Unix epoch, for time stamps that outlive the process. */
std::int64_t unixMilliseconds();

} // namespace dragonflysill
