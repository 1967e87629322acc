#include "dragonflysill/node/workerregistry.h"

#include "dragonflysill/node/nodekeys.h"
#include "dragonflysill/node/scheduleowner.h"
#include "dragonflysill/node/workerrecord.h"
#include "dragonflysill/telemetry/log.h"
#include "names.h"
#include "workerformat.h"

#include <utility>
#include <vector>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** Pause between two polls for changes of workers; draining must be detected within 2 s. */
constexpr Duration watchPause = 200ms;
/** Delay before a failed write of the record is repeated. */
constexpr Duration retryDelay = 60ms;
/** A transaction of the store may have 32 entries: one for the owner's condition, two per pool. */
constexpr std::size_t poolsPerWrite = 14;
/** Minimum interval between two writes that only remove workers from their record. */
constexpr Duration minRemovalInterval = 1000ms;

} // namespace internal

WorkerRegistry::WorkerRegistry(const OwnerContext &context, Scheduler &scheduler,
                               std::int64_t fence, std::function<void()> onChange)
    : m_context(context)
    , m_scheduler(scheduler)
    , m_fence(fence)
    , m_onChange(std::move(onChange))
    , m_watcher(context.loop, context.store, platform::prefixWorkers,
                PrefixWatcher::Timing{internal::watchPause},
                {[this](std::span<const KeyValue> items, std::int64_t) { reset(items); },
                 [this](std::span<const KeyUpdate> updates, std::int64_t) { change(updates); }})
{
}

WorkerRegistry::~WorkerRegistry()
{
    *m_alive = false;
}

void WorkerRegistry::start()
{
    addRecordedWorkers();
    m_watcher.start();
}

void WorkerRegistry::addRecordedWorkers()
{
    const auto now = EventLoop::now();
    for (const auto &item : m_context.replica.otherItems(nodekeys::workers)) {
        const std::string pool(nodekeys::nameIn(nodekeys::workers, item.key));
        m_recordRevisions[pool] = item.modRevision;
        const auto workers = decodeWorkerRecord(pool, item.value);
        if (!workers) {
            logWarning("worker-record-unreadable",
                       {{"pool", pool}, {"error", workers.error().text()}});
            continue;
        }
        for (const auto &it : *workers) {
            m_recorded[it.id] = pool;
            m_scheduler.addInheritedWorker(it, now);
        }
    }
}

void WorkerRegistry::reset(std::span<const KeyValue> items)
{
    std::set<std::string> present;
    for (const auto &it : items) {
        const std::string id(nodekeys::nameIn(platform::prefixWorkers, it.key));
        present.insert(id);
        entryChanged(id, it.value);
    }
    std::vector<std::string> gone;
    for (const auto &[id, description] : m_listed) {
        if (!present.contains(id))
            gone.push_back(id);
    }
    std::erase_if(m_otherWorkers, [&](const auto &it) { return !present.contains(it.first); });
    for (const auto &id : gone)
        entryRemoved(id);
    updateRecord();
    m_onChange();
}

void WorkerRegistry::change(std::span<const KeyUpdate> updates)
{
    for (const auto &it : updates) {
        const std::string id(nodekeys::nameIn(platform::prefixWorkers, it.key));
        if (it.deleted)
            entryRemoved(id);
        else
            entryChanged(id, it.value);
    }
    updateRecord();
    m_onChange();
}

void WorkerRegistry::entryChanged(const std::string &id, const std::string &bytes)
{
    const auto description = platform::decodeWorker(id, bytes);
    if (!description) {
        // An entry that can't be decoded describes no usable worker.
        entryRemoved(id);
        return;
    }
    if (!isKnownPool(description->pool)) {
        entryRemoved(id);
        m_otherWorkers[id] = *description;
        return;
    }
    m_otherWorkers.erase(id);
    list(*description);
}

bool WorkerRegistry::isKnownPool(const std::string &pool) const
{
    return m_pools.empty() || m_pools.contains(pool) || m_recordRevisions.contains(pool);
}

void WorkerRegistry::list(const WorkerDescription &description)
{
    m_listed[description.id] = description;
    if (isRecorded(description.id))
        m_scheduler.addOrUpdateWorker(description, EventLoop::now());
}

