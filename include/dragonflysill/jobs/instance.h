#pragma once

#include "dragonflysill/jobs/job.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dragonflysill {

/** An instance of the fleet as the platform lists it. */
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
    std::optional<Resources> capacity; ///< Not set if the list does not tell.
};

/** A request of the operators to maintain instances. */
struct MaintenanceWave
{
    std::int64_t number = 0;
    std::vector<std::string> instances;
    Milliseconds duration{0}; ///< Time within which the wave should be complete.
    int maxInstancesDown = 1; ///< Instances that the wave may take down at the same time.
};

/** Outcome of an order for an instance. */
enum class InstanceOrderOutcome {
    Accepted, ///< Carried out now or by an earlier order.
    Fenced, ///< The platform has seen a higher fencing token.
    Busy, ///< The instance is not up, or it is leaving.
    OtherWave, ///< The instance does not belong to the wave.
    Invalid, ///< There is no such instance, or the pool does not take it.
    NotDone, ///< Refused temporarily; nothing was done.
    Unknown, ///< No answer; the order may have been carried out.
};

} // namespace dragonflysill
