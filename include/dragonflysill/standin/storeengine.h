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

/** The changes of a key range from a revision on. */
struct WatchBatch
{
    std::vector<KeyUpdate> updates; ///< In the order of their revisions.
    std::int64_t revision = 0; ///< The batch is complete up to this revision.
};

/**
 * A model of the etcd v3 key-value service: revisions, transactions, leases, watch history,
 * compaction, snapshots. It is pure: the time is a parameter. Not thread-safe; the owner guards it.
 * Copying an engine makes an independent store with the same state.
 */
class StoreEngine
{
public:
    /** etcd's default limit of operations in each branch of a transaction. */
    static constexpr std::size_t maxOperations = 128;
    /** The platform's limit of a value. */
    static constexpr std::size_t maxValueBytes = 1024UL * 1024;

    /** Reads a key range at the newest revision. */
    [[nodiscard]] RangeResult range(const RangeOperation &operation) const;

    /**
     * Executes a transaction; all its writes get one revision. A transaction that changes nothing
     * does not increase the revision.
     * @return LimitExceeded for too many operations or a too large value, InvalidInput if a key is
     *         written twice, LeaseLost if a lease does not exist; then nothing was changed
     */
    Result<TransactionResult> commit(const Transaction &transaction);

    /** Creates a lease that expires at @p now plus its time to live. */
    Result<Lease> grantLease(std::int64_t ttlSeconds, TimePoint now);

    /** Extends a lease by its time to live; LeaseLost if it does not exist. */
    Result<Lease> renewLease(LeaseId id, TimePoint now);

    /** Deletes a lease and its keys; LeaseLost if it does not exist. */
    Result<Done> revokeLease(LeaseId id);

    /** Deletes the leases that have expired, with their keys; returns how many. */
    std::size_t expireLeases(TimePoint now);

    /**
     * Returns the changes of a key range from a revision on.
     * @return Compacted if the history no longer reaches back to @p startRevision
     */
    [[nodiscard]] Result<WatchBatch> changes(const RangeOperation &keys,
                                             std::int64_t startRevision) const;

    /** Drops the history before a revision; InvalidInput if the revision is in the future. */
    Result<Done> compact(std::int64_t revision);

    /**
     * Goes back to an earlier state. Leases get their full time to live again, as etcd does when it
     * restarts.
     */
    void restore(const StoreEngine &snapshot, TimePoint now);

    /** Returns the newest revision; 1 in an empty store. */
    [[nodiscard]] std::int64_t revision() const { return m_revision; }

    /** Returns the revision at which the history starts. */
    [[nodiscard]] std::int64_t compactedRevision() const { return m_compactedRevision; }

    /** Returns the ids of all leases. */
    [[nodiscard]] std::vector<LeaseId> leases() const;

private:
    struct LeaseState
    {
        std::int64_t ttlSeconds = 0;
        TimePoint expires;
    };

    [[nodiscard]] Result<Done> check(const std::vector<Operation> &operations) const;
    [[nodiscard]] bool holds(const Compare &compare) const;
    void put(const PutOperation &operation);
    bool erase(const DeleteOperation &operation);

    std::map<std::string, KeyValue, std::less<>> m_keys;
    std::map<LeaseId, LeaseState> m_leases;
    std::deque<KeyUpdate> m_history;
    std::int64_t m_revision = 1;
    std::int64_t m_compactedRevision = 0;
    LeaseId m_nextLease = 1000;
};

/** Returns true if a key lies in the range, with etcd's rules for the range's end. */
bool inRange(std::string_view key, const RangeOperation &range);

} // namespace dragonflysill
