#pragma once

#include "dragonflysill/base/time.h"
#include "dragonflysill/jobs/job.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflysill {

/** What an owner's state of a run and its worker's state of it disagreed about. */
enum class RunAnomalyKind {
    Refused, ///< Released because the start was refused.
    HoldExpired, ///< Released because the worker was silent until the run's hold ended.
    NotListed, ///< Released because the worker's list does not contain it.
    EarlierIncarnation, ///< Released because another incarnation of the worker answered.
    WorkerEnded, ///< Released because the worker has ended.
    Unknown, ///< Reported by a worker, not known to the owner, and not wanted.
    OtherRun, ///< Reported by a worker on which the owner knows another run of the task.
};

/** Returns the name of a kind in logs and metrics. */
[[nodiscard]] std::string_view runAnomalyName(RunAnomalyKind kind);

/** A run that was released without an end, or reported although the owner does not know it. */
struct RunAnomaly
{
    RunAnomalyKind kind = RunAnomalyKind::Unknown;
    TaskId task;
    int run = 0;
    std::string worker;
    std::int64_t startedMs = 0; ///< Incarnation of the worker that answered last.
    Duration age{0}; ///< Time since the start was ordered; 0 if this owner did not order it.
    bool confirmed = false; ///< The worker had confirmed or reported the run.
};

} // namespace dragonflysill
