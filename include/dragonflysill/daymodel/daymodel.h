#pragma once

#include "dragonflysill/daymodel/dayshape.h"

#include <cstdint>

namespace dragonflysill::daymodel {

/** Which decisions a day is played with. */
struct DayPolicies
{
    bool scheduler = true; ///< Scheduler; otherwise first in, first out and first fit.
    bool balancer = true; ///< PoolBalancer; otherwise all pools keep their instances.
};

/** What came of a day. Times are in seconds. */
struct DayResult
{
    int jobs = 0; ///< That could be done.
    int inTime = 0; ///< Completed within their objective.
    int late = 0; ///< Completed within three times their objective.
    int falselyFailed = 0; ///< Given up although they could be done.
    double credit = 0; ///< Share of the credit that was owed, by the work of each job.
    double smallWait = 0; ///< Mean time to the first start, jobs below the median work.
    double largeWait = 0; ///< The same of the others.
    double wastedCoreSeconds = 0; ///< Core-seconds of runs that failed or were stopped.
    double instanceSeconds = 0; ///< Of instances that were switched on.
    int moves = 0;
    int duplicateStarts = 0; ///< Starts of a task that ran elsewhere or was done; must be 0.
};

/**
 * Plays a day of a deployment on a virtual clock: callers, workers and instances around the
 * project's decisions, without network, threads or waiting. The same seed gives the same day, with
 * the same jobs for all policies.
 */
DayResult simulateDay(const DayShape &shape, DayPattern pattern, DayPolicies policies,
                      std::uint64_t seed);

} // namespace dragonflysill::daymodel
