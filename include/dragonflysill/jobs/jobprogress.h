#pragma once

#include "dragonflysill/jobs/job.h"

#include <map>
#include <set>
#include <string>
#include <tuple>

namespace dragonflysill {

/** The durable part of what has happened to a job, enough for another process to go on with it. */
struct JobProgress
{
    /** A step of one occurrence. */
    using StepKey = std::pair<int, int>;

    JobStatus state = JobStatus::Queued;
    std::map<StepKey, std::set<int>> done; ///< Indexes of the tasks that completed.
    std::set<StepKey> stepsDone; ///< Steps that completed as a whole.
    /**
     * Numbers of the failed runs by occurrence, step and index. Numbers, not a count, because a
     * worker lists an end again until it is acknowledged, also to the next owner.
     */
    std::map<std::tuple<int, int, int>, std::set<int>> failures;

    bool operator==(const JobProgress &) const = default;
};

} // namespace dragonflysill
