#pragma once

#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/store/asyncstore.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace dragonflysill::test {

/** In-memory store that can inject faults into writes. */
class FakeStore : public AsyncStore
{
public:
    enum class Fault {
        None,
        Unavailable, ///< The write is not applied and fails with StoreUnavailable.
        LostBefore, ///< The write is not applied and its outcome is unknown.
        LostAfter, ///< The write is applied and its outcome is unknown.
        Silent, ///< The write is not applied and its callback never runs.
    };

    /** Maximum length of a key; a write with a longer one is refused. */
    static constexpr std::size_t maxKeyBytes = 200;

    explicit FakeStore(EventLoop &loop)
        : m_loop(loop)
    {
    }

    void get(const std::string &key, Callback<KeyValue> callback) override
    {
        ++reads;
        const auto it = items.find(key);
        if (!reachable)
            answer(std::move(callback), Result<KeyValue>(Error(ErrorKind::StoreUnavailable)));
        else if (it == items.end())
            answer(std::move(callback), Result<KeyValue>(Error(ErrorKind::NotFound)));
        else
            answer(std::move(callback), Result<KeyValue>(it->second));
    }

    void list(const std::string &prefix, const std::string &after,
              Callback<StorePage> callback) override
    {
        ++lists;
        StorePage page;
        page.asOf = revision;
        for (const auto &[key, item] : items) {
            if (!key.starts_with(prefix) || key <= after)
                continue;
            if (page.items.size() == pageSize) {
                page.more = true;
                break;
            }
            page.items.push_back(item);
        }
        answer(std::move(callback), Result<StorePage>(std::move(page)));
    }

    void watch(const std::string &prefix, std::int64_t after, std::chrono::milliseconds wait,
               Callback<StoreChanges> callback) override
    {
        ++watches;
        watchWaits.push_back(wait);
        if (watches > watchLimit)
            return;
        if (!reachable) {
            answer(std::move(callback), Result<StoreChanges>(Error(ErrorKind::StoreUnavailable)));
            return;
        }
        if (after < compactedUpTo) {
            answer(std::move(callback), Result<StoreChanges>(Error(ErrorKind::Compacted)));
            return;
        }
        StoreChanges result;
        for (const auto &it : changes) {
            if (!silent && it.revision > after && it.key.starts_with(prefix))
                result.updates.push_back(it);
        }
        result.asOf = revision;
        answer(std::move(callback), Result<StoreChanges>(std::move(result)));
    }

    void write(const ConditionalWrite &change, Callback<WriteOutcome> callback) override
    {
        ++writes;
        Fault fault = Fault::None;
        if (!faults.empty()) {
            fault = faults.front();
            faults.pop_front();
        }
        if (fault == Fault::Silent)
            return;
        if (fault == Fault::Unavailable) {
            answer(std::move(callback), Result<WriteOutcome>(Error(ErrorKind::StoreUnavailable)));
            return;
        }
        if (std::ranges::any_of(change.writes, [](const auto &it) {
                return it.key.empty() || it.key.size() > maxKeyBytes;
            })) {
            answer(std::move(callback),
                   Result<WriteOutcome>(Error(ErrorKind::Corrupt, "status 400")));
            return;
        }
        Result<WriteOutcome> outcome = Error(ErrorKind::OutcomeUnknown);
        if (fault != Fault::LostBefore) {
            auto applied = apply(change);
            if (fault == Fault::None)
                outcome = std::move(applied);
        }
        answer(std::move(callback), std::move(outcome));
    }

    void grantLease(std::chrono::milliseconds length, Callback<GrantedLease> callback) override
    {
        answer(std::move(callback), Result<GrantedLease>(GrantedLease{++lastLease, length}));
    }

    void renewLease(LeaseId, Callback<Done> callback) override
    {
        ++renewals;
        if (leaseEnded)
            answer(std::move(callback), Result<Done>(Error(ErrorKind::LeaseLost)));
        else
            answer(std::move(callback), Result<Done>(Done()));
    }

    void endLease(LeaseId id, Callback<Done> callback) override
    {
        endedLease = id;
        answer(std::move(callback), Result<Done>(Done()));
    }

    /** Writes an item as another client would and returns its revision. */
    std::int64_t put(const std::string &key, const std::string &value)
    {
        apply({{}, {{key, value, 0}}, {}});
        return revision;
    }

    std::map<std::string, KeyValue> items;
    std::deque<KeyUpdate> changes;
    std::deque<Fault> faults; ///< Faults of the next writes, in order.
    std::int64_t revision = 1;
    std::int64_t compactedUpTo = 0;
    std::size_t pageSize = 2;
    bool reachable = true;
    bool silent = false; ///< Watches return no changes, as while the history is discarded.
    std::function<void()> beforeAnswer; ///< Called when an answer is due, before its callback.
    bool leaseEnded = false;
    int writes = 0;
    int reads = 0;
    int lists = 0;
    int watches = 0;
    std::vector<std::chrono::milliseconds> watchWaits; ///< Wait of each watch.
    int watchLimit
            = 1; ///< Number of watches that are answered; later ones are not, to end the loop.
    int renewals = 0;
    LeaseId lastLease = 0;
    LeaseId endedLease = 0;

private:
    template <typename T>
    void answer(Callback<T> callback, Result<T> result)
    {
        m_loop.post([this, callback = std::move(callback), result = std::move(result)] {
            if (beforeAnswer)
                beforeAnswer();
            callback(result);
        });
    }

    WriteOutcome apply(const ConditionalWrite &change)
    {
        WriteOutcome outcome;
        const bool holds = std::ranges::all_of(change.expected, [&](const auto &it) {
            const auto found = items.find(it.key);
            return it.revision == (found == items.end() ? 0 : found->second.modRevision);
        });
        if (!holds) {
            for (const auto &it : change.expected) {
                if (const auto found = items.find(it.key); found != items.end())
                    outcome.current.push_back(found->second);
            }
            return outcome;
        }
        ++revision;
        for (const auto &it : change.writes) {
            items[it.key] = {it.key, it.value, revision, revision, it.lease};
            changes.push_back({it.key, it.value, revision, false});
        }
        outcome.applied = true;
        outcome.revision = revision;
        return outcome;
    }

    EventLoop &m_loop;
};

} // namespace dragonflysill::test
