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

/** The faults that a MemoryStore injects. */
struct StoreFaults
{
    bool down = false; ///< Every call fails with StoreUnavailable and watches end.
    int loseAnswers = 0; ///< The next writes take effect but return OutcomeUnknown.
    int loseRequests = 0; ///< The next writes return OutcomeUnknown without taking effect.
    int reject = 0; ///< The next calls fail with StoreUnavailable.
    int corruptAnswers = 0; ///< The next calls return Corrupt; writes among them take effect.
    std::chrono::milliseconds delay{0}; ///< Each call waits this long before it takes effect.
};

/** Calls since the start, by kind. Every one counts against the platform's limit. */
struct StoreCalls
{
    std::int64_t ranges = 0;
    std::int64_t commits = 0;
    std::int64_t leaseCalls = 0;
    std::int64_t watches = 0;

    [[nodiscard]] std::int64_t total() const { return ranges + commits + leaseCalls + watches; }
};

/**
 * A Store in memory with fault injection, for tests and bench programs. Thread-safe. Time comes
 * from a function, so that a test can set it.
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

    /** Watches a key range; as watch() in everything else. */
    Result<Done> watchRange(const RangeOperation &keys, std::int64_t startRevision,
                            const WatchHandler &handler);

    /** Replaces the injected faults. */
    void setFaults(const StoreFaults &faults);

    /** Returns the faults that are still to be injected. */
    [[nodiscard]] StoreFaults faults() const;

    /** Returns the calls since the start. */
    [[nodiscard]] StoreCalls calls() const;

    /** Returns the newest revision. */
    [[nodiscard]] std::int64_t revision() const;

    /** Ends all watches with StoreUnavailable. */
    void endWatches();

    /** Drops the history before the newest revision; watches that have not read it end. */
    void compactHistory();

    /** Drops the history before a revision; counts as a call. */
    Result<Done> compact(std::int64_t revision);

    /** Returns the revision at which the history starts. */
    [[nodiscard]] std::int64_t compactedRevision() const;

    /** Expires a lease now; LeaseLost if it does not exist. */
    Result<Done> expireLease(LeaseId id);

    /** Expires the lease of a key now; LeaseLost if the key has none. */
    Result<Done> lapseLeaseOf(std::string_view key);

    /** Returns a copy of the whole state. */
    [[nodiscard]] StoreEngine snapshot() const;

    /** Restarts from an earlier state: watches end, and the revision goes back. */
    void restore(const StoreEngine &snapshot);

private:
    enum class Fate { Execute, Unavailable, LoseAnswer, LoseRequest, CorruptAnswer };

    Fate nextFate(bool isWrite);
    template <typename T, typename Function>
    Result<T> execute(bool isWrite, std::int64_t StoreCalls::*counter, Function function);

    const Clock m_clock;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    StoreEngine m_engine;
    StoreFaults m_faults;
    StoreCalls m_calls;
    std::int64_t m_generation = 0; ///< Counts outages and restarts; each ends the watches.
};

} // namespace dragonflysill
