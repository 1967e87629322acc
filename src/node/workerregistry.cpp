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

/** Changes of workers gather this long between two waits; draining must be seen within 2 s. */
constexpr Duration watchPause = 200ms;
/** Pause before a failed write of the record is repeated. */
constexpr Duration retryPause = 60ms;
/** The store takes 32 entries a transaction: the owner's condition, and two for each pool. */
constexpr std::size_t poolsPerWrite = 14;
/** Least time between two writes that only remove workers from their record. */
constexpr Duration recordSpacing = 1000ms;

} // namespace internal

WorkerRegistry::WorkerRegistry(const OwnerContext &context, Scheduler &scheduler,
                               std::int64_t fence, std::function<void()> changed)
    : m_context(context)
    , m_scheduler(scheduler)
    , m_fence(fence)
    , m_changed(std::move(changed))
    , m_watcher(context.loop, context.store, platform::prefixWorkers, internal::watchPause,
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
    expectRecorded();
    m_watcher.start();
}

void WorkerRegistry::expectRecorded()
{
    const auto now = EventLoop::now();
    for (const auto &item : m_context.replica.others(nodekeys::workers)) {
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
        describe(id, it.value);
    }
    std::vector<std::string> gone;
    for (const auto &[id, description] : m_listed) {
        if (!present.contains(id))
            gone.push_back(id);
    }
    for (const auto &id : gone)
        unlist(id);
    record();
    m_changed();
}

void WorkerRegistry::change(std::span<const KeyUpdate> updates)
{
    for (const auto &it : updates) {
        const std::string id(nodekeys::nameIn(platform::prefixWorkers, it.key));
        if (it.deleted)
            unlist(id);
        else
            describe(id, it.value);
    }
    record();
    m_changed();
}

void WorkerRegistry::describe(const std::string &id, const std::string &bytes)
{
    const auto description = platform::decodeWorker(id, bytes);
    if (!description) {
        // The entry of another writer names no worker to use.
        unlist(id);
        return;
    }
    m_listed[id] = *description;
    if (m_recorded.contains(id))
        m_scheduler.addOrUpdateWorker(*description, EventLoop::now());
}

void WorkerRegistry::unlist(const std::string &id)
{
    if (m_listed.erase(id) > 0)
        m_scheduler.unlistWorker(id, EventLoop::now());
}

void WorkerRegistry::record()
{
    if (m_recording)
        return;
    const auto now = EventLoop::now();
    std::map<std::string, std::vector<WorkerDescription>> pools;
    std::set<std::string> changed;
    std::set<std::string> kept;
    const auto keep = [&](const WorkerDescription &it) {
        if (kept.insert(it.id).second)
            pools[it.pool].push_back(it);
    };
    for (const auto &[id, description] : m_listed) {
        const auto *worker = m_scheduler.worker(id);
        if (worker != nullptr && worker->retired)
            continue;
        keep(description);
        if (!m_recorded.contains(id))
            changed.insert(description.pool);
    }
    // Unlisted workers that may still hold runs stay in the record.
    for (const auto &[id, worker] : m_scheduler.workers()) {
        if (!worker.retired)
            keep(worker.description);
    }
    if (changed.empty() && now - m_recordedAt >= internal::recordSpacing) {
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
    m_recording = true;
    m_context.store.write(write, [this, alive = m_alive, write, ids,
                                  written](const Result<WriteOutcome> &outcome) {
        if (*alive)
            recorded(write, ids, written, outcome);
    });
}

void WorkerRegistry::recorded(const ConditionalWrite &write,
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
        m_context.loop.after(internal::retryPause, [this, alive = m_alive] {
            if (*alive)
                record();
        });
        return;
    }
    for (const auto &it : write.writes)
        m_recordRevisions[std::string(nodekeys::nameIn(nodekeys::workers, it.key))]
                = outcome->revision;
    std::erase_if(m_recorded, [&](const auto &it) { return pools.contains(it.second); });
    for (const auto &[id, pool] : ids) {
        m_recorded[id] = pool;
        if (const auto it = m_listed.find(id); it != m_listed.end())
            m_scheduler.addOrUpdateWorker(it->second, EventLoop::now());
    }
    record();
    m_changed();
}

} // namespace dragonflysill
