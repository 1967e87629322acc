#pragma once

#include "dragonflysill/jobs/fleetview.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace dragonflysill {

/** Takes an empty instance down for maintenance. */
struct MaintainInstance
{
    std::string instance;
    std::int64_t wave = 0;
};

/** What a MaintenancePlanner wants. */
struct MaintenanceDecision
{
    std::vector<MaintainInstance> orders; ///< Instances to take down now.
    std::set<std::string> leaving; ///< Instances that get no new tasks until they are empty.
};

/**
 * Brings maintenance waves to their end: idle instances first, those of pools that are short of
 * capacity last, never more at once than a wave's ceiling allows. An instance is taken down only
 * when no task runs on it any more.
 */
class MaintenancePlanner
{
public:
    /** @param downTime how long an instance is down after its order at least */
    explicit MaintenancePlanner(Milliseconds downTime)
        : m_downTime(downTime)
    {
    }

    /** Adds a wave; a known one is ignored. @param done instances that have been maintained */
    void addWave(const MaintenanceWave &wave, std::set<std::string> done, TimePoint now);

    /** Notes that an order was accepted: the instance counts as maintained. */
    void accepted(std::int64_t wave, const std::string &instance, TimePoint now);

    /** Takes an instance out of a wave that it does not belong to. */
    void excluded(std::int64_t wave, const std::string &instance);

    /**
     * Decides what to do now.
     * @param shortOf tells whether a pool has less capacity than its load needs
     */
    MaintenanceDecision decide(const FleetView &fleet,
                               const std::function<bool(const std::string &)> &shortOf,
                               TimePoint now);

    /** Returns the instances of a wave that have been maintained. */
    [[nodiscard]] const std::set<std::string> &maintainedInstances(std::int64_t wave) const;

    /** Returns true if all instances of the wave that exist have been maintained. */
    [[nodiscard]] bool completed(std::int64_t wave) const;

    /** Returns what the operators asked for, or nothing for an unknown wave. */
    [[nodiscard]] const MaintenanceWave *request(std::int64_t wave) const;

    /** Returns when a wave should be complete; the clock's start for an unknown one. */
    [[nodiscard]] TimePoint deadline(std::int64_t wave) const;

    /** Returns the numbers of all waves. */
    [[nodiscard]] std::vector<std::int64_t> waves() const;

    /** Returns the waves that are not complete. */
    [[nodiscard]] std::vector<std::int64_t> openWaves() const;

private:
    struct Wave
    {
        MaintenanceWave request;
        std::set<std::string> done;
        TimePoint deadline{};
        bool completed = false;
        std::map<std::string, TimePoint> down; ///< Since when; not seen up again.
    };

    void decideWave(Wave &wave, const FleetView &fleet,
                    const std::function<bool(const std::string &)> &shortOf, TimePoint now,
                    MaintenanceDecision &decision);

    void countDown(Wave &wave, const InstanceView &instance, TimePoint now) const;

    Milliseconds m_downTime;
    std::map<std::int64_t, Wave> m_waves;
};

} // namespace dragonflysill
