#pragma once

#include "dragonflysill/base/keyupdate.h"
#include "dragonflysill/base/result.h"
#include "dragonflysill/store/storetypes.h"

#include <functional>
#include <span>
#include <string_view>

namespace dragonflysill {

/**
 * Interface to the platform's key-value store. StoreClient implements it over HTTP; tests use an
 * implementation in memory. All calls block; they are thread-safe.
 *
 * Errors: StoreUnavailable if the request did not take effect, OutcomeUnknown if a write may have
 * taken effect, Corrupt if the response could not be decoded.
 */
class Store
{
public:
    virtual ~Store() = default;

    /** Reads keys at the newest revision. */
    virtual Result<RangeResult> range(const RangeOperation &operation) = 0;

    /** Runs a transaction atomically. */
    virtual Result<TransactionResult> commit(const Transaction &transaction) = 0;

    /** Creates a lease that expires after @p ttlSeconds without renewal. */
    virtual Result<Lease> grantLease(std::int64_t ttlSeconds) = 0;

    /** Renews a lease for its full time to live; LeaseLost if it has expired. */
    virtual Result<Lease> renewLease(LeaseId id) = 0;

    /** Revokes a lease and deletes the keys attached to it. */
    virtual Result<Done> revokeLease(LeaseId id) = 0;

    /**
     * Called with a batch of updates and the revision up to which all updates have been delivered.
     * Returns false to end the watch.
     */
    using WatchHandler
            = std::function<bool(std::span<const KeyUpdate> updates, std::int64_t revision)>;

    /**
     * Watches all keys with a prefix, from @p startRevision on. Blocks until the handler returns
     * false or the stream ends. The handler is called at least once a second, without updates if
     * there are none, so that the caller can end the watch.
     * @return Done if the handler ended the watch; Compacted, StoreUnavailable or Corrupt otherwise
     */
    virtual Result<Done> watch(std::string_view prefix, std::int64_t startRevision,
                               const WatchHandler &handler)
            = 0;
};

} // namespace dragonflysill
