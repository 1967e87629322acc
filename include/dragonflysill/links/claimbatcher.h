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

/** The settings of a ClaimBatcher. */
struct ClaimSettings
{
    /** Calls per second of all entry processes together; the platform allows several hundred. */
    double callsPerSecond = 200;
    int entryCount = 8; ///< Entry processes that share the calls.
    double burst = 10; ///< Calls that an idle entry process saves up.
    std::size_t maxCallsInFlight = 2; ///< Commits at once, so that one lost answer blocks no other.
    std::size_t maxWaiting = 2000; ///< Waiting requests; more are refused.
    std::chrono::milliseconds maxBatchDelay{0}; ///< Longest wait for further claims to one commit.
    /** A claim lives for this long at least, and at most for the lease window longer. */
    std::chrono::seconds retention{3600};
    std::chrono::seconds leaseWindow{300}; ///< How long one lease takes new claims.
    /** Wait before deleting a claim whose write may still be on its way. */
    std::chrono::milliseconds deleteDelay{5000};
    std::uint64_t seed = 1;
};

/** Why a request was refused. It was not sent to a backend server. */
enum class ClaimRefusal { DeadlineExceeded, StoreUnavailable, QueueFull, StoreRegressed, Stopping };

/** Returns the fixed text of a refusal, for example "store-unavailable". */
std::string_view toText(ClaimRefusal refusal);

/** The request holds its key and may be sent once. */
struct ClaimGranted
{
    ClaimId id = 0;
};

/** Another request holds the key; it may have run, run now or run later. */
struct ClaimDuplicate
{
    ClaimId id = 0;
    std::string requestId; ///< The request that holds the key; empty if its claim is unreadable.
};

/** The request must not be sent. */
struct ClaimRefused
{
    ClaimId id = 0;
    ClaimRefusal reason = ClaimRefusal::DeadlineExceeded;
    Duration retryAfter{0};
};

/** Commit createClaims(). */
struct CommitClaims
{
    ClaimCallId call = 0;
    std::vector<ClaimEntry> claims;
    LeaseId lease = 0;
};

/** Commit readClaims(), because the answer of a commit was lost. */
struct ReadClaims
{
    ClaimCallId call = 0;
    std::vector<ClaimEntry> claims;
};

/** Commit deleteClaims(). */
struct DeleteClaims
{
    ClaimCallId call = 0;
    std::vector<ClaimEntry> claims;
};

/** Grant a lease for claims. */
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
        Unavailable, ///< Certainly not executed.
        Unknown, ///< May have been executed or may still be.
        LeaseLost, ///< Not executed, because the lease does not exist.
    };
    Kind kind = Kind::Unavailable;
    std::int64_t revision = 0;
    std::map<std::string, std::string> values; ///< What the executed branch read, by key.
};

/** Counts since the start. */
struct ClaimCounters
{
    std::int64_t granted = 0;
    std::int64_t duplicates = 0;
    std::int64_t refused = 0;
    std::int64_t calls = 0; ///< Store calls of all kinds.
    std::int64_t commits = 0;
    std::int64_t unknownCommits = 0; ///< Commits whose answer was lost.
    std::int64_t deleted = 0; ///< Claims deleted because their request was never sent.
    std::int64_t leasesLost = 0; ///< Leases that ended early, and with them their claims.
    std::int64_t leftToLease = 0; ///< Such claims that are left until their lease expires.
};

/**
 * Decides about at-most-once claims of one entry process: groups claims into transactions, resolves
 * lost answers by reading back, and deletes claims whose request was never sent. The store decides
 * each key by a create-if-absent comparison, so a grant is correct whatever other entry processes
 * do and however long this one was paused. Pure: the time is a parameter. Not thread-safe.
 */
class ClaimBatcher
{
public:
    explicit ClaimBatcher(ClaimSettings settings);

    /**
     * Adds a request.
     * @param id identifies the request; never used before
     * @param claim its key, and a value that no other claim has ever had
     * @param requestId the request's id, reported to duplicates in this process
     * @param deadline when the request is refused if it has not been granted
     */
    ClaimActions add(ClaimId id, ClaimEntry claim, std::string requestId, TimePoint deadline,
                     TimePoint now);

    /** Says that a granted request was never sent, so that its claim is deleted. */
    ClaimActions release(ClaimEntry claim, TimePoint now);

