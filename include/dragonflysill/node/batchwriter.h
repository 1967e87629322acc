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

/** A value that a caller waits to see stored. */
struct PendingWrite
{
    enum class Outcome {
        Stored, ///< The store acknowledged it.
        Existed, ///< The key was there before.
        NotDone, ///< The store certainly did not and will not write it.
        Unknown, ///< No answer in time; it may be stored, or may yet be.
    };

    /** Receives the outcome, the stored value and the key's revision if it is stored. */
    using Callback
            = std::function<void(Outcome outcome, const std::string &value, std::int64_t revision)>;

    std::string key;
    std::string value;
    bool mustBeNew = false; ///< Only written if the key does not exist.
    TimePoint giveUpAt{};
    Callback callback;
};

/**
 * Writes independent values in common transactions: while some are on their way to the store, the
 * next ones gather. A write whose answer was lost is repeated until its outcome is known or its
 * caller has waited long enough.
 */
class BatchWriter
{
public:
    BatchWriter(EventLoop &loop, AsyncStore &store);
    ~BatchWriter();
    BatchWriter(const BatchWriter &) = delete;
    BatchWriter &operator=(const BatchWriter &) = delete;

    /** Starts a write; the callback runs later. */
    void write(PendingWrite write);

    /**
     * Tells all callers at once what is known: NotDone for writes that were never sent, Unknown for
     * the others. Called when the store can't be reached; answers that still come are ignored.
     */
    void abandon();

private:
    struct Entry
    {
        PendingWrite write;
        TimePoint enqueuedAt{};
        bool maybeStored = false; ///< An earlier try got no answer.
    };
    using Batch = std::vector<Entry>;

    /** Tells the caller what is known of a write that is not repeated any more. */
    static void giveUp(const Entry &entry);
    void flush();
    void retryLater(Batch entries);
    void finished(std::uint64_t number, const Result<WriteOutcome> &outcome);
    void applied(Batch batch, std::int64_t revision);
    void conflicted(Batch batch, const WriteOutcome &outcome);
    void failed(Batch batch, const Error &error);

    EventLoop &m_loop;
    AsyncStore &m_store;
    std::deque<Entry> m_waiting;
    Batch m_pausing; ///< Failed, to be sent again after a pause.
    std::map<std::uint64_t, Batch> m_sent; ///< On their way, by a number of their own.
    std::uint64_t m_lastSent = 0;
    int m_inFlight = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dragonflysill
