#pragma once

#include "dragonflysill/base/backoff.h"
#include "dragonflysill/base/time.h"
#include "dragonflysill/store/store.h"

#include <functional>
#include <string>

namespace dragonflysill {

/** Returns true if a write with this error may have taken effect, or may still take effect. */
bool mayTakeEffect(const Error &error);

/** The key and value that identify a write in the store after its response was lost. */
struct WriteMarker
{
    std::string key;
    std::string value; ///< No other write may store this value under the key.
};

/** The outcome of a confirmed write. */
enum class WriteResult {
    Written, ///< The transaction took effect.
    Refused, ///< Its comparisons failed and no earlier attempt took effect.
    Unavailable, ///< The store was unreachable; the transaction did not and will not take effect.
    Unknown, ///< The deadline passed before the effect was known.
    Invalid, ///< The store rejected the transaction as malformed, or its lease does not exist.
};

/** Deadline and time source of a confirmed write. */
struct ConfirmLimits
{
    TimePoint deadline; ///< No retry starts after it.
    std::function<TimePoint()> clock = steadyNow;
    std::function<void(Duration)> sleep; ///< Waits between attempts; must be set.
};

/**
 * Commits a transaction and, if the response is lost, determines whether it took effect: reads the
 * marker and commits again if it is absent. An earlier attempt may then still reach the store. It
 * does no harm if the caller ensures two conditions: the comparisons require that the marker is
 * absent, and once they have failed they never hold again.
 * @param transaction writes the marker in its success branch
 * @param backoff supplies the delays between attempts
 */
WriteResult commitConfirmed(Store &store, const Transaction &transaction, const WriteMarker &marker,
                            const ConfirmLimits &limits, Backoff &backoff);

} // namespace dragonflysill
