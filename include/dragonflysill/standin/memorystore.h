#pragma once

#include "dragonflysill/base/time.h"
#include "dragonflysill/standin/storeengine.h"
#include "dragonflysill/store/store.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>

namespace dragonflysill {

/** The faults that a MemoryStore injects. Counters decrease with each affected call. */
struct StoreFaults
{
    bool down = false; ///< All calls fail with StoreUnavailable, and watches end.
    int loseAnswers = 0; ///< Number of writes that take effect but return OutcomeUnknown.
    int loseRequests = 0; ///< Number of writes without effect that return OutcomeUnknown.
    int reject = 0; ///< Number of calls that fail with StoreUnavailable.
    int corruptAnswers = 0; ///< Number of calls that return Corrupt; writes take effect.
    std::chrono::milliseconds delay{0}; ///< Time that each call waits before it takes effect.
};

/** Number of calls since the start, by kind. All of them count against the platform's limit. */
struct StoreCalls
{
    std::int64_t ranges = 0;
    std::int64_t commits = 0;
    std::int64_t leaseCalls = 0;
    std::int64_t watches = 0;

    [[nodiscard]] std::int64_t total() const { return ranges + commits + leaseCalls + watches; }
};

/**
 * An in-memory Store with fault injection, for tests and bench programs. Thread-safe. The clock is
 * a function, so that a test can control the time.
 */
class MemoryStore : public Store
{
public:
    using Clock = std::function<TimePoint()>;

    explicit MemoryStore(Clock clock = steadyNow);
    ~MemoryStore() override;

    Result<RangeResult> range(const RangeOperation &operation) override;
    Result<TransactionResult> commit(const Transaction &transaction) override;
    Result<Lease> grantLease(std::int64_t ttlSeconds) override;
    Result<Lease> renewLease(LeaseId id) override;
    Result<Done> revokeLease(LeaseId id) override;
    Result<Done> watch(std::string_view prefix, std::int64_t startRevision,
                       const WatchHandler &handler) override;

    /** Watches a key range instead of a prefix; otherwise the same as watch(). */
    Result<Done> watchRange(const RangeOperation &keys, std::int64_t startRevision,
                            const WatchHandler &handler);

    /** Replaces the injected faults. */
    void setFaults(const StoreFaults &faults);

    /** Returns the active faults and the remaining counts. */
    [[nodiscard]] StoreFaults faults() const;

    /** Returns the number of calls since the start. */
    [[nodiscard]] StoreCalls calls() const;

    /** Returns the newest revision. */
    [[nodiscard]] std::int64_t revision() const;

    /** Ends all watches with StoreUnavailable. */
    void endWatches();

    /** Compacts up to the newest revision; watches that have not read the dropped history end. */
    void compactHistory();

    /** Drops the history before a revision. Counts as a call and is subject to the faults. */
    Result<Done> compact(std::int64_t revision);

    /** Returns the oldest revision in the history. */
    [[nodiscard]] std::int64_t compactedRevision() const;

    /** Expires a lease immediately; LeaseLost if it does not exist. */
    Result<Done> expireLease(LeaseId id);

    /** Expires the lease of a key immediately; LeaseLost if the key has none. */
    Result<Done> lapseLeaseOf(std::string_view key);

    /** Returns a copy of the whole state. */
    [[nodiscard]] StoreEngine snapshot() const;

    /** Restores an earlier state as if by a restart: watches end, and the revision decreases. */
    void restore(const StoreEngine &snapshot);

private:
    /** The fault injected into one call. */
    enum class InjectedFault { None, Unavailable, LoseAnswer, LoseRequest, CorruptAnswer };

    InjectedFault takeFault(bool isWrite);
    template <typename T, typename Function>
    Result<T> execute(bool isWrite, std::int64_t StoreCalls::*counter, Function function);

    const Clock m_clock;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    StoreEngine m_engine;
    StoreFaults m_faults;
    StoreCalls m_calls;
    std::int64_t m_generation = 0; ///< Incremented whenever all watches end.
};

} // namespace dragonflysill