void WorkerRegistry::addPools(const std::set<std::string> &pools)
{
    m_pools.insert(pools.begin(), pools.end());
    const auto added = std::erase_if(m_otherWorkers, [this](const auto &it) {
        if (!isKnownPool(it.second.pool))
            return false;
        list(it.second);
        return true;
    });
    if (added == 0)
        return;
    updateRecord();
    m_onChange();
}

void WorkerRegistry::entryRemoved(const std::string &id)
{
    m_otherWorkers.erase(id);
    if (m_listed.erase(id) > 0)
        m_scheduler.unlistWorker(id, EventLoop::now());
}

void WorkerRegistry::updateRecord()
{
    if (m_recording)
        return;
    const auto now = EventLoop::now();
    std::map<std::string, std::vector<WorkerDescription>> pools;
    std::set<std::string> changed;
    std::set<std::string> kept;
    const auto keep = [&](const WorkerDescription &it) {
        if (!kept.insert(it.id).second)
            return;
        auto &recorded = pools[it.pool].emplace_back(it);
        const auto *worker = m_scheduler.worker(it.id);
        recorded.restarted = worker != nullptr
                             && (worker->restarted
                                 || (worker->startedMs != 0 && worker->startedMs < it.startedMs));
    };
    for (const auto &[id, description] : m_listed) {
        const auto *worker = m_scheduler.worker(id);
        if (worker != nullptr && worker->retired && !worker->isLaterIncarnation(description))
            continue;
        keep(description);
        if (!isRecorded(id))
            changed.insert(description.pool);
    }
    // Unlisted workers that may still hold runs stay in the record.
    for (const auto &[id, worker] : m_scheduler.workers()) {
        if (!worker.retired)
            keep(worker.description);
    }
    if (changed.empty() && now - m_recordedAt >= internal::minRemovalInterval) {
        for (const auto &[id, pool] : m_recorded) {
            if (!kept.contains(id))
                changed.insert(pool);
        }
    }
    if (changed.empty())
        return;
    m_recordedAt = now;
    ConditionalWrite write;
    write.expected.push_back({std::string(nodekeys::owner), m_fence});
    std::map<std::string, std::string> ids;
    std::set<std::string> written;
    for (const auto &pool : changed) {
        if (write.writes.size() >= internal::poolsPerWrite)
            break;
        const auto key = nodekeys::key(nodekeys::workers, pool);
        write.expected.push_back({key, m_recordRevisions[pool]});
        write.writes.push_back({key, encodeWorkerRecord(pools[pool]), 0});
        written.insert(pool);
        for (const auto &it : pools[pool])
            ids[it.id] = pool;
    }
    // From now on the record may lack them, whatever the answer is.
    for (const auto &[id, pool] : m_recorded) {
        if (written.contains(pool) && !ids.contains(id))
            m_maybeRemoved.insert(id);
    }
    m_recording = true;
    m_context.store.write(write, [this, alive = m_alive, write, ids,
                                  written](const Result<WriteOutcome> &outcome) {
        if (*alive)
            recordWritten(write, ids, written, outcome);
    });
}

void WorkerRegistry::recordWritten(const ConditionalWrite &write,
                                   const std::map<std::string, std::string> &ids,
                                   const std::set<std::string> &pools,
                                   const Result<WriteOutcome> &outcome)
{
    m_recording = false;
    const bool applied = outcome && outcome->applied;
    if (outcome && !outcome->applied) {
        for (const auto &it : outcome->current) {
            if (it.key.starts_with(nodekeys::workers))
                m_recordRevisions[std::string(nodekeys::nameIn(nodekeys::workers, it.key))]
                        = it.modRevision;
        }
    }
    if (!applied) {
        m_context.loop.after(internal::retryDelay, [this, alive = m_alive] {
            if (*alive)
                updateRecord();
        });
        return;
    }
    for (const auto &it : write.writes)
        m_recordRevisions[std::string(nodekeys::nameIn(nodekeys::workers, it.key))]
                = outcome->revision;
    std::erase_if(m_recorded, [&](const auto &it) { return pools.contains(it.second); });
    std::erase_if(m_maybeRemoved, [&](const std::string &id) {
        return ids.contains(id) || !m_recorded.contains(id);
    });
    for (const auto &[id, pool] : ids) {
        m_recorded[id] = pool;
        if (const auto it = m_listed.find(id); it != m_listed.end())
            m_scheduler.addOrUpdateWorker(it->second, EventLoop::now());
    }
    updateRecord();
    m_onChange();
}

} // namespace dragonflysill
