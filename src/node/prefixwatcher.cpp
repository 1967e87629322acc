#include "dragonflysill/node/prefixwatcher.h"

#include "dragonflysill/base/hash.h"

#include <algorithm>
#include <utility>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** Longest wait of one call: a connection that has gone silent is noticed soon after. */
constexpr std::chrono::milliseconds watchWait = 1000ms;
/** Pauses after failed calls. */
constexpr BackoffLimits retryLimits{50ms, 400ms};

} // namespace internal

PrefixWatcher::PrefixWatcher(EventLoop &loop, AsyncStore &store, std::string prefix, Duration pause,
                             Handlers handlers)
    : m_loop(loop)
    , m_store(store)
    , m_prefix(std::move(prefix))
    , m_pause(pause)
    , m_handlers(std::move(handlers))
    , m_backoff(stableHash(m_prefix)
                        ^ static_cast<std::uint64_t>(EventLoop::now().time_since_epoch().count()),
                internal::retryLimits)
{
}

PrefixWatcher::~PrefixWatcher()
{
    *m_alive = false;
}

void PrefixWatcher::start()
{
    m_items.clear();
    m_listedAsOf = 0;
    list({});
}

void PrefixWatcher::list(const std::string &after)
{
    m_store.list(m_prefix, after, [this, alive = m_alive](Result<StorePage> page) {
        if (*alive)
            listed(std::move(page));
    });
}

void PrefixWatcher::listed(Result<StorePage> page)
{
    if (!page) {
        retry([this] { start(); });
        return;
    }
    m_backoff.reset();
    m_lastContact = EventLoop::now();
    // The pages are no snapshot: changes since the first one are applied again by the watch.
    if (m_listedAsOf == 0)
        m_listedAsOf = page->asOf;
    std::ranges::move(page->items, std::back_inserter(m_items));
    if (page->more && !m_items.empty()) {
        list(m_items.back().key);
        return;
    }
    m_asOf = m_listedAsOf;
    m_handlers.reset(m_items, m_asOf);
    m_items.clear();
    wait();
}

void PrefixWatcher::wait()
{
    m_store.watch(m_prefix, m_asOf, internal::watchWait,
                  [this, alive = m_alive](const Result<StoreChanges> &changes) {
                      if (*alive)
                          waited(changes);
                  });
}

void PrefixWatcher::waited(const Result<StoreChanges> &changes)
{
    if (!changes) {
        if (changes.error().is(ErrorKind::Compacted))
            retry([this] { start(); });
        else
            retry([this] { wait(); });
        return;
    }
    m_backoff.reset();
    m_lastContact = EventLoop::now();
    m_asOf = std::max(m_asOf, changes->asOf);
    m_handlers.changed(changes->updates, m_asOf);
    if (changes->updates.empty() || m_pause == Duration{0}) {
        wait();
        return;
    }
    m_loop.after(m_pause, [this, alive = m_alive] {
        if (*alive)
            wait();
    });
}

void PrefixWatcher::retry(std::function<void()> action)
{
    m_loop.after(m_backoff.next(), [alive = m_alive, action = std::move(action)] {
        if (*alive)
            action();
    });
}

} // namespace dragonflysill
