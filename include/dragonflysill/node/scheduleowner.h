#pragma once

#include "dragonflysill/base/latencyhistogram.h"
#include "dragonflysill/jobs/endedjobs.h"
#include "dragonflysill/jobs/fleetconfiguration.h"
#include "dragonflysill/jobs/linkbudget.h"
#include "dragonflysill/jobs/loadgovernor.h"
#include "dragonflysill/jobs/scheduler.h"
#include "dragonflysill/net/httpclient.h"
#include "dragonflysill/node/fleetcontroller.h"
#include "dragonflysill/node/nodepeers.h"
#include "dragonflysill/node/statereplica.h"
#include "dragonflysill/node/workercontroller.h"
#include "dragonflysill/node/workerregistry.h"
#include "dragonflysill/node/workerroutes.h"
#include "dragonflysill/store/asyncstore.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace dragonflysill {

namespace platform {
struct NodeSettings;
}

/** Dependencies of a ScheduleOwner; all of them must outlive it. */
struct OwnerContext
{
    EventLoop &loop;
    AsyncStore &store;
    HttpClient &holdClient;
    HttpClient &orderClient; ///< For orders to workers.
    HttpClient &serviceClient; ///< For the platform's machine and admission services.
    StateReplica &replica;
    const platform::NodeSettings &settings;
    LoadGovernor &governor;
    LinkBudget &linkBudget;
    NodePeers &peers;
    std::function<bool()> mayGiveOrders; ///< Returns whether this node still owns the schedule.
    std::function<bool()> mayExtendHolds; ///< Returns whether it may still extend holds.
    std::function<void()> onNewerOwner; ///< Called when a newer owner is detected.
};

/** Decisions of a ScheduleOwner and their cost. */
struct DecisionCounts
{
    std::uint64_t decisions = 0;
    Duration time{0}; ///< Total time spent deciding and sending the resulting orders.
    LatencyHistogram delay; ///< Time from the first unhandled event until its decision.
};

/**
 * Schedules tasks while this node owns the schedule: follows jobs and workers, carries out the
 * scheduler's decisions and saves the resulting progress. Every write is conditional on the owner
 * key, so that a delayed write can't change state of the next owner.
 */
class ScheduleOwner
{
public:
    ScheduleOwner(OwnerContext context, std::int64_t fence, std::int64_t generation);
    ~ScheduleOwner();
    ScheduleOwner(const ScheduleOwner &) = delete;
    ScheduleOwner &operator=(const ScheduleOwner &) = delete;

    /** Passes a job that was added or changed in the replica to the scheduler. */
    void jobChanged(const std::string &id, const ReplicatedJob &job);

    /** Applies a new configuration. */
    void setConfiguration(const FleetConfiguration &configuration);

    /** Adds a maintenance wave that the operators requested; a known one is ignored. */
    void addWave(const MaintenanceWave &wave);

    /** Returns true if the job may end shortly or its end is being saved. */
    [[nodiscard]] bool mayEndSoon(std::string_view job) const;

    [[nodiscard]] const Scheduler &scheduler() const { return m_scheduler; }
    [[nodiscard]] const WorkerControllerCounts &workerCallCounts() const
    {
        return m_workerController.counts();
    }
    [[nodiscard]] const WorkerOrderCounts &orderCounts() const
    {
        return m_workerController.orderCounts();
    }
    /** Returns which nodes call the workers for this one. */
    [[nodiscard]] const DelegatePlan &delegatePlan() const { return m_routes.plan(); }
    /** Returns the longest delay of a hold since the last call. */
    Duration takeMaxHoldDelay() { return m_workerController.takeMaxHoldDelay(); }
    [[nodiscard]] const DecisionCounts &decisionCounts() const { return m_decisionCounts; }
    /** Returns the number of disagreements with workers about a run by kind. */
    [[nodiscard]] const std::map<RunAnomalyKind, std::uint64_t> &runAnomalyCounts() const
    {
        return m_runAnomalyCounts;
    }
    [[nodiscard]] const FleetControllerCounts &fleetCounts() const { return m_fleet.counts(); }
    [[nodiscard]] const PoolBalancer &balancer() const { return m_fleet.balancer(); }
    [[nodiscard]] const MaintenancePlanner &maintenance() const { return m_fleet.maintenance(); }

    /** Describes the open order for an instance; returns an empty string if there is none. */
    [[nodiscard]] std::string describeInstanceOrder(const std::string &instance) const
    {
        return m_fleet.describeOrder(instance);
    }

private:
    void startScheduling();
    void addJob(const std::string &id, const ReplicatedJob &job, bool inherited);
    void tick();
    void requestDecision();
    /** Returns whether this node may decide now; if not, it only extends holds that are due. */
    bool mayDecide();
    void decide();
    void decideAfterEvent();
    /** Bounds the starts of the next decision to what the machine's link carries. */
    /** Logs why tasks wait although their pool has free capacity. */
    void logWaitingTasks(TimePoint now);
    void logWorkerRestarts();
    /** Logs and counts the disagreements with workers about a run. */
    void logRunAnomalies();
    void limitStarts();
    void carryOut(const std::vector<SchedulerAction> &actions, TimePoint startedAt);
    void saveProgress();
    void saveUpdates(std::vector<ProgressUpdate> updates);
    void progressSaved(std::vector<ProgressUpdate> updates, const Result<WriteOutcome> &outcome);
    void logJobEnd(const ProgressUpdate &update) const;
    /** Returns whether nothing of a job runs or will run, so that it may be removed some day. */
    [[nodiscard]] bool hasEnded(const std::string &id, const ReplicatedJob &job) const;
    void findEndedJobs(TimePoint now);
    void removeOldJobs(TimePoint now);

    OwnerContext m_context;
    std::int64_t m_fence;
    Scheduler m_scheduler;
    WorkerRoutes m_routes;
    WorkerController m_workerController;
    FleetController m_fleet;
    WorkerRegistry m_workers;
    bool m_started = false;
    bool m_decisionDue = false;
    TimePoint m_decisionRequestedAt{};
    DecisionCounts m_decisionCounts;
    std::map<RunAnomalyKind, std::uint64_t> m_runAnomalyCounts;
    int m_savesInFlight = 0;
    TimePoint m_savedAt{};
    TimePoint m_nextSaveAt{}; ///< After a write that was not applied.
    TimePoint m_waitsLoggedAt{};
    TimePoint m_fleetDecidedAt{};
    /** Waves received before the replica was complete. */
    std::vector<MaintenanceWave> m_wavesBeforeStart;
    EndedJobs m_endedJobs;
    TimePoint m_endedSearchedAt{};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dragonflysill
