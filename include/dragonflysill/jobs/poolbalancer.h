#pragma once

#include "dragonflysill/jobs/fleetview.h"

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace dragonflysill {

/** Moves an instance, which is empty, to another pool. */
struct MoveInstance
{
    std::string instance;
    std::string pool;
};

/**
 * Lets instances follow demand that moves from pool to pool: a pool that is asked for more than it
 * holds gets idle instances of other pools and of the standby pool, and instances that stay idle
 * go to the standby pool, where they cost nothing.
 */
class PoolBalancer
{
public:
    /** Returns the moves to order now. */
    std::vector<MoveInstance> decide(const FleetView &fleet, TimePoint now);

    /** Returns how many instances a pool needs for its present load. */
    [[nodiscard]] int neededInstances(const std::string &pool) const;

    /** Returns how many instances serve a pool or are on their way to it. */
    [[nodiscard]] int presentInstances(const std::string &pool) const;

    /** Returns true if a pool has fewer instances than its present load asks for. */
    [[nodiscard]] bool hasShortage(const std::string &pool) const;

private:
    struct Demand
    {
        double rate = 0; ///< Cores that the arriving work keeps busy.
        double jobs = 0; ///< Jobs that the rate is based on.
        double arrivedWork = 0;
        std::int64_t arrivedJobs = 0;
        TimePoint measuredAt{};
        int needed = 0; ///< Instances that the present load asks for.
        int target = 0; ///< The same with what is kept for the start of a burst.
        int present = 0; ///< Instances that serve it or are on their way to it.
        TimePoint shortSince{}; ///< Since when it has had fewer than needed.
        TimePoint belowTargetSince{};
    };

    void measure(const FleetView &fleet, TimePoint now);
    void measureArrivals(Demand &demand, const PoolLoad &load, TimePoint now) const;
    [[nodiscard]] const InstanceView *donor(const FleetView &fleet, const std::string &pool) const;
    void keepAwake(int total, TimePoint now);
    [[nodiscard]] bool wants(const Demand &demand, TimePoint now) const;
    [[nodiscard]] bool spareable(const InstanceView &instance) const;

    std::map<std::string, Demand> m_demand;
    std::deque<std::pair<TimePoint, int>> m_totals; ///< Falling maxima of what all pools need.
    int m_awake = 0; ///< Instances that are kept out of standby.
};

} // namespace dragonflysill
