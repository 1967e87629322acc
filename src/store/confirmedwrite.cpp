#include "dragonflysill/store/confirmedwrite.h"

#include <algorithm>
#include <optional>

namespace dragonflysill {

namespace internal {

/** Returns whether the marker is in the store, or nothing if it could not be read. */
std::optional<bool> isMarkerStored(Store &store, const WriteMarker &marker)
{
    const auto found = store.range({marker.key, {}});
    if (!found)
        return std::nullopt;
    return !found->keyValues.empty() && found->keyValues.front().value == marker.value;
}

/** Waits for the back-off delay; returns false at once if that would reach the deadline. */
bool waitForRetry(const ConfirmLimits &limits, Backoff &backoff)
{
    const Duration delay = backoff.next();
    if (limits.clock() + delay >= limits.deadline)
        return false;
    limits.sleep(delay);
    return true;
}

} // namespace internal

bool mayTakeEffect(const Error &error)
{
    return error.is(ErrorKind::OutcomeUnknown) || error.is(ErrorKind::Corrupt);
}

WriteResult commitConfirmed(Store &store, const Transaction &transaction, const WriteMarker &marker,
                            const ConfirmLimits &limits, Backoff &backoff)
{
    bool mayBeWritten = false;
    for (;;) {
        const auto result = store.commit(transaction);
        if (result && result->succeeded)
            return WriteResult::Written;
        if (result && !mayBeWritten)
            return WriteResult::Refused;
        if (!result && !mayBeWritten && !mayTakeEffect(result.error())) {
            return result.error().is(ErrorKind::StoreUnavailable) ? WriteResult::Unavailable
                                                                  : WriteResult::Invalid;
        }
        mayBeWritten = true;
        std::optional<bool> written;
        while (!(written = internal::isMarkerStored(store, marker))) {
            if (!internal::waitForRetry(limits, backoff))
                return WriteResult::Unknown;
        }
        if (*written)
            return WriteResult::Written;
        // This attempt's comparisons failed, so an earlier attempt that arrives late fails too.
        if (result)
            return WriteResult::Refused;
        if (!internal::waitForRetry(limits, backoff))
            return WriteResult::Unknown;
    }
}

} // namespace dragonflysill
