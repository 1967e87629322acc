#pragma once

#include "dragonflysill/base/backoff.h"
#include "dragonflysill/base/time.h"
#include "dragonflysill/base/tokenbucket.h"
#include "dragonflysill/links/claimrecord.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace dragonflysill {

/** Identifies a request within its ClaimBatcher. */
using ClaimId = std::uint64_t;
/** Identifies a store call of a ClaimBatcher. */
using ClaimCallId = std::uint64_t;

/** Rates, limits and delays for the claims of an entry process. */
struct ClaimSettings
{
    /** Store calls per second of all entry processes; the platform allows several hundred. */
    double callsPerSecond = 200;
    int entryCount = 8; ///< Entry processes that share the call rate.
    double burst = 10; ///< Calls that an idle entry process can save up.
    /** Concurrent commits; more than one, so that a lost response does not block the others. */
    std::size_t maxCallsInFlight = 2;
    std::size_t maxWaiting = 2000; ///< Largest number of waiting requests; more are refused.
    std::chrono::milliseconds maxBatchDelay{0}; ///< Longest wait for more claims.
    /** Shortest lifetime of a claim; the longest one is retention + leaseWindow. */
    std::chrono::seconds retention{3600};
    std::chrono::seconds leaseWindow{300}; ///< How long new claims are attached to one lease.
    /** Delay of the deletion of a claim whose write may not have reached the store yet. */
    std::chrono::milliseconds deleteDelay{5000};
    std::uint64_t seed = 1;
};

/** Why a claim was refused; the request was not sent to a backend server. */
enum class ClaimRefusal { DeadlineExceeded, StoreUnavailable, QueueFull, StoreRegressed, Stopping };

/** Returns the fixed text of a refusal, for example "store-unavailable". */
std::string_view toText(ClaimRefusal refusal);

/** Action: the request holds its key and may be sent once. */
struct ClaimGranted
{
    ClaimId id = 0;
};

/** Action: another request holds the key; it may have run, be running or run later. */
struct ClaimDuplicate
{
    ClaimId id = 0;
    std::string requestId; ///< The request that holds the key; empty if its claim is corrupt.
};

/** Action: the request must not be sent. */
struct ClaimRefused
{
    ClaimId id = 0;
    ClaimRefusal reason = ClaimRefusal::DeadlineExceeded;
    Duration retryAfter{0};
};

/** Action: commit the transaction of createClaims(). */
struct CommitClaims
{
    ClaimCallId call = 0;
    std::vector<ClaimEntry> claims;
    LeaseId lease = 0;
};

/** Action: commit the transaction of readClaims(), since the response to a commit was lost. */
struct ReadClaims
{
    ClaimCallId call = 0;
    std::vector<ClaimEntry> claims;
};

/** Action: commit the transaction of deleteClaims(). */
struct DeleteClaims
{
    ClaimCallId call = 0;
    std::vector<ClaimEntry> claims;
};

/** Action: grant a lease for claims. */
struct GrantClaimLease
{
    ClaimCallId call = 0;
    std::int64_t ttlSeconds = 0;
};

using ClaimAction = std::variant<ClaimGranted, ClaimDuplicate, ClaimRefused, CommitClaims,
                                 ReadClaims, DeleteClaims, GrantClaimLease>;
using ClaimActions = std::vector<ClaimAction>;

/** How the transaction of a claim call ended. */
struct ClaimCallResult
{
    enum class Kind {
        Succeeded, ///< The success branch was executed.
        Failed, ///< The failure branch was executed.
        Unavailable, ///< Not executed.
        Unknown, ///< May have been executed, or may be executed later.
        LeaseLost, ///< Not executed because the lease does not exist.
    };
    Kind kind = Kind::Unavailable;
    std::int64_t revision = 0;
    std::map<std::string, std::string> values; ///< Values that the executed branch read, by key.
};

/** Counts since the start. */
struct ClaimCounters
{
    std::int64_t granted = 0;
    std::int64_t duplicates = 0;
    std::int64_t refused = 0;
    std::int64_t calls = 0; ///< Store calls of all kinds.
    std::int64_t commits = 0;
    std::int64_t unknownCommits = 0; ///< Commits whose response was lost.
    std::int64_t deleted = 0; ///< Claims deleted because their request was not sent.
    std::int64_t leasesLost = 0; ///< Leases that ended early; their claims ended with them.
    std::int64_t leftUntilExpiry = 0; ///< Claims whose deletion failed; they expire with the lease.
};

/**
 * Decides the at-most-once claims of one entry process: batches claims into transactions, reads
 * claims back after a lost response, and deletes the claims of requests that were not sent. Each
 * key is decided by a create-if-absent comparison in the store, so a grant is correct regardless
 * of other entry processes and of pauses of this one. Makes no store calls and reads no clock: it
 * returns actions, and the time is a parameter. Not thread-safe.
 */
class ClaimBatcher
{
public:
    explicit ClaimBatcher(ClaimSettings settings);

    /**
     * Adds a request.
     * @param id identifies the request; must not have been used before
     * @param claim its key, and a value that is unique among all claims ever written
     * @param requestId the request's id, reported to duplicates in this process
     * @param deadline time at which the request is refused if it is still undecided
     */
    ClaimActions add(ClaimId id, ClaimEntry claim, std::string requestId, TimePoint deadline,
                     TimePoint now);

