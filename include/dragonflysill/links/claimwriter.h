#pragma once

#include "dragonflysill/base/time.h"
#include "dragonflysill/links/claimbatcher.h"
#include "dragonflysill/store/store.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace dragonflysill {

/** Identity of the entry process, and the limits for its claims. */
struct ClaimWriterSettings
{
    std::string entry; ///< Name of the entry instance.
    /** Identifies this start of the entry process, for example by the start time. */
    std::int64_t incarnation = 0;
    ClaimSettings claims;
    std::size_t threads = 4; ///< Largest number of concurrent store calls.
};

/** The result of ClaimWriter::claim(). */
struct ClaimDecision
{
    enum class Kind {
        Granted, ///< The request holds the key and may be sent once.
        Duplicate, ///< Another request holds the key; the outcome is unknown.
        Refused, ///< The request must not be sent; the outcome is "not run".
    };
    Kind kind = Kind::Refused;
    ClaimEntry claim; ///< The claim that was written if Granted.
    std::string duplicateOf; ///< If Duplicate: the id of the request that holds the key.
    ClaimRefusal refusal = ClaimRefusal::DeadlineExceeded; ///< If Refused: the reason.
    Duration retryAfter{0}; ///< If Refused: shortest wait before a retry.
};

/**
 * Writes at-most-once claims for the request threads of an entry process. Owns the threads that
 * make the store calls. The store belongs to the caller and must outlive the writer; its calls
 * should time out earlier than the usual deadline of a request. Thread-safe; its lock is "claims"
 * in the lock order and is not held during store calls.
 */
class ClaimWriter
{
public:
    ClaimWriter(Store &store, ClaimWriterSettings settings);
    ~ClaimWriter();

    ClaimWriter(const ClaimWriter &) = delete;
    ClaimWriter &operator=(const ClaimWriter &) = delete;

    /**
     * Claims an idempotency key. Blocks until the claim is decided or the deadline has passed.
     * @param service the service; each one has its own keys
     * @param idempotencyKey the caller's key
     * @param requestId the id of the request
     * @param deadline time at which an undecided claim is refused
     */
    ClaimDecision claim(std::string_view service, std::string_view idempotencyKey,
                        std::string_view requestId, TimePoint deadline);

    /**
     * Deletes the claim of a granted request, so that a retry by the caller can run. Must be called
     * only if no byte of the request was sent, or the backend server refused it before the start.
     */
    void abandon(const ClaimDecision &decision);

    /** Changes the number of entry processes that share the rate of store calls. */
    void setEntryCount(int entryCount);

    /** Records a revision that the store has reached, for example that of a new view. */
    void noteRevision(std::int64_t revision);

    [[nodiscard]] ClaimCounters counters() const;

    /** Refuses all waiting requests and joins the threads. */
    void stop();

private:
    /** A request thread that is blocked in claim(). */
    struct Waiter
    {
        std::condition_variable decided;
        std::optional<ClaimDecision> decision;
    };
    using StoreCall = std::variant<CommitClaims, ReadClaims, DeleteClaims, GrantClaimLease>;

    void run();
    void apply(ClaimActions actions);
    void decide(ClaimId id, ClaimDecision decision);
    ClaimActions execute(const StoreCall &call, std::unique_lock<std::mutex> &lock);

    Store &m_store;
    const ClaimWriterSettings m_settings;
    mutable std::mutex m_mutex; ///< Guards the members below.
    std::condition_variable m_work;
    ClaimBatcher m_batcher;
    std::map<ClaimId, Waiter *> m_waiters;
    std::deque<StoreCall> m_calls;
    ClaimId m_nextId = 1;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace dragonflysill
