#pragma once

#include "dragonflysill/jobs/fleetview.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace dragonflysill {

/** Order to move an empty instance to another pool. */
struct MoveInstance
{
    std::string instance;
    std::string pool;
};

/**
 * Moves instances between pools as demand changes: a pool whose demand exceeds its capacity gets
 * idle instances of other pools and of the standby pool, and instances that stay idle are moved to
 * the standby pool, where they cost nothing. If the demand exceeds the fleet, jobs that can still
 * meet their objective come first: pools that work off late jobs yield instances to them.
 */
class PoolBalancer
{
public:
    /** Returns the moves to order now. */
    std::vector<MoveInstance> decide(const FleetView &fleet, TimePoint now);

    /**
     * Returns the instances that shall get no new tasks, so that they can be moved to a pool that
     * needs them more.
     */
    [[nodiscard]] const std::set<std::string> &yielding() const { return m_yielding; }

    /**
     * Returns how many instances a pool needs for its current load, or its share of all instances
     * if the demand exceeds the fleet.
     */
    [[nodiscard]] int neededInstances(const std::string &pool) const;

    /** Returns the cores that each pool can have while the others get what they need. */
    [[nodiscard]] std::map<std::string, double, std::less<>> obtainableCores() const;

    /** Returns how many instances serve a pool or are being moved to it. */
    [[nodiscard]] int presentInstances(const std::string &pool) const;

    /** Returns true if a pool has fewer instances than its current load needs. */
    [[nodiscard]] bool hasShortage(const std::string &pool) const;

private:
    struct Demand
    {
        double rate = 0; ///< Smoothed arrival rate of work, in core-seconds per second.
        double slowRate = 0; ///< The same rate, smoothed over a longer time.
        double jobs = 0; ///< Number of arrivals that the rate is based on, with older ones decayed.
        double arrivedWork = 0;
        std::int64_t arrivedJobs = 0;
        TimePoint measuredAt{};
        int needed = 0; ///< Instances needed for the current load, or the pool's share.
        int inTime = 0; ///< Instances needed without the tasks of late jobs.
        int target = 0; ///< Instances needed plus spare ones for the start of a burst.
        int present = 0; ///< Instances that serve the pool or are being moved to it.
        /**
         * The present instances by what they can hold: one with half of the usual capacity counts
         * as a half, one in quarantine as nothing.
         */
        double capable = 0;
        int arriving = 0; ///< Instances that are being moved to the pool.
        TimePoint lackingSince{}; ///< Since when a task has exceeded all present instances.
        TimePoint shortSince{}; ///< Since when fewer instances than needed are present.
        TimePoint belowTargetSince{}; ///< Since when fewer instances than the target are present.
        TimePoint aboveShareSince{}; ///< Since when more than the share of the fleet is present.
    };

    void updateDemand(const FleetView &fleet, TimePoint now);
    void countInstances(const FleetView &fleet);
    /** Returns what an instance can hold, as a fraction of the largest one. */
    [[nodiscard]] double share(const InstanceView &instance) const;
    /** Returns how many whole instances a pool has less than it needs. */
    [[nodiscard]] static int shortage(const Demand &demand);
    /** Limits the demand of the pools to their shares of the fleet; work in time comes first. */
    void shareInstances(int instances);
    /** Chooses the instances that pools with more than their share yield to others. */
    void chooseYielding(const FleetView &fleet, TimePoint now);
    /** Returns the rate at the time when an instance that is ordered now could serve. */
    [[nodiscard]] static double expectedRate(const Demand &demand);
    void updateArrivalRate(Demand &demand, const PoolLoad &load, TimePoint now) const;
    /** Instances that the current decision moves. */
    using Ordered = std::unordered_set<const InstanceView *>;

    /** @param need what the instance must be able to hold */
    [[nodiscard]] const InstanceView *chooseInstance(const FleetView &fleet, const Ordered &ordered,
                                                     const std::string &pool,
                                                     const Resources &need) const;
    void updateActiveInstances(int total, TimePoint now);
    [[nodiscard]] bool needsInstance(const Demand &demand, TimePoint now) const;
    [[nodiscard]] bool canBeMoved(const InstanceView &instance) const;

    std::map<std::string, Demand> m_demand;
    double m_coresPerInstance = 1; ///< Of the largest instance.
    int m_capableInstances = 0; ///< The fleet's instances by what they can hold.
    double m_memoryPerInstance = 1; ///< In MB, of the instance with the most memory.
    /** Decreasing maxima of the instances that all pools need, for a sliding-window maximum. */
    std::deque<std::pair<TimePoint, int>> m_totalNeeds;
    int m_activeInstances = 0; ///< Instances that are kept out of standby.
    bool m_overloaded = false; ///< The demand exceeds the fleet.
    std::set<std::string> m_yielding;
};

} // namespace dragonflysill
