#pragma once

#include "dragonflysill/jobs/fleetconfiguration.h"
#include "dragonflysill/jobs/maintenanceplanner.h"
#include "dragonflysill/jobs/poolbalancer.h"
#include "dragonflysill/jobs/scheduler.h"
#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/store/asyncstore.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dragonflysill {

struct OwnerContext;

namespace platform {
class MachineCalls;
}

/** Counters of a FleetController. */
struct FleetControllerCounts
{
    std::uint64_t moves = 0;
    std::uint64_t maintained = 0;
    std::uint64_t ordersRefused = 0;
    std::uint64_t ordersUnanswered = 0;
    std::uint64_t lists = 0;
};

/**
 * Moves instances between pools and carries out maintenance waves for the owner of the schedule. It
 * marks the affected workers as leaving in the scheduler, and orders a move or maintenance only
 * once the worker on the instance is empty.
 */
class FleetController
{
public:
    /**
     * @param firstOrderAt time until which orders of the previous owner may still arrive; before
     * it, no instance gets an order
     */
    FleetController(const OwnerContext &context, Scheduler &scheduler, std::int64_t fence,
                    TimePoint firstOrderAt);
    ~FleetController();
    FleetController(const FleetController &) = delete;
    FleetController &operator=(const FleetController &) = delete;

    void setConfiguration(const FleetConfiguration &configuration);

    /** Adds a maintenance wave that the operators requested. */
    void addWave(const MaintenanceWave &wave);

    /** Decides on moves and maintenance and sends the orders; called periodically. */
    void tick(TimePoint now);

    [[nodiscard]] const FleetControllerCounts &counts() const { return m_counts; }
    [[nodiscard]] const PoolBalancer &balancer() const { return m_balancer; }
    [[nodiscard]] const MaintenancePlanner &maintenance() const { return m_maintenance; }

    /** Describes the open order for an instance; returns an empty string if there is none. */
    [[nodiscard]] std::string describeOrder(const std::string &instance) const;

private:
    struct Order
    {
        std::string targetPool;
        /** Worker on the instance when the order was given; empty for none. */
        std::string workerBefore;
        std::int64_t workerStartBefore = 0; ///< Start of that worker in Unix milliseconds.
        std::int64_t wave = 0; ///< Number of the maintenance wave; 0 for a move.
        TimePoint sentAt{};
        bool inFlight = true; ///< The call has neither been answered nor timed out.
        bool answered = false;
    };

    void logLoad(const FleetView &fleet, TimePoint now);
    void requestInstances(TimePoint now);
    void instancesListed(const Result<std::vector<FleetInstance>> &instances, TimePoint sentAt);
    void retireMissingWorkers();
    [[nodiscard]] FleetView buildView(TimePoint now);
    void fillInstanceView(InstanceView &instance, const WorkerState *worker, TimePoint now);
    /** Returns whether a worker of the instance has started after the order was given. */
    [[nodiscard]] static bool startedAfter(const WorkerState &worker, const Order &order);
    using WorkersByInstance = std::unordered_map<std::string_view, const WorkerState *>;

    void removeCompletedOrders(const WorkersByInstance &workers);
    void orderMove(const MoveInstance &move, const FleetView &fleet, TimePoint now);
    void orderMaintenance(const MaintainInstance &maintenance, const FleetView &fleet,
                          TimePoint now);
    Order &beginOrder(const std::string &instance, const FleetView &fleet, TimePoint now);
    void orderAnswered(const std::string &instance, InstanceOrderOutcome outcome);
    void saveWaves();
    [[nodiscard]] bool isStandby(std::string_view pool) const;

    const OwnerContext &m_context;
    Scheduler &m_scheduler;
    std::int64_t m_fence;
    TimePoint m_firstOrderAt;
    std::unique_ptr<platform::MachineCalls> m_calls;
    FleetConfiguration m_configuration;
    PoolBalancer m_balancer;
    MaintenancePlanner m_maintenance;
    std::map<std::string, FleetInstance> m_instances; ///< By name, as last listed.
    std::map<std::string, Order> m_orders; ///< By instance.
    /** Time since which a worker is empty, by worker. */
    std::map<std::string, TimePoint> m_idleSince;
    /** Number of instances in the saved state of a wave. */
    std::map<std::int64_t, std::size_t> m_savedMaintainedCounts;
    std::set<std::int64_t> m_savedCompleted;
    bool m_listInFlight = false;
    bool m_listedOnce = false;
    TimePoint m_listedAt{};
    TimePoint m_loadLoggedAt{};
    bool m_savingWaves = false;
    FleetControllerCounts m_counts;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dragonflysill
