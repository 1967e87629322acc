#pragma once

#include "dragonflysill/base/backoff.h"
#include "dragonflysill/base/time.h"
#include "dragonflysill/store/store.h"

#include <functional>
#include <string>

namespace dragonflysill {

/** Returns true if a write with this error may have taken effect, or may still take effect. */
bool mayTakeEffect(const Error &error);

/** The key value by which a write is recognised after its answer was lost. */
struct WriteMarker
{
    std::string key;
    std::string value; ///< No other write may store this value under the key.
};

/** How a confirmed write ended. */
enum class WriteResult {
    Written, ///< The transaction took effect.
    Refused, ///< Its comparisons failed and no earlier attempt took effect.
    Unavailable, ///< The store was not reached; the transaction did not and will not take effect.
    Unknown, ///< The deadline passed before the effect was known.
    Invalid, ///< The store refuses the transaction's form, or its lease does not exist.
};

/** How long and with which pauses to confirm a write. */
struct ConfirmLimits
{
    TimePoint deadline;
    std::function<TimePoint()> clock = steadyNow;
    std::function<void(Duration)> sleep; ///< Must be set.
};

/**
 * Commits a transaction and finds out whether it took effect if its answer is lost: reads the
 * marker, and if it is absent, commits again. An attempt that is still on its way then does no harm
 * under two conditions, which are the caller's duty: the comparisons require that the marker is
 * absent, and once they have failed they do not hold again.
 * @param transaction writes the marker in its success branch
 */
WriteResult commitConfirmed(Store &store, const Transaction &transaction, const WriteMarker &marker,
                            const ConfirmLimits &limits, Backoff &backoff);

} // namespace dragonflysill
