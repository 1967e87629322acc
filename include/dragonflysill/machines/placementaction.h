#pragma once

#include <string>

namespace dragonflysill {

/** One instruction of the planner to the platform, or a report for operators. */
struct PlacementAction
{
    enum class Kind {
        Start,
        Checkpoint, ///< Save the task's progress and end it; it waits again.
        Throttle, ///< Let the task run on with a quarter of its cores.
        Resume, ///< Let a throttled task use all its cores again.
        Stop,
        Refuse, ///< The job can never run; `reason` says why.
        Quarantine, ///< The worker gets no tasks for a time.
        Readmit, ///< The worker's quarantine is over; it gets one task.
    };
    Kind kind = Kind::Start;
    std::string job;
    int index = 0;
    std::string worker;
    std::string reason;

    bool operator==(const PlacementAction &) const = default;
};

} // namespace dragonflysill
