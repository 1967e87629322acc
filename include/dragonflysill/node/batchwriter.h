#pragma once

#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/store/asyncstore.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/** One requested write to the store and the callback that receives its outcome. */
struct PendingWrite
{
    enum class Outcome {
        Stored, ///< The store acknowledged the write.
        Existed, ///< The key already existed.
        NotDone, ///< The write was not applied and never will be.
        Unknown, ///< No response in time; the write may have been applied or may still be.
    };

    /** Receives the outcome and, if the key is stored, its value and revision. */
    using Callback
            = std::function<void(Outcome outcome, const std::string &value, std::int64_t revision)>;

    std::string key;
    std::string value;
    bool mustBeNew = false; ///< Write only if the key does not exist.
    TimePoint deadline{}; ///< The write is not repeated after this time.
    Callback callback;
};

/**
 * Combines independent writes into transactions: while transactions are in flight, further writes
 * are queued for the next one. A write whose response was lost is repeated until its outcome is
 * known or its deadline has passed.
 */
class BatchWriter
{
public:
    BatchWriter(EventLoop &loop, AsyncStore &store);
    ~BatchWriter();
    BatchWriter(const BatchWriter &) = delete;
    BatchWriter &operator=(const BatchWriter &) = delete;

    /** Queues a write. Its callback runs asynchronously. */
    void write(PendingWrite write);

    /**
     * Completes all pending writes immediately: with NotDone if they were never sent, with Unknown
     * otherwise. Called when the store becomes unreachable; later responses are ignored.
     */
    void completeAll();

private:
    struct Entry
    {
        PendingWrite write;
        TimePoint queuedAt{};
        bool maybeStored = false; ///< An earlier attempt got no response.
    };
    using Batch = std::vector<Entry>;

    /** Runs the callback of a write that is not repeated again, with Unknown or NotDone. */
    static void complete(const Entry &entry);
    void flush();
    void retryAfterDelay(Batch entries);
    void responseReceived(std::uint64_t number, const Result<WriteOutcome> &outcome);
    void writesApplied(Batch batch, std::int64_t revision);
    void writesConflicted(Batch batch, const WriteOutcome &outcome);
    void writesFailed(Batch batch, const Error &error);

    EventLoop &m_loop;
    AsyncStore &m_store;
    std::deque<Entry> m_queued;
    Batch m_retrying; ///< Failed writes that are waiting for the retry delay.
    std::map<std::uint64_t, Batch> m_sent; ///< Batches in flight by batch number.
    std::uint64_t m_lastBatchNumber = 0;
    int m_inFlight = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dragonflysill
