#pragma once

#include "dragonflysill/base/time.h"
#include "dragonflysill/jobs/scheduler.h"
#include "dragonflysill/node/prefixwatcher.h"
#include "dragonflysill/store/asyncstore.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <unordered_map>

namespace dragonflysill {

struct OwnerContext;

/**
 * The workers that the scheduler may use. It follows their entries in the store, and keeps a record
 * of its own there: a worker is used only once the record names it, so that the next owner knows of
 * every worker that may hold runs, also of those whose entries have lapsed.
 */
class WorkerRegistry
{
public:
    /** @param changed called when the scheduler has been told of changes */
    WorkerRegistry(const OwnerContext &context, Scheduler &scheduler, std::int64_t fence,
                   std::function<void()> changed);
    ~WorkerRegistry();
    WorkerRegistry(const WorkerRegistry &) = delete;
    WorkerRegistry &operator=(const WorkerRegistry &) = delete;

    /** Tells the scheduler of the workers in the record and begins to follow the entries. */
    void start();

    /** Brings the record up to date; called regularly. */
    void record();

private:
    void expectRecorded();
    void reset(std::span<const KeyValue> items);
    void change(std::span<const KeyUpdate> updates);
    void describe(const std::string &id, const std::string &bytes);
    void unlist(const std::string &id);
    void recorded(const ConditionalWrite &write, const std::map<std::string, std::string> &ids,
                  const std::set<std::string> &pools, const Result<WriteOutcome> &outcome);

    const OwnerContext &m_context;
    Scheduler &m_scheduler;
    std::int64_t m_fence;
    std::function<void()> m_changed;
    PrefixWatcher m_watcher;
    std::unordered_map<std::string, WorkerDescription> m_listed; ///< Workers with an entry.
    std::map<std::string, std::string> m_recorded; ///< Pools in the record by worker.
    TimePoint m_recordedAt{};
    std::map<std::string, std::int64_t> m_recordRevisions; ///< Of the record by pool.
    bool m_recording = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dragonflysill
