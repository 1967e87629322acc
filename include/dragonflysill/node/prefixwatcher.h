#pragma once

#include "dragonflysill/base/backoff.h"
#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/store/asyncstore.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace dragonflysill {

/**
 * Watches all keys with a prefix: lists them once, then waits for changes with long polls, and
 * lists them again if the store has compacted the history in between. A pause between two polls
 * limits the number of calls; changes accumulate during it.
 */
class PrefixWatcher
{
public:
    /** Kinds of responses of the store. */
    enum class Response {
        List, ///< A full list; sent when its first page was requested.
        Poll,
    };

    struct Handlers
    {
        /** Receives a full list of the items, which replaces all earlier data. */
        std::function<void(std::span<const KeyValue> items, std::int64_t asOf)> reset;
        /** Receives changes in order of their revisions; also called without any. */
        std::function<void(std::span<const KeyUpdate> updates, std::int64_t asOf)> changed;
        /** Told after a response has been applied; may be empty. */
        std::function<void(Response response, TimePoint sentAt)> applied = nullptr;
    };

    /** Times of a watch. */
    struct Timing
    {
        Duration pause{0}; ///< Between two polls.
        /** Maximum duration of a poll, after which a silent connection is noticed. */
        std::chrono::milliseconds wait{1000};
    };

    PrefixWatcher(EventLoop &loop, AsyncStore &store, std::string prefix, Timing timing,
                  Handlers handlers);
    ~PrefixWatcher();
    PrefixWatcher(const PrefixWatcher &) = delete;
    PrefixWatcher &operator=(const PrefixWatcher &) = delete;

    /** Starts with a full list of the items. */
    void start();

    /** Starts with the changes after a revision up to which the items are known. */
    void startFrom(std::int64_t asOf);

    /**
     * Replaces a poll that is not answered by a new one, for use when the store is back. The first
     * list goes on.
     */
    void pollAgain();

    /** Returns the revision up to which the items are known; 0 before the first list. */
    [[nodiscard]] std::int64_t asOf() const { return m_asOf; }

    /** Sets the pause between two polls. */
    void setPause(Duration pause) { m_timing.pause = pause; }

    /** Sets the maximum duration of the following polls. */
    void setWait(std::chrono::milliseconds wait) { m_timing.wait = wait; }

    /**
     * Sets whether asOf() stays at the newest change when a poll returns none. A poll that is
     * answered while the store discards its history may leave out changes up to the revision that
     * it names; the next poll then asks for them again, or learns that they have been discarded.
     */
    void setAdvanceOnChangesOnly(bool on) { m_advanceOnChangesOnly = on; }

    /** Returns when the store last answered successfully. */
    [[nodiscard]] TimePoint lastResponseAt() const { return m_lastResponseAt; }

private:
    void list(const std::string &after);
    void pageReceived(Result<StorePage> page);
    void waitForChanges();
    void changesReceived(const Result<StoreChanges> &changes, TimePoint sentAt);
    /** Calls a handler; the watch goes on if it throws. */
    void handle(const std::function<void()> &handler);
    void notifyApplied(Response response, TimePoint sentAt);
    void retry(std::function<void()> action);

    EventLoop &m_loop;
    AsyncStore &m_store;
    std::string m_prefix;
    Timing m_timing;
    Handlers m_handlers;
    Backoff m_backoff;
    std::vector<KeyValue> m_listedItems;
    std::set<std::string> m_listedPages; ///< Keys after which pages of the list were requested.
    std::int64_t m_listedAsOf = 0;
    TimePoint m_listSentAt{}; ///< When the first page of the list was requested.
    std::int64_t m_asOf = 0;
    TimePoint m_lastResponseAt{};
    bool m_failed = false; ///< The last call failed.
    bool m_advanceOnChangesOnly = false;
    std::uint64_t m_call = 0; ///< Number of the last call; responses to earlier ones are ignored.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dragonflysill
