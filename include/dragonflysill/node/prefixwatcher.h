#pragma once

#include "dragonflysill/base/backoff.h"
#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/store/asyncstore.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace dragonflysill {

/**
 * Follows all keys with a prefix: reads them once, then waits for changes, and reads them again
 * when the store has dropped the history in between. A pause between two waits bounds the calls;
 * changes gather during it.
 */
class PrefixWatcher
{
public:
    struct Handlers
    {
        /** Receives a full reading, which replaces everything before. */
        std::function<void(std::span<const KeyValue> items, std::int64_t asOf)> reset;
        /** Receives changes in order; also called with none. */
        std::function<void(std::span<const KeyUpdate> updates, std::int64_t asOf)> changed;
    };

    PrefixWatcher(EventLoop &loop, AsyncStore &store, std::string prefix, Duration pause,
                  Handlers handlers);
    ~PrefixWatcher();
    PrefixWatcher(const PrefixWatcher &) = delete;
    PrefixWatcher &operator=(const PrefixWatcher &) = delete;

    /** Begins with the full reading. */
    void start();

    /** Sets the pause between two waits. */
    void setPause(Duration pause) { m_pause = pause; }

    /** Returns when the store last answered. */
    [[nodiscard]] TimePoint lastContact() const { return m_lastContact; }

private:
    void list(const std::string &after);
    void listed(Result<StorePage> page);
    void wait();
    void waited(const Result<StoreChanges> &changes);
    void retry(std::function<void()> action);

    EventLoop &m_loop;
    AsyncStore &m_store;
    std::string m_prefix;
    Duration m_pause;
    Handlers m_handlers;
    Backoff m_backoff;
    std::vector<KeyValue> m_items;
    std::int64_t m_listedAsOf = 0;
    std::int64_t m_asOf = 0;
    TimePoint m_lastContact{};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dragonflysill
