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
#include <vector>

namespace dragonflysill {

struct OwnerContext;

namespace platform {
class MachineCalls;
}

/** Counters of a FleetKeeper. */
struct FleetKeeperCounts
{
    std::uint64_t moves = 0;
    std::uint64_t maintained = 0;
    std::uint64_t ordersRefused = 0;
    std::uint64_t ordersUnanswered = 0;
    std::uint64_t lists = 0;
};

/**
 * Carries out moves of instances between pools and maintenance waves for the owner of the schedule.
 * It tells the scheduler which workers to empty, and gives an order only for an empty one.
 */
class FleetKeeper
{
public:
    /**
     * @param firstOrderAt until then the previous owner's orders may be recent: only instances
     *     that have been up for longer get orders
     */
    FleetKeeper(const OwnerContext &context, Scheduler &scheduler, std::int64_t fence,
                TimePoint firstOrderAt);
    ~FleetKeeper();
    FleetKeeper(const FleetKeeper &) = delete;
    FleetKeeper &operator=(const FleetKeeper &) = delete;

    void setConfiguration(const FleetConfiguration &configuration);

    /** Takes over a maintenance wave that the operators want. */
    void addWave(const MaintenanceWave &wave);

    /** Decides and gives orders; called regularly. */
    void tick(TimePoint now);

    [[nodiscard]] const FleetKeeperCounts &counts() const { return m_counts; }
    [[nodiscard]] const PoolBalancer &balancer() const { return m_balancer; }
    [[nodiscard]] const MaintenancePlanner &maintenance() const { return m_maintenance; }

    /** Describes the order under way for an instance; empty if there is none. */
    [[nodiscard]] std::string orderText(const std::string &instance) const;

private:
    struct Order
    {
        std::string targetPool;
        std::string workerBefore; ///< Worker that ran on it; empty for none.
        std::int64_t wave = 0; ///< 0 for a move.
        TimePoint sentAt{};
        bool answered = false;
    };

    void reportLoad(const FleetView &fleet, TimePoint now);
    void list(TimePoint now);
    void listed(const Result<std::vector<FleetInstance>> &instances, TimePoint sentAt);
    void retireMissingWorkers();
    [[nodiscard]] FleetView view(TimePoint now);
    void viewInstance(InstanceView &instance, const WorkerState *worker, TimePoint now);
    void settleOrders(const std::map<std::string, const WorkerState *> &workers);
    void move(const MoveInstance &move, const FleetView &fleet, TimePoint now);
    void maintain(const MaintainInstance &maintenance, const FleetView &fleet, TimePoint now);
    Order &begin(const std::string &instance, const FleetView &fleet, TimePoint now);
    void answered(const std::string &instance, InstanceOrderOutcome outcome);
    void saveWaves();
    [[nodiscard]] bool isStandby(std::string_view pool) const;

    const OwnerContext &m_context;
    Scheduler &m_scheduler;
    std::int64_t m_fence;
    TimePoint m_firstOrderAt;
    std::int64_t m_startedMs; ///< Time of day when the ownership began.
    std::unique_ptr<platform::MachineCalls> m_calls;
    FleetConfiguration m_configuration;
    PoolBalancer m_balancer;
    MaintenancePlanner m_maintenance;
    std::map<std::string, FleetInstance> m_instances; ///< By name, from the last list.
    std::map<std::string, Order> m_orders; ///< By instance.
    std::map<std::string, TimePoint> m_idleSince; ///< By worker.
    std::map<std::int64_t, std::size_t> m_savedDone; ///< Instances in the saved state of a wave.
    std::set<std::int64_t> m_savedCompleted;
    bool m_listing = false;
    bool m_listedOnce = false;
    TimePoint m_listedAt{};
    TimePoint m_reportedAt{};
    bool m_saving = false;
    FleetKeeperCounts m_counts;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dragonflysill
