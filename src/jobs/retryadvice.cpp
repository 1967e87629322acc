#include "dragonflysill/jobs/retryadvice.h"

#include <algorithm>
#include <cmath>

namespace dragonflysill {

namespace internal {

/** Bounds of the mean delay in seconds; after the longest, callers have been away for too long. */
constexpr double minMeanDelay = 1;
constexpr double maxMeanDelay = 6;
/** Delays lie within this fraction of the mean above and below it. */
constexpr double spread = 0.5;
/** Largest delay of callers that return after a short outage. */
constexpr std::int64_t minLongestDelay = 2;

} // namespace internal

std::int64_t RetryAdvice::secondsAfter(Duration outage)
{
    const double mean
            = std::clamp(toSeconds(outage), internal::minMeanDelay, internal::maxMeanDelay);
    const auto shortest = std::max<std::int64_t>(1, std::llround(mean * (1 - internal::spread)));
    const auto longest
            = std::max(internal::minLongestDelay,
                       static_cast<std::int64_t>(std::llround(mean * (1 + internal::spread))));
    return shortest
           + static_cast<std::int64_t>(
                   m_random.below(static_cast<std::size_t>(longest - shortest + 1)));
}

} // namespace dragonflysill
