#include "dragonflysill/node/batchwriter.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** The store takes 32 entries a transaction; each write needs one and its condition another. */
constexpr std::size_t writesPerBatch = 16;
/** Batches on their way at once, so that one lost answer does not hold up the others. */
constexpr int mostInFlight = 4;
/** How long a write that the store refuses is repeated before its caller is told. */
constexpr Duration refusalPatience = 300ms;
/** Pause before a write is repeated. */
constexpr Duration retryPause = 60ms;

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
    m_waiting.push_back({std::move(write), EventLoop::now(), false});
    if (m_inFlight == 0 || m_waiting.size() >= internal::writesPerBatch)
        flush();
}

void BatchWriter::flush()
{
    while (!m_waiting.empty() && m_inFlight < internal::mostInFlight) {
        const auto n = std::min(m_waiting.size(), internal::writesPerBatch);
        const auto end = m_waiting.begin() + static_cast<std::ptrdiff_t>(n);
        Batch batch(std::make_move_iterator(m_waiting.begin()), std::make_move_iterator(end));
        m_waiting.erase(m_waiting.begin(), end);
        ConditionalWrite change;
        for (const auto &it : batch) {
            if (it.write.mustBeNew)
                change.expected.push_back({it.write.key, 0});
            change.writes.push_back({it.write.key, it.write.value, 0});
        }
        ++m_inFlight;
        m_sent.emplace(++m_lastSent, std::move(batch));
        m_store.write(change, [this, alive = m_alive,
                               number = m_lastSent](const Result<WriteOutcome> &outcome) {
            if (*alive)
                finished(number, outcome);
        });
    }
}

void BatchWriter::abandon()
{
    Batch entries = std::exchange(m_pausing, {});
    std::ranges::move(std::exchange(m_waiting, {}), std::back_inserter(entries));
    for (auto &[number, batch] : std::exchange(m_sent, {})) {
        for (auto &it : batch) {
            it.maybeStored = true;
            entries.push_back(std::move(it));
        }
    }
    for (const auto &it : entries)
        giveUp(it);
}

void BatchWriter::giveUp(const Entry &entry)
{
    entry.write.callback(entry.maybeStored ? PendingWrite::Outcome::Unknown
                                           : PendingWrite::Outcome::NotDone,
                         {}, 0);
}

void BatchWriter::finished(std::uint64_t number, const Result<WriteOutcome> &outcome)
{
    --m_inFlight;
    auto sent = m_sent.extract(number);
    if (sent.empty()) {
        flush();
        return;
    }
    Batch batch = std::move(sent.mapped());
    if (!outcome)
        failed(std::move(batch), outcome.error());
    else if (outcome->applied)
        applied(std::move(batch), outcome->revision);
    else
        conflicted(std::move(batch), *outcome);
    flush();
}

void BatchWriter::applied(Batch batch, std::int64_t revision)
{
    for (auto &it : batch)
        it.write.callback(PendingWrite::Outcome::Stored, it.write.value, revision);
}

void BatchWriter::conflicted(Batch batch, const WriteOutcome &outcome)
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
        failed(std::move(others), Error(ErrorKind::Corrupt, "a refused write names no key"));
        return;
    }
    for (auto it = others.rbegin(); it != others.rend(); ++it)
        m_waiting.push_front(std::move(*it));
}

void BatchWriter::failed(Batch batch, const Error &error)
{
    const auto now = EventLoop::now();
    const bool unknown = !error.is(ErrorKind::StoreUnavailable);
    Batch again;
    for (auto &it : batch) {
        it.maybeStored = it.maybeStored || unknown;
        const auto limit = it.maybeStored ? it.write.giveUpAt
                                          : std::min(it.write.giveUpAt,
                                                     it.enqueuedAt + internal::refusalPatience);
        if (now < limit)
            again.push_back(std::move(it));
        else
            giveUp(it);
    }
    if (!again.empty())
        retryLater(std::move(again));
}

void BatchWriter::retryLater(Batch entries)
{
    std::ranges::move(entries, std::back_inserter(m_pausing));
    m_loop.after(internal::retryPause, [this, alive = m_alive] {
        if (!*alive)
            return;
        std::ranges::move(std::exchange(m_pausing, {}), std::back_inserter(m_waiting));
        flush();
    });
}

} // namespace dragonflysill
