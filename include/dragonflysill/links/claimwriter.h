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

/** The settings of a ClaimWriter. */
struct ClaimWriterSettings
{
    std::string entry; ///< Name of the entry instance.
    /** Must differ between two starts of the entry process, for example its start time. */
    std::int64_t incarnation = 0;
    ClaimSettings claims;
    std::size_t threads = 4; ///< Store calls at once.
};

/** The answer to a claim. */
struct ClaimDecision
{
    enum class Kind {
        Granted, ///< The request may be sent once.
        Duplicate, ///< Another request holds the key; the outcome is unknown.
        Refused, ///< The request must not be sent; the outcome is "not run".
    };
    Kind kind = Kind::Refused;
    ClaimEntry claim; ///< For abandon().
    std::string duplicateOf; ///< For Duplicate: the id of the request that holds the key.
    ClaimRefusal refusal = ClaimRefusal::DeadlineExceeded; ///< For Refused.
    Duration retryAfter{0}; ///< For Refused: when to repeat at the earliest.
};

/**
 * Writes at-most-once claims for the request threads of an entry process. Owns its threads, which
 * make the store calls; the store belongs to the caller and must outlive it. Its calls should time
 * out after less than the usual deadline of a request. Thread-safe; its lock is "claims" in the
 * lock order and is not held during store calls.
 */
class ClaimWriter
{
public:
    ClaimWriter(Store &store, ClaimWriterSettings settings);
    ~ClaimWriter();

    ClaimWriter(const ClaimWriter &) = delete;
    ClaimWriter &operator=(const ClaimWriter &) = delete;

    /**
     * Claims an idempotency key. Blocks until the decision, at the latest until the deadline.
     * @param service scope of the key
     * @param idempotencyKey the caller's key
     * @param requestId the id of the request
     * @param deadline until when a grant is useful
     */
    ClaimDecision claim(std::string_view service, std::string_view idempotencyKey,
                        std::string_view requestId, TimePoint deadline);

    /**
     * Says that a granted request was never sent, not even a byte, or was refused before it
     * started, so that a repetition can run.
     */
    void abandon(const ClaimDecision &decision);

    /** Changes the number of entry processes that share the platform's calls. */
    void setEntryCount(int entryCount);

    /** Tells a revision that the store has reached, for example that of a new view. */
    void noteRevision(std::int64_t revision);

    [[nodiscard]] ClaimCounters counters() const;

    /** Refuses all waiting requests and joins the threads. */
    void stop();

private:
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
    mutable std::mutex m_mutex; ///< Guards everything below.
    std::condition_variable m_work;
    ClaimBatcher m_batcher;
    std::map<ClaimId, Waiter *> m_waiters;
    std::deque<StoreCall> m_calls;
    ClaimId m_nextId = 1;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace dragonflysill
