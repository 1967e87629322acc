#pragma once

#include "dragonflysill/jobs/job.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dragonflysill {

/** A machine of the fleet as its owner, the platform, lists it. */
struct FleetInstance
{
    enum class State {
        Up,
        Moving, ///< On its way to another pool.
        Maintenance,
        Down,
    };

    std::string name;
    std::string pool;
    std::string zone;
    std::string rack;
    std::string worker; ///< Id of the worker that runs on it; empty if there is none.
    State state = State::Up;
};

/** A request of the operators to maintain instances. */
struct MaintenanceWave
{
    std::int64_t number = 0;
    std::vector<std::string> instances;
    Milliseconds duration{0}; ///< Time in which it should be complete.
    int maxInstancesDown = 1; ///< Instances that may be down for it at once.
};

/** What became of an order for an instance. */
enum class InstanceOrderOutcome {
    Accepted, ///< Done, or it had been done before.
    Fenced, ///< A higher fencing token was seen.
    Busy, ///< The instance is not up, or it is leaving.
    OtherWave, ///< The instance does not belong to the wave.
    Invalid, ///< There is no such instance, or the pool is for other ones.
    NotDone, ///< Refused for a while; nothing was done.
    Unknown, ///< No answer; it may have been done.
};

} // namespace dragonflysill
