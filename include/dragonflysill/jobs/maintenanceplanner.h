#pragma once

#include "dragonflysill/jobs/fleetview.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dragonflysill {

/** Order to take an empty instance down for maintenance. */
struct MaintainInstance
{
    std::string instance;
    std::int64_t wave = 0;
};

/** Result of MaintenancePlanner::decide(). */
struct MaintenanceDecision
{
    std::vector<MaintainInstance> orders; ///< Instances to take down now.
    /** Instances of open waves that have not been maintained, with the deadline of their wave. */
    std::map<std::string, TimePoint> open;
    std::set<std::string> leaving; ///< Instances that get no new tasks, so that they become empty.
};

/**
 * Decides when the instances of maintenance waves are taken down: idle instances first, instances
 * of pools with a shortage of capacity last, and never more at the same time than a wave allows.
 * An instance is taken down only when no task runs on it any more.
 */
class MaintenancePlanner
{
public:
    /** @param downTime minimum time that an instance is down after its order */
    explicit MaintenancePlanner(Milliseconds downTime)
        : m_downTime(downTime)
    {
    }

    /**
     * Adds a wave; ignores a known one.
     * @param maintained instances of the wave that have already been maintained
     */
    void addWave(const MaintenanceWave &wave, std::set<std::string> maintained, TimePoint now);

    /** Records that an order was accepted; the instance then counts as maintained. */
    void accepted(std::int64_t wave, const std::string &instance, TimePoint now);

    /** Removes an instance from a wave that it does not belong to. */
    void excluded(std::int64_t wave, const std::string &instance);

    /**
     * Decides which instances to take down now and which to empty.
     * @param hasShortage returns whether a pool has less capacity than its load needs
     */
    MaintenanceDecision decide(const FleetView &fleet,
                               const std::function<bool(const std::string &)> &hasShortage,
                               TimePoint now);

    /** Returns the instances of a wave that have been maintained. */
    [[nodiscard]] const std::set<std::string> &maintainedInstances(std::int64_t wave) const;

    /** Returns true if all instances of the wave that exist have been maintained. */
    [[nodiscard]] bool completed(std::int64_t wave) const;

    /** Returns the operators' request; nullptr for an unknown wave. */
    [[nodiscard]] const MaintenanceWave *request(std::int64_t wave) const;

    /** Returns when a wave should be complete; a zero TimePoint for an unknown one. */
    [[nodiscard]] TimePoint deadline(std::int64_t wave) const;

    /** Returns the numbers of all waves. */
    [[nodiscard]] std::vector<std::int64_t> waves() const;

    /** Returns the waves that are not complete. */
    [[nodiscard]] std::vector<std::int64_t> openWaves() const;

private:
    struct Wave
    {
        MaintenanceWave request;
        std::set<std::string> maintained;
        TimePoint deadline{};
        bool completed = false;
        std::map<std::string, TimePoint> down; ///< Instances counted as down, since when.
    };

    using InstancesByName = std::unordered_map<std::string_view, const InstanceView *>;

    using InstanceCounts = std::map<std::string, int, std::less<>>; ///< By pool.

    void decideWave(Wave &wave, const InstancesByName &instances, const InstanceCounts &poolSizes,
                    const std::function<bool(const std::string &)> &hasShortage, TimePoint now,
                    MaintenanceDecision &decision);

    void updateDownInstances(Wave &wave, const InstanceView &instance, TimePoint now) const;

    Milliseconds m_downTime;
    std::map<std::int64_t, Wave> m_waves;
};

} // namespace dragonflysill
