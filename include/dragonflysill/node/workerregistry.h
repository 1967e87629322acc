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
 * Maintains the set of workers that the scheduler may use. It follows the workers' entries in the
 * store and writes a durable record of them: a worker is used only after it has been recorded, so
 * that the next owner knows every worker that may have runs, even if its entry has expired.
 */
class WorkerRegistry
{
public:
    /** @param onChange called after changes were passed to the scheduler */
    WorkerRegistry(const OwnerContext &context, Scheduler &scheduler, std::int64_t fence,
                   std::function<void()> onChange);
    ~WorkerRegistry();
    WorkerRegistry(const WorkerRegistry &) = delete;
    WorkerRegistry &operator=(const WorkerRegistry &) = delete;

    /** Adds the recorded workers to the scheduler and starts to watch the entries. */
    void start();

    /**
     * Adds configured pools. Only workers of pools that are or were configured, or have a record,
     * are used, since the jobs of a pool run on after it has left the configuration. Before any
     * pool is configured, the workers of all pools are used.
     */
    void addPools(const std::set<std::string> &pools);

    /** Writes the record if it is out of date; called periodically. */
    void updateRecord();

private:
    void addRecordedWorkers();
    void reset(std::span<const KeyValue> items);
    void change(std::span<const KeyUpdate> updates);
    void entryChanged(const std::string &id, const std::string &bytes);
    [[nodiscard]] bool isKnownPool(const std::string &pool) const;
    /** Returns whether a successor finds a worker in the record, so that it may be used. */
    [[nodiscard]] bool isRecorded(const std::string &id) const
    {
        return m_recorded.contains(id) && !m_maybeRemoved.contains(id);
    }
    void list(const WorkerDescription &description);
    void entryRemoved(const std::string &id);
    void recordWritten(const ConditionalWrite &write, const std::map<std::string, std::string> &ids,
                       const std::set<std::string> &pools, const Result<WriteOutcome> &outcome);

    const OwnerContext &m_context;
    Scheduler &m_scheduler;
    std::int64_t m_fence;
    std::function<void()> m_onChange;
    PrefixWatcher m_watcher;
    std::unordered_map<std::string, WorkerDescription> m_listed; ///< Workers with an entry.
    std::set<std::string> m_pools; ///< Pools that are or were configured.
    /** Workers whose entry names a pool that is not known yet, by id. */
    std::map<std::string, WorkerDescription> m_otherWorkers;
    std::map<std::string, std::string> m_recorded; ///< Pool of each recorded worker.
    /** Recorded workers that a write without an answer may have removed. */
    std::set<std::string> m_maybeRemoved;
    TimePoint m_recordedAt{};
    std::map<std::string, std::int64_t> m_recordRevisions; ///< Revision of each pool's record.
    bool m_recording = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dragonflysill
