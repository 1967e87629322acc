#pragma once

#include "dragonflysill/base/random.h"
#include "dragonflysill/daymodel/dayshape.h"
#include "dragonflysill/jobs/job.h"
#include "dragonflysill/jobs/team.h"

#include <chrono>
#include <vector>

namespace dragonflysill::daymodel::internal {

using namespace std::chrono_literals;

/** Resolution of the virtual clock. */
constexpr Duration tick = 20ms;
/** A job's objective is targetRuntime plus slackFactor times the run time of its critical path. */
constexpr Milliseconds targetRuntime = 600ms;
constexpr double slackFactor = 2;
/** Start and duration of the fault period, in which faults or a burst occur. */
constexpr Duration faultStart = 8s;
constexpr Duration faultDuration = 8s;

/** A job with its actual run times, which do not depend on the policies. */
struct Arrival
{
    SubmittedJob job;
    Duration at{0};
    std::vector<std::vector<Duration>> runTimes; ///< By step and task index.
    Duration criticalPath{0}; ///< Sum of the longest run time of each step.
    double coreSeconds = 0; ///< Sum over all tasks.
    bool alwaysFails = false; ///< Every run of its tasks fails.
    bool owed = true; ///< It is within the rate that its team is entitled to.
};

/** Returns the teams of a pattern, with their weights; none if it has no teams. */
std::vector<Team> teamsOf(const DayShape &shape, DayPattern pattern);

/** Generates the jobs of a day, ordered by arrival time. */
std::vector<Arrival> drawArrivals(const DayShape &shape, DayPattern pattern, Random &random);

} // namespace dragonflysill::daymodel::internal