    /** Deletes the claim of a granted request that was not sent or not started. */
    ClaimActions release(ClaimEntry claim, TimePoint now);

    /** Reports the end of a CommitClaims, ReadClaims or DeleteClaims call. */
    ClaimActions callFinished(ClaimCallId call, const ClaimCallResult &result, TimePoint now);

    /** Reports the end of a GrantClaimLease call; @p lease is 0 if it failed. */
    ClaimActions leaseFinished(ClaimCallId call, LeaseId lease, TimePoint now);

    /** Refuses requests whose deadline has passed, and starts the store calls that are due. */
    ClaimActions tick(TimePoint now);

    /** Refuses all waiting requests and every later one. */
    ClaimActions stop(TimePoint now);

    /** Changes the number of entry processes that share the call rate. */
    void setEntryCount(int entryCount, TimePoint now);

    /** Records a revision that the store has reached; a lower one later means it regressed. */
    void noteRevision(std::int64_t revision);

    /** Returns when tick() has to be called at the latest. */
    [[nodiscard]] TimePoint nextTick(TimePoint now) const;

    [[nodiscard]] const ClaimCounters &counters() const { return m_counters; }

    /** Returns the number of undecided requests. */
    [[nodiscard]] std::size_t pending() const { return m_requests.size(); }

private:
    enum class CallKind { Commit, Read, Delete, Lease };

    struct Request
    {
        ClaimEntry claim;
        std::string requestId;
        TimePoint added;
        TimePoint deadline;
        bool knownAbsent = false; ///< An earlier call did not find the key.
        bool mayBeWritten = false; ///< The response to an earlier commit was lost.
    };

    struct Call
    {
        CallKind kind = CallKind::Commit;
        std::vector<ClaimId> ids; ///< Set for commits and reads.
        std::vector<ClaimEntry> claims; ///< In the order of ids.
        std::int64_t revisionBefore = 0;
        TimePoint sent;
        int failures = 0;
        bool mayBeWritten = false; ///< The response to a commit of some of these was lost.
    };

    struct Deletion
    {
        ClaimEntry claim;
        TimePoint due;
        int failures = 0;
    };

    /** A read of claims after a lost response. */
    struct ReadBack
    {
        Call call;
        TimePoint due;
    };

    void expire(TimePoint now, ClaimActions &actions);
    void startCalls(TimePoint now, ClaimActions &actions);
    bool ensureLease(TimePoint now, ClaimActions &actions);
    void startReadBack(TimePoint now, ClaimActions &actions);
    void startCommit(TimePoint now, ClaimActions &actions);
    void startDeletion(TimePoint now, ClaimActions &actions);
    ClaimCallId addCall(Call call, TimePoint now);

    void commitFinished(Call call, const ClaimCallResult &result, TimePoint now,
                        ClaimActions &actions);
    void commitSucceeded(const Call &call, TimePoint now, ClaimActions &actions);
    void readFinished(Call call, const ClaimCallResult &result, TimePoint now,
                      ClaimActions &actions);
    void deletionFinished(const Call &call, const ClaimCallResult &result, TimePoint now);
    void resolveFromValues(const Call &call, const ClaimCallResult &result, TimePoint now,
                           ClaimActions &actions);
    void requeue(const Call &call, TimePoint now);
    void refuseWaiting(ClaimRefusal reason, TimePoint now, ClaimActions &actions);
    void refuseAll(const Call &call, ClaimRefusal reason, TimePoint now, ClaimActions &actions);
    bool detectRegression(const Call &call, const ClaimCallResult &result, TimePoint now);

    void grant(ClaimId id, ClaimActions &actions);
    void duplicate(ClaimId id, const std::string &value, ClaimActions &actions);
    void refuse(ClaimId id, ClaimRefusal reason, TimePoint now, ClaimActions &actions);
    void removeRequest(ClaimId id);
    void scheduleDeletion(ClaimEntry claim, TimePoint due, int failures = 0);
    void startBackoff(TimePoint now);

    [[nodiscard]] bool commitIsDue(TimePoint now) const;
    [[nodiscard]] std::size_t commitsInFlight() const;
    [[nodiscard]] bool hasCallInFlight(CallKind kind) const;
    [[nodiscard]] Duration retryAfter(TimePoint now) const;

    const ClaimSettings m_settings;
    TokenBucket m_budget;
    Backoff m_backoff;
    std::map<ClaimId, Request> m_requests;
    std::map<std::string, ClaimId> m_idByKey;
    std::deque<ClaimId> m_waiting; ///< May contain ids that are already decided.
    std::map<ClaimCallId, Call> m_calls;
    std::deque<ReadBack> m_readBacks;
    std::deque<Deletion> m_deletions;
    std::set<std::pair<TimePoint, ClaimId>> m_deadlines;
    ClaimCallId m_nextCall = 1;
    LeaseId m_lease = 0;
    TimePoint m_leaseUsableUntil{};
    TimePoint m_unavailableUntil{};
    TimePoint m_regressedUntil{};
    std::int64_t m_newestRevision = 0;
    bool m_stopping = false;
    ClaimCounters m_counters;
};

} // namespace dragonflysill
