#pragma once

#include "dragonflysill/base/time.h"
#include "dragonflysill/jobs/instance.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dragonflysill {

/** An instance as the decisions about moves and maintenance see it. */
struct InstanceView
{
    std::string name;
    std::string pool;
    std::string rack;
    FleetInstance::State state = FleetInstance::State::Up;
    bool standby = false; ///< Its pool is switched off.
    bool usable = false; ///< Its worker is up and takes tasks.
    bool draining = false; ///< Its worker leaves by itself.
    bool empty = false; ///< No task runs on it.
    bool hasPersistentTasks = false; ///< Tasks run on it that have to be moved first.
    bool leaving = false; ///< It gets no new tasks.
    bool orderPending = false; ///< An order for it is under way.
    bool possiblyOrdered = false; ///< The previous owner may have given it an order a moment ago.
    TimePoint idleSince{}; ///< Since when it has been empty.
    std::int64_t milliCores = 0; ///< Its capacity.
};

/** The load of a pool. */
struct PoolLoad
{
    std::int64_t waitingMilliCores = 0; ///< Milli-cores that waiting tasks ask for.
    std::int64_t runningMilliCores = 0; ///< Milli-cores of running tasks.
    double arrivedWork = 0; ///< Core-seconds of work accepted so far, as expected.
    std::int64_t arrivedJobs = 0; ///< Jobs accepted so far.
    int spread = 0; ///< Workers that the spreading of persistent tasks asks for.
};

/** All that the decisions about instances depend on. */
struct FleetView
{
    std::vector<InstanceView> instances;
    std::map<std::string, PoolLoad> load; ///< By pool; standby pools have none.
    std::string standbyPool; ///< Empty if no pool is switched off.
};

} // namespace dragonflysill
