#pragma once

#include "dragonflysill/machines/fleetevent.h"
#include "dragonflysill/machines/fleetinputs.h"
#include "dragonflysill/machines/fleetstatus.h"
#include "dragonflysill/machines/placementplanner.h"
#include "dragonflysill/machines/taskplatform.h"
#include "dragonflysill/machines/taskrecord.h"
#include "dragonflysill/store/fence.h"
#include "dragonflysill/store/store.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace dragonflysill {

/**
 * Executes the decisions of the placement planner, one pass at a time. The record of a task is
 * written to the store before its start is requested, and the request carries an id derived from
 * the record, so that a repeated start does not run the task twice. If a write is refused or its
 * answer is lost, the planner is discarded and rebuilt from the store. Not thread-safe; the owner
 * calls it from one thread.
 */
class PlacementRunner
{
public:
    /** Task records per transaction, to stay below the store's limit of 128 operations. */
    static constexpr std::size_t recordsPerTransaction = 60;
    /** Time in ms between two reads of the platform's worker and task lists. */
    static constexpr std::int64_t listIntervalMs = 1000;
    /** Time in ms between two renewals of a task's lease; a third of the lease. */
    static constexpr std::int64_t renewIntervalMs = 10'000;

    /** Store, fence and platform must outlive the object. */
    PlacementRunner(Store &store, const Fence &fence, TaskPlatform &platform);

    /**
     * Runs one pass as the owner of placement.
     * @param condition the comparison that fails if the process is no longer the owner
     * @param events receives the placed and refused tasks and the quarantined workers
     * @return the status of all jobs, or the error that ended the pass
     */
    Result<std::vector<JobStatus>> runPass(const FleetInputs &inputs, const Compare &condition,
                                           std::vector<FleetEvent> &events);

    /** Returns true if a planner is loaded. */
    [[nodiscard]] bool hasState() const { return m_planner != nullptr; }

    /** Discards all state; called in each pass in which another process owns placement. */
    void reset();

private:
    using TaskKey = std::pair<std::string, int>;
    /** A task of which the process holds the record. */
    struct TrackedTask
    {
        TaskRecord record;
        std::string storedValue; ///< The value in the store.
        std::int64_t renewedMs = 0;
        std::int64_t requestedMs = 0; ///< Unix time of the last start request.
    };
    /** A task record to write or delete on condition that its key still has the value `before`. */
    struct Write
    {
        std::string key;
        std::string before; ///< Empty if the key is absent.
        std::string after; ///< Empty to delete the key.
    };

    Result<Done> loadFromStore(const FleetInputs &inputs);
    Result<Done> refreshWorkers();
    void syncConfiguration(const FleetInputs &inputs);
    Result<Done> observeTasks(std::int64_t nowMs, const Compare &condition);
    void observeTask(TrackedTask &tracked, const PlatformTask *task, std::int64_t nowMs);
    Result<Done> writeRecords(const std::vector<Write> &writes, const Compare &condition);
    Result<Done> executeActions(const std::vector<PlacementAction> &actions, std::int64_t nowMs,
                                const Compare &condition, std::vector<FleetEvent> &events);
    void requestStart(TrackedTask &tracked, std::int64_t nowMs);
    Result<Done> requestChange(const PlacementAction &action);
    Result<Done> removeStaleRecords(const FleetInputs &inputs, const Compare &condition);

    Store &m_store;
    const Fence &m_fence;
    TaskPlatform &m_platform;
    std::unique_ptr<PlacementPlanner> m_planner;
    std::map<TaskKey, TrackedTask> m_trackedTasks;
    ByName<Job> m_jobs; ///< Jobs as they were last passed to the planner.
    ByName<Quota> m_quotas;
    ByName<Worker> m_workers;
    std::vector<Write> m_finishedWrites; ///< Records of finished tasks that are not written yet.
    std::int64_t m_listedMs = 0;
};

} // namespace dragonflysill
