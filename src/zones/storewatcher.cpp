#include "storewatcher.h"

#include "dragonflysill/base/storekeys.h"
#include "dragonflysill/telemetry/log.h"

#include <nlohmann/json.hpp>
#include <pthread.h>

#include <algorithm>
#include <utility>

namespace dragonflysill::internal {

namespace {

/** How often an established watch is compared with the head key; finds a watch that hangs. */
constexpr std::chrono::seconds probeInterval{5};
constexpr std::chrono::seconds idleWait{1};

KeyUpdate toUpdate(const KeyValue &from)
{
    return {from.key, from.value, from.modRevision, false};
}

} // namespace

StoreWatcher::StoreWatcher(Store &store, const SharedView &view, std::uint64_t seed,
                           WatcherHandlers handlers)
    : m_store(store)
    , m_view(view)
    , m_handlers(std::move(handlers))
    , m_backoff(seed)
{
}

StoreWatcher::~StoreWatcher()
{
    stop();
}

void StoreWatcher::start()
{
    m_thread = std::thread([this] { run(); });
}

void StoreWatcher::stop()
{
    if (!m_thread.joinable())
        return;
    m_stopping = true;
    m_wakeup.notify();
    m_thread.join();
}

void StoreWatcher::setWanted(bool wanted)
{
    m_wanted = wanted;
    m_wakeup.notify();
}

void StoreWatcher::readOnce()
{
    m_readOnce = true;
    m_wakeup.notify();
}

std::int64_t StoreWatcher::knownRevision() const
{
    return std::max(m_completeTo, m_view.get()->revision);
}

void StoreWatcher::run()
{
    pthread_setname_np(pthread_self(), "store-watcher");
    while (!m_stopping) {
        if (m_readOnce.exchange(false))
            readFull();
        else if (!m_wanted)
            m_wakeup.waitFor(idleWait);
        else if (!session() && m_wanted)
            m_wakeup.waitFor(m_backoff.next());
    }
}

bool StoreWatcher::session()
{
    if (m_view.get()->revision == 0)
        m_needFull = true;
    if (m_needFull ? !readFull() : !storeIsCurrent())
        return false;
    m_needFull = false;
    const std::int64_t start = knownRevision() + 1;
    m_nextProbe = steadyNow() + probeInterval;
    m_expectedRevision = 0;
    bool established = false;
    const auto result = m_store.watch(
            storekeys::root, start, [&](std::span<const KeyUpdate> updates, std::int64_t revision) {
                if (!std::exchange(established, true)) {
                    m_backoff.reset();
                    m_handlers.watching(true);
                    m_handlers.storeAnswered(true);
                }
                return onBatch(updates, revision);
            });
    if (established)
        m_handlers.watching(false);
    if (result)
        return true;
    if (result.error().is(ErrorKind::Compacted))
        m_needFull = true;
    return failed(result.error());
}

bool StoreWatcher::readFull()
{
    // All keys of the view lie between these; claims, tasks, tickets and waves lie outside.
    const auto result
            = m_store.range({std::string(storekeys::entries), std::string(storekeys::poolOwners)});
    if (!result)
        return failed(result.error());
    m_handlers.storeAnswered(true);
    if (result->revision < knownRevision())
        return regressed("revision " + std::to_string(result->revision) + " is below "
                         + std::to_string(knownRevision()));
    std::vector<KeyUpdate> updates;
    updates.reserve(result->keyValues.size());
    for (const auto &it : result->keyValues)
        updates.push_back(toUpdate(it));
    m_completeTo = result->revision;
    m_handlers.state(std::move(updates), result->revision, true);
    return true;
}

bool StoreWatcher::storeIsCurrent()
{
    const auto result = m_store.range({std::string(storekeys::latestTicket), {}});
    if (!result)
        return failed(result.error());
    m_handlers.storeAnswered(true);
    if (result->revision < knownRevision())
        return regressed("revision " + std::to_string(result->revision) + " is below "
                         + std::to_string(knownRevision()));
    std::int64_t ticket = 0;
    for (const auto &it : result->keyValues) {
        const auto json = nlohmann::json::parse(it.value, nullptr, false);
        if (json.is_object())
            ticket = json.value("number", std::int64_t{0});
    }
    const std::int64_t known = m_view.get()->configuration.ticket;
    if (ticket < known)
        return regressed("ticket " + std::to_string(ticket) + " is below " + std::to_string(known));
    return true;
}

bool StoreWatcher::onBatch(std::span<const KeyUpdate> updates, std::int64_t revision)
{
    if (!updates.empty())
        m_handlers.state({updates.begin(), updates.end()}, revision, false);
    m_completeTo = std::max(m_completeTo, revision);
    if (m_stopping || !m_wanted || m_readOnce)
        return false;
    if (steadyNow() < m_nextProbe)
        return true;
    m_nextProbe = steadyNow() + probeInterval;
    return watchIsComplete();
}

bool StoreWatcher::watchIsComplete()
{
    if (m_completeTo < m_expectedRevision) {
        logWarning("watch-incomplete", {{"revision", std::to_string(m_completeTo)},
                                        {"expected", std::to_string(m_expectedRevision)}});
        return false;
    }
    const auto result = m_store.range({std::string(storekeys::latestTicket), {}});
    if (!result)
        return failed(result.error());
    if (result->revision < m_completeTo)
        return regressed("revision " + std::to_string(result->revision) + " is below "
                         + std::to_string(m_completeTo));
    // Compared at the next probe, so that a change on its way is not taken for a loss.
    m_expectedRevision = result->keyValues.empty() ? 0 : result->keyValues.front().modRevision;
    return true;
}

bool StoreWatcher::failed(const Error &error)
{
    const bool reached = error.is(ErrorKind::Compacted);
    m_handlers.storeAnswered(reached);
    return false;
}

bool StoreWatcher::regressed(const std::string &detail)
{
    m_needFull = true;
    m_handlers.regressed(detail);
    return false;
}

} // namespace dragonflysill::internal
