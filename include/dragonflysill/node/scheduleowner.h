#pragma once

#include "dragonflysill/jobs/fleetconfiguration.h"
#include "dragonflysill/jobs/scheduler.h"
#include "dragonflysill/net/httpclient.h"
#include "dragonflysill/node/fleetkeeper.h"
#include "dragonflysill/node/statereplica.h"
#include "dragonflysill/node/workerlinks.h"
#include "dragonflysill/node/workerregistry.h"
#include "dragonflysill/store/asyncstore.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace dragonflysill {

namespace platform {
struct NodeSettings;
}

/** What a ScheduleOwner works with; all of it outlives the owner. */
struct OwnerContext
{
    EventLoop &loop;
    AsyncStore &store;
    HttpClient &client;
    StateReplica &replica;
    const platform::NodeSettings &settings;
    std::function<bool()> mayOrder; ///< Tells whether this node still owns the schedule.
    std::function<bool()> mayHold; ///< Tells whether it may still extend what runs.
    std::function<void()> replaced; ///< Called when another owner was seen.
};

/**
 * Schedules while this node owns the schedule: follows jobs and workers, carries out the decisions
 * and saves what they lead to. Every write depends on the owner's key, so that one that is late
 * changes nothing for the next owner.
 */
class ScheduleOwner
{
public:
    ScheduleOwner(OwnerContext context, std::int64_t fence, std::int64_t generation);
    ~ScheduleOwner();
    ScheduleOwner(const ScheduleOwner &) = delete;
    ScheduleOwner &operator=(const ScheduleOwner &) = delete;

    /** Takes over a job that was added or changed in the replica. */
    void jobChanged(const std::string &id, const ReplicatedJob &job);

    /** Takes over a configuration. */
    void setConfiguration(const FleetConfiguration &configuration);

    /** Takes over a maintenance wave that the operators want; a known one is ignored. */
    void addWave(const MaintenanceWave &wave);

    [[nodiscard]] const Scheduler &scheduler() const { return m_scheduler; }
    [[nodiscard]] const WorkerLinkCounts &linkCounts() const { return m_links.counts(); }
    [[nodiscard]] const FleetKeeperCounts &fleetCounts() const { return m_fleet.counts(); }
    [[nodiscard]] const PoolBalancer &balancer() const { return m_fleet.balancer(); }
    [[nodiscard]] const MaintenancePlanner &maintenance() const { return m_fleet.maintenance(); }

    /** Describes the order under way for an instance; empty if there is none. */
    [[nodiscard]] std::string instanceOrder(const std::string &instance) const
    {
        return m_fleet.orderText(instance);
    }

private:
    void begin();
    void addJob(const std::string &id, const ReplicatedJob &job, bool inherited);
    void tick();
    void decideSoon();
    void decide();
    void saveProgress();
    void progressSaved(std::vector<ProgressUpdate> updates, const ConditionalWrite &write,
                       const Result<WriteOutcome> &outcome);
    void logEnd(const ProgressUpdate &update) const;
    void removeOldJobs();

    OwnerContext m_context;
    std::int64_t m_fence;
    Scheduler m_scheduler;
    WorkerLinks m_links;
    FleetKeeper m_fleet;
    WorkerRegistry m_workers;
    bool m_begun = false;
    bool m_decisionDue = false;
    bool m_saving = false;
    TimePoint m_savedAt{};
    TimePoint m_fleetAt{};
    std::vector<MaintenanceWave> m_waves; ///< Until the replica is complete.
    std::unordered_map<std::string, TimePoint> m_finalSince; ///< Ended jobs, and since when.
    TimePoint m_removedAt{};
    bool m_removing = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dragonflysill
