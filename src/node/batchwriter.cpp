#include "dragonflysill/node/batchwriter.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** A transaction of the store may have 32 entries; each write needs one, and its condition another.
 */
constexpr std::size_t writesPerBatch = 16;
/**
 * Maximum number of batches in flight; more than one, so that a lost response does not block the
 * other writes.
 */
constexpr int maxBatchesInFlight = 4;
/** Maximum time for which a write that the store refuses is repeated. */
constexpr Duration maxRefusalRetryTime = 300ms;
/** Delay before a write is repeated. */
constexpr Duration retryDelay = 60ms;

} // namespace internal

BatchWriter::BatchWriter(EventLoop &loop, AsyncStore &store)
    : m_loop(loop)
    , m_store(store)
{
}

BatchWriter::~BatchWriter()
{
    *m_alive = false;
}

void BatchWriter::write(PendingWrite write)
{
    m_queued.push_back({std::move(write), EventLoop::now(), false});
    if (m_inFlight == 0 || m_queued.size() >= internal::writesPerBatch)
        flush();
}

void BatchWriter::flush()
{
    while (!m_queued.empty() && m_inFlight < internal::maxBatchesInFlight) {
        const auto n = std::min(m_queued.size(), internal::writesPerBatch);
        const auto end = m_queued.begin() + static_cast<std::ptrdiff_t>(n);
        Batch batch(std::make_move_iterator(m_queued.begin()), std::make_move_iterator(end));
        m_queued.erase(m_queued.begin(), end);
        ConditionalWrite change;
        for (const auto &it : batch) {
            if (it.write.mustBeNew)
                change.expected.push_back({it.write.key, 0});
            change.writes.push_back({it.write.key, it.write.value, 0});
        }
        ++m_inFlight;
        m_sent.emplace(++m_lastBatchNumber, std::move(batch));
        m_store.write(change, [this, alive = m_alive,
                               number = m_lastBatchNumber](const Result<WriteOutcome> &outcome) {
            if (*alive)
                responseReceived(number, outcome);
        });
    }
}

void BatchWriter::completeAll()
{
    Batch entries = std::exchange(m_retrying, {});
    std::ranges::move(std::exchange(m_queued, {}), std::back_inserter(entries));
    for (auto &[number, batch] : std::exchange(m_sent, {})) {
        for (auto &it : batch) {
            it.maybeStored = true;
            entries.push_back(std::move(it));
        }
    }
    for (const auto &it : entries)
        complete(it);
}

void BatchWriter::complete(const Entry &entry)
{
    entry.write.callback(entry.maybeStored ? PendingWrite::Outcome::Unknown
                                           : PendingWrite::Outcome::NotDone,
                         {}, 0);
}

void BatchWriter::responseReceived(std::uint64_t number, const Result<WriteOutcome> &outcome)
{
    --m_inFlight;
    auto sent = m_sent.extract(number);
    if (sent.empty()) {
        flush();
        return;
    }
    Batch batch = std::move(sent.mapped());
    if (!outcome)
        writesFailed(std::move(batch), outcome.error());
    else if (outcome->applied)
        writesApplied(std::move(batch), outcome->revision);
    else
        writesConflicted(std::move(batch), *outcome);
    flush();
}

void BatchWriter::writesApplied(Batch batch, std::int64_t revision)
{
    for (auto &it : batch)
        it.write.callback(PendingWrite::Outcome::Stored, it.write.value, revision);
}

void BatchWriter::writesConflicted(Batch batch, const WriteOutcome &outcome)
{
    Batch others;
    for (auto &it : batch) {
        const auto found = std::ranges::find(outcome.current, it.write.key, &KeyValue::key);
        if (found == outcome.current.end() || !it.write.mustBeNew) {
            others.push_back(std::move(it));
            continue;
        }
        const bool own = it.maybeStored && found->value == it.write.value;
        it.write.callback(own ? PendingWrite::Outcome::Stored : PendingWrite::Outcome::Existed,
                          found->value, found->modRevision);
    }
    if (others.size() == batch.size()) {
        writesFailed(std::move(others),
                     Error(ErrorKind::Corrupt,
                           "the response to a refused write names none of its keys"));
        return;
    }
    for (auto it = others.rbegin(); it != others.rend(); ++it)
        m_queued.push_front(std::move(*it));
}

void BatchWriter::writesFailed(Batch batch, const Error &error)
{
    const auto now = EventLoop::now();
    const bool unknown = !error.is(ErrorKind::StoreUnavailable);
    Batch again;
    for (auto &it : batch) {
        it.maybeStored = it.maybeStored || unknown;
        const auto limit = it.maybeStored ? it.write.deadline
                                          : std::min(it.write.deadline,
                                                     it.queuedAt + internal::maxRefusalRetryTime);
        if (now < limit)
            again.push_back(std::move(it));
        else
            complete(it);
    }
    if (!again.empty())
        retryAfterDelay(std::move(again));
}

void BatchWriter::retryAfterDelay(Batch entries)
{
    std::ranges::move(entries, std::back_inserter(m_retrying));
    m_loop.after(internal::retryDelay, [this, alive = m_alive] {
        if (!*alive)
            return;
        std::ranges::move(std::exchange(m_retrying, {}), std::back_inserter(m_queued));
        flush();
    });
}

} // namespace dragonflysill