    /** Reports the end of a CommitClaims, ReadClaims or DeleteClaims call. */
    ClaimActions callFinished(ClaimCallId call, const ClaimCallResult &result, TimePoint now);

    /** Reports the end of a GrantClaimLease call; @p lease is 0 if it failed. */
    ClaimActions leaseFinished(ClaimCallId call, LeaseId lease, TimePoint now);

    /** Acts on what is due. */
    ClaimActions tick(TimePoint now);

    /** Refuses all waiting requests and every later one. */
    ClaimActions stop(TimePoint now);

    /** Changes the number of entry processes that share the calls. */
    void setEntryCount(int entryCount, TimePoint now);

    /** Tells a revision that the store has reached, so that a regressed store is recognised. */
    void noteRevision(std::int64_t revision);

    /** Returns when tick() has something to do at the latest. */
    [[nodiscard]] TimePoint nextTick(TimePoint now) const;

    [[nodiscard]] const ClaimCounters &counters() const { return m_counters; }

    /** Returns the requests without a decision. */
    [[nodiscard]] std::size_t pending() const { return m_requests.size(); }

private:
    enum class CallKind { Commit, Read, Delete, Lease };

    struct Request
    {
        ClaimEntry claim;
        std::string requestId;
        TimePoint added;
        TimePoint deadline;
        bool checked = false; ///< An earlier call read that the key is absent.
        bool maybeWritten = false; ///< The answer of an earlier commit was lost.
    };

    struct Call
    {
        CallKind kind = CallKind::Commit;
        std::vector<ClaimId> ids; ///< For commits and reads.
        std::vector<ClaimEntry> claims; ///< The same order as ids.
        std::int64_t revisionBefore = 0;
        TimePoint sent;
        int failures = 0;
        bool maybeWritten = false; ///< A commit of some of these claims lost its answer.
    };

    struct Deletion
    {
        ClaimEntry claim;
        TimePoint due;
        int failures = 0;
    };

    struct ReadBack
    {
        Call call;
        TimePoint due;
    };

    void expire(TimePoint now, ClaimActions &actions);
    void startCalls(TimePoint now, ClaimActions &actions);
    bool startLease(TimePoint now, ClaimActions &actions);
    void startReadBack(TimePoint now, ClaimActions &actions);
    void startCommit(TimePoint now, ClaimActions &actions);
    void startDeletion(TimePoint now, ClaimActions &actions);
    ClaimCallId start(Call call, TimePoint now);

    void commitFinished(Call call, const ClaimCallResult &result, TimePoint now,
                        ClaimActions &actions);
    void commitSucceeded(const Call &call, TimePoint now, ClaimActions &actions);
    void readFinished(Call call, const ClaimCallResult &result, TimePoint now,
                      ClaimActions &actions);
    void deletionFinished(const Call &call, const ClaimCallResult &result, TimePoint now);
    void decideByValues(const Call &call, const ClaimCallResult &result, TimePoint now,
                        ClaimActions &actions);
    void requeue(const Call &call, TimePoint now);
    void refuseWaiting(ClaimRefusal reason, TimePoint now, ClaimActions &actions);
    void refuseAll(const Call &call, ClaimRefusal reason, TimePoint now, ClaimActions &actions);
    bool isRegressed(const Call &call, const ClaimCallResult &result, TimePoint now);

    void grant(ClaimId id, ClaimActions &actions);
    void duplicate(ClaimId id, const std::string &value, ClaimActions &actions);
    void refuse(ClaimId id, ClaimRefusal reason, TimePoint now, ClaimActions &actions);
    void forget(ClaimId id);
    void scheduleDeletion(ClaimEntry claim, TimePoint due, int failures = 0);
    void noteFailure(TimePoint now);

    [[nodiscard]] bool commitIsDue(TimePoint now) const;
    [[nodiscard]] std::size_t commitsInFlight() const;
    [[nodiscard]] bool isRunning(CallKind kind) const;
    [[nodiscard]] Duration retryAfter(TimePoint now) const;

    const ClaimSettings m_settings;
    TokenBucket m_budget;
    Backoff m_backoff;
    std::map<ClaimId, Request> m_requests;
    std::map<std::string, ClaimId> m_idByKey;
    std::deque<ClaimId> m_waiting; ///< May contain ids that were decided meanwhile.
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
