#pragma once

#include "dragonflysill/base/resources.h"
#include "dragonflysill/base/time.h"
#include "dragonflysill/jobs/instance.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dragonflysill {

/** State of an instance, as input to the decisions about moves and maintenance. */
struct InstanceView
{
    std::string name;
    std::string pool;
    std::string rack;
    FleetInstance::State state = FleetInstance::State::Up;
    bool standby = false; ///< It is in the standby pool, whose instances are switched off.
    bool usable = false; ///< Its worker is up and takes tasks.
    bool draining = false; ///< Its worker has announced that it will stop.
    bool quarantined = false; ///< Its worker gets no tasks because it failed those of several jobs.
    bool empty = false; ///< No task runs on it.
    bool hasPersistentTasks
            = false; ///< Persistent tasks, which must be moved away first, run on it.
    bool leaving = false; ///< It gets no new tasks.
    bool awaitsMaintenance = false; ///< An open wave has not maintained it yet.
    bool orderPending = false; ///< An order for it is pending.
    /** The previous owner may have given it an order shortly before the takeover. */
    bool possiblyOrdered = false;
    TimePoint idleSince{}; ///< Since when it has been empty.
    std::int64_t milliCores = 0; ///< Its processor capacity.
    std::int64_t memoryMb = 0; ///< Its memory.
};

/** Workers that a pool lacks because none of its own can hold a waiting task. */
struct LackingWorkers
{
    int count = 0;
    Resources need; ///< What each must be able to hold.
};

/** The load of a pool. */
struct PoolLoad
{
    std::int64_t waitingMilliCores = 0; ///< Milli-cores that waiting tasks need.
    std::int64_t runningMilliCores = 0; ///< Milli-cores of running tasks.
    std::int64_t memoryMb = 0; ///< Memory of waiting and running tasks.
    /**
     * Milli-cores of waiting and running tasks of jobs that can't meet their objective any more or
     * are beyond the rate of their team.
     */
    std::int64_t lateMilliCores = 0;
    std::int64_t lateMemoryMb = 0; ///< Memory of these tasks.
    /** Expected core-seconds of all jobs accepted so far that are within the rate of their team. */
    double arrivedWork = 0;
    std::int64_t arrivedJobs = 0; ///< Number of these jobs.
    std::vector<LackingWorkers> lacking; ///< A few steps with different needs.
    int spread = 0; ///< Workers needed for the limit of persistent tasks per worker.
};

/** Input to the decisions about moves and maintenance of instances. */
struct FleetView
{
    std::vector<InstanceView> instances;
    std::map<std::string, PoolLoad> load; ///< By pool; standby pools have none.
    std::string standbyPool; ///< Pool of switched-off instances; empty if there is none.
};

} // namespace dragonflysill
