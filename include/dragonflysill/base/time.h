#pragma once

#include <chrono>
#include <cstdint>

namespace dragonflysill {

/**
 * The clock type of all decisions. It has no now() on purpose: decision code receives the time as
 * a parameter, adapters read it with steadyNow(), tests set it.
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

/** Returns a length of time in seconds. */
inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/** Returns a multiple of a length of time, cut to whole nanoseconds. */
inline Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

/** Returns the machine's monotonic time. Only adapters and programs call it. */
TimePoint steadyNow();

/** Returns milliseconds since the Unix epoch, for records that outlive the process. */
std::int64_t unixMilliseconds();

} // namespace dragonflysill
