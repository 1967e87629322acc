#include "dragonflysill/store/confirmedwrite.h"

#include <algorithm>
#include <optional>

namespace dragonflysill {

namespace internal {

/** Returns whether the marker is in the store, or nothing if the store did not answer. */
std::optional<bool> isWritten(Store &store, const WriteMarker &marker)
{
    const auto found = store.range({marker.key, {}});
    if (!found)
        return std::nullopt;
    return !found->keyValues.empty() && found->keyValues.front().value == marker.value;
}

/** Waits for the next attempt; returns false if the deadline would pass. */
bool pause(const ConfirmLimits &limits, Backoff &backoff)
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
        while (!(written = internal::isWritten(store, marker))) {
            if (!internal::pause(limits, backoff))
                return WriteResult::Unknown;
        }
        if (*written)
            return WriteResult::Written;
        // The comparisons of this attempt failed, so those of an earlier one on its way fail too.
        if (result)
            return WriteResult::Refused;
        if (!internal::pause(limits, backoff))
            return WriteResult::Unknown;
    }
}

} // namespace dragonflysill
