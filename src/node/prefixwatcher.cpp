#include "dragonflysill/node/prefixwatcher.h"

#include "dragonflysill/base/hash.h"
#include "dragonflysill/telemetry/log.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** Delays after failed calls. */
constexpr BackoffLimits backoffLimits{50ms, 400ms};

} // namespace internal

PrefixWatcher::PrefixWatcher(EventLoop &loop, AsyncStore &store, std::string prefix, Timing timing,
                             Handlers handlers)
    : m_loop(loop)
    , m_store(store)
    , m_prefix(std::move(prefix))
    , m_timing(timing)
    , m_handlers(std::move(handlers))
    , m_backoff(stableHash(m_prefix)
                        ^ static_cast<std::uint64_t>(EventLoop::now().time_since_epoch().count()),
                internal::backoffLimits)
{
}

PrefixWatcher::~PrefixWatcher()
{
    *m_alive = false;
}

void PrefixWatcher::start()
{
    m_listedItems.clear();
    m_listedPages.clear();
    m_listedAsOf = 0;
    m_listSentAt = EventLoop::now();
    list({});
}

void PrefixWatcher::startFrom(std::int64_t asOf)
{
    m_asOf = asOf;
    waitForChanges();
}

void PrefixWatcher::pollAgain()
{
    if (m_asOf == 0)
        return;
    m_failed = true;
    waitForChanges();
}

void PrefixWatcher::list(const std::string &after)
{
    m_store.list(m_prefix, after, [this, alive = m_alive, call = ++m_call](Result<StorePage> page) {
        if (*alive && call == m_call)
            pageReceived(std::move(page));
    });
}

void PrefixWatcher::pageReceived(Result<StorePage> page)
{
    if (!page) {
        retry([this] { start(); });
        return;
    }
    m_lastResponseAt = EventLoop::now();
    // The pages are not a consistent snapshot, so the watch starts at the revision of the first one
    // and applies later changes again.
    if (m_listedAsOf == 0)
        m_listedAsOf = page->asOf;
    std::ranges::move(page->items, std::back_inserter(m_listedItems));
    if (page->more && !m_listedItems.empty()) {
        const auto &after = m_listedItems.back().key;
        if (m_listedPages.insert(after).second) {
            list(after);
        } else {
            logWarning("list-without-end", {{"prefix", m_prefix}, {"after", after}});
            retry([this] { start(); });
        }
        return;
    }
    m_backoff.reset();
    m_listedPages.clear();
    m_asOf = m_listedAsOf;
    const auto items = std::exchange(m_listedItems, {});
    handle([&] {
        m_handlers.reset(items, m_asOf);
        notifyApplied(Response::List, m_listSentAt);
    });
    waitForChanges();
}

void PrefixWatcher::waitForChanges()
{
    // After a failure, an answer tells at once that the store is back.
    const auto wait = m_failed ? std::chrono::milliseconds{0} : m_timing.wait;
    m_store.watch(m_prefix, m_asOf, wait,
                  [this, alive = m_alive, call = ++m_call,
                   sentAt = EventLoop::now()](const Result<StoreChanges> &changes) {
                      if (*alive && call == m_call)
                          changesReceived(changes, sentAt);
                  });
}

void PrefixWatcher::changesReceived(const Result<StoreChanges> &changes, TimePoint sentAt)
{
    if (!changes) {
        if (changes.error().is(ErrorKind::Compacted))
            retry([this] { start(); });
        else
            retry([this] { waitForChanges(); });
        return;
    }
    m_backoff.reset();
    m_failed = false;
    m_lastResponseAt = EventLoop::now();
    if (!m_advanceOnChangesOnly)
        m_asOf = std::max(m_asOf, changes->asOf);
    else if (!changes->updates.empty())
        m_asOf = std::max(m_asOf, changes->updates.back().revision);
    handle([&] {
        m_handlers.changed(changes->updates, m_asOf);
        notifyApplied(Response::Poll, sentAt);
    });
    if (changes->updates.empty() || m_timing.pause == Duration{0}) {
        waitForChanges();
        return;
    }
    m_loop.after(m_timing.pause, [this, alive = m_alive, call = m_call] {
        if (*alive && call == m_call)
            waitForChanges();
    });
}

void PrefixWatcher::notifyApplied(Response response, TimePoint sentAt)
{
    if (m_handlers.applied)
        m_handlers.applied(response, sentAt);
}

void PrefixWatcher::handle(const std::function<void()> &handler)
{
    try {
        handler();
    } catch (const std::exception &) {
        // The event loop reports the error; the watch goes on with a full list.
        retry([this] { start(); });
        throw;
    }
}

void PrefixWatcher::retry(std::function<void()> action)
{
    m_failed = true;
    m_loop.after(m_backoff.next(),
                 [this, alive = m_alive, call = m_call, action = std::move(action)] {
                     if (*alive && call == m_call)
                         action();
                 });
}

} // namespace dragonflysill
