#pragma once

#include <string>

namespace dragonflysill {

/** An action that the placement planner requests from the platform or reports to operators. */
struct PlacementAction
{
    enum class Kind {
        Start,
        Checkpoint, ///< Save the task's progress and end it; it is queued again.
        Throttle, ///< Limit the running task to a quarter of its cores.
        Resume, ///< Remove the limit from a throttled task.
        Stop,
        Refuse, ///< The job cannot run as declared or keeps failing; see `reason`.
        Quarantine, ///< The worker receives no tasks until its quarantine ends.
        Readmit, ///< The quarantine ended; the worker receives one task on probation.
    };
    Kind kind = Kind::Start;
    std::string job;
    int index = 0; ///< Index of the task in the job.
    std::string worker;
    std::string reason;

    bool operator==(const PlacementAction &) const = default;
};

} // namespace dragonflysill
