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
 * Runs the placement planner against store and platform, one pass at a time. A task's record is
 * written before its start is requested, and the request carries an id made from the record, so
 * that a repeated start runs nothing twice. Whenever a write is refused or its answer is lost, the
 * planner is dropped and built again from the store. Not thread-safe; the owner calls it from one
 * thread.
 */
class PlacementRunner
{
public:
    /** Task records in one transaction; below the store's limit of 128 operations. */
    static constexpr std::size_t recordsPerTransaction = 60;
    /** Time between two reads of the platform's lists. */
    static constexpr std::int64_t listIntervalMs = 1000;
    /** Time between two renewals of a task's lease, a third of the lease. */
    static constexpr std::int64_t renewIntervalMs = 10'000;

    /** Store, fence and platform must outlive the object. */
    PlacementRunner(Store &store, const Fence &fence, TaskPlatform &platform);

    /**
     * Runs one pass as the owner of placement.
     * @param condition the comparison that proves the ownership
     * @return the status of all jobs, or the error that ended the pass
     */
    Result<std::vector<JobStatus>> step(const FleetInputs &inputs, const Compare &condition,
                                        std::vector<FleetEvent> &events);

    /** Returns true while it holds state. */
    [[nodiscard]] bool active() const { return m_planner != nullptr; }

    /** Forgets all state; called in each pass in which another process owns placement. */
    void drop();

private:
    using TaskKey = std::pair<std::string, int>;
    struct Held
    {
        TaskRecord record;
        std::string stored; ///< The value in the store.
        std::int64_t renewedMs = 0;
        std::int64_t requestedMs = 0; ///< When its start was last requested.
    };
    /** Records to write with the values that they replace; no new record deletes the old one. */
    struct Write
    {
        std::string key;
        std::string before; ///< Empty if the key is absent.
        std::string after; ///< Empty to delete the key.
    };

    Result<Done> load(const FleetInputs &inputs);
    Result<Done> refreshWorkers();
    void syncConfiguration(const FleetInputs &inputs);
    Result<Done> observeTasks(std::int64_t nowMs, const Compare &condition);
    void observeRunning(Held &held, const PlatformTask *task, std::int64_t nowMs);
    Result<Done> writeAll(const std::vector<Write> &writes, const Compare &condition);
    Result<Done> execute(const std::vector<PlacementAction> &actions, std::int64_t nowMs,
                         const Compare &condition, std::vector<FleetEvent> &events);
    void requestStart(Held &held, std::int64_t nowMs);
    Result<Done> requestChange(const PlacementAction &action);
    Result<Done> removeStaleRecords(const FleetInputs &inputs, const Compare &condition);

    Store &m_store;
    const Fence &m_fence;
    TaskPlatform &m_platform;
    std::unique_ptr<PlacementPlanner> m_planner;
    std::map<TaskKey, Held> m_held;
    ByName<Job> m_jobs; ///< As the planner has them.
    ByName<Quota> m_quotas;
    ByName<Worker> m_workers;
    std::vector<Write> m_finished; ///< Records of tasks that ended well, still to be written.
    std::int64_t m_listedMs = 0;
};

} // namespace dragonflysill
