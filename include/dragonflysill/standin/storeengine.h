#pragma once

#include "dragonflysill/base/keyupdate.h"
#include "dragonflysill/base/result.h"
#include "dragonflysill/base/time.h"
#include "dragonflysill/store/storetypes.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/** The changes of a key range since a revision. */
struct WatchBatch
{
    std::vector<KeyUpdate> updates; ///< In the order of their revisions.
    std::int64_t revision = 0; ///< The updates include all changes up to this revision.
};

/**
 * Models the etcd v3 key-value service: revisions, transactions, leases, watch history, compaction
 * and snapshots. Reads no clock: the time is a parameter. Not thread-safe; callers must
 * synchronize. A copy is an independent store with the same state.
 */
class StoreEngine
{
public:
    /** Limit of operations in each branch of a transaction and of comparisons; etcd's default. */
    static constexpr std::size_t maxOperations = 128;
    /** The platform's size limit of a value. */
    static constexpr std::size_t maxValueBytes = 1024UL * 1024;

    /** Returns the entries of a key range at the newest revision. */
    [[nodiscard]] RangeResult range(const RangeOperation &operation) const;

    /**
     * Executes a transaction; all its writes get the same revision. A transaction that changes
     * nothing does not increase the revision.
     * @return the result, or without any change LimitExceeded for too many operations or a too
     *         large value, InvalidInput if a key is empty or written twice, and LeaseLost if a
     *         lease does not exist
     */
    Result<TransactionResult> commit(const Transaction &transaction);

    /** Creates a lease that expires at @p now plus @p ttlSeconds; InvalidInput below 1 s. */
    Result<Lease> grantLease(std::int64_t ttlSeconds, TimePoint now);

    /** Lets a lease expire at @p now plus its time to live; LeaseLost if it does not exist. */
    Result<Lease> renewLease(LeaseId id, TimePoint now);

    /** Deletes a lease and its keys; LeaseLost if it does not exist. */
    Result<Done> revokeLease(LeaseId id);

    /** Deletes expired leases and their keys; returns the number of leases. */
    std::size_t expireLeases(TimePoint now);

    /**
     * Returns the changes of a key range from @p startRevision on.
     * @return the changes, or Compacted if the history starts after @p startRevision
     */
    [[nodiscard]] Result<WatchBatch> changes(const RangeOperation &keys,
                                             std::int64_t startRevision) const;

    /** Drops the history before a revision; InvalidInput if the revision is in the future. */
    Result<Done> compact(std::int64_t revision);

    /**
     * Restores an earlier state. Leases get their full time to live again, as when etcd restarts.
     */
    void restore(const StoreEngine &snapshot, TimePoint now);

    /** Returns the newest revision; 1 in an empty store. */
    [[nodiscard]] std::int64_t revision() const { return m_revision; }

    /** Returns the oldest revision in the history. */
    [[nodiscard]] std::int64_t compactedRevision() const { return m_compactedRevision; }

    /** Returns the ids of all leases. */
    [[nodiscard]] std::vector<LeaseId> leases() const;

private:
    struct LeaseState
    {
        std::int64_t ttlSeconds = 0;
        TimePoint expires;
    };

    [[nodiscard]] Result<Done> validateOperations(const std::vector<Operation> &operations) const;
    [[nodiscard]] bool isSatisfied(const Compare &compare) const;
    void put(const PutOperation &operation);
    bool erase(const DeleteOperation &operation);

    std::map<std::string, KeyValue, std::less<>> m_keys;
    std::map<LeaseId, LeaseState> m_leases;
    std::deque<KeyUpdate> m_history;
    std::int64_t m_revision = 1;
    std::int64_t m_compactedRevision = 0;
    LeaseId m_nextLease = 1000;
};

/** Returns true if a key lies in the range, by etcd's rules for the end of a range. */
bool inRange(std::string_view key, const RangeOperation &range);

} // namespace dragonflysill
