#pragma once

#include "dragonflysill/daymodel/dayshape.h"

#include <cstdint>

namespace dragonflysill::daymodel {

/** How the scheduler treats the teams of callers, in patterns with teams. */
enum class TeamPolicy {
    ByWeight, ///< Rates by weight, and deferral of the jobs whose delay costs callers least.
    EqualShares, ///< The same with equal weights.
    None, ///< All jobs by their due times.
};

/** Selects the product's policies or their baselines for a simulation. */
struct DayPolicies
{
    bool scheduler = true; ///< True for Scheduler; false for first in, first out with first fit.
    bool balancer = true; ///< True for PoolBalancer; false for pools of a fixed size.
    TeamPolicy teams = TeamPolicy::ByWeight;
};

/** The result of one simulated day. Times are in seconds. */
struct DayResult
{
    /** Jobs that can succeed and are not beyond the rate of their team; others are not counted. */
    int jobs = 0;
    int inTime = 0; ///< Completed within their objective.
    int late = 0; ///< Completed within three times their objective.
    int falselyFailed = 0; ///< Marked as failed although they can succeed.
    double credit = 0; ///< Earned share of the possible credit; jobs count by core-seconds.
    double value = 0; ///< The same share by jobValue() instead of core-seconds.
    double worstTeamCredit = 0; ///< The same of the team that earned least; 0 without teams.
    double smallJobWait
            = 0; ///< Mean time to the first start of jobs below the median core-seconds.
    double largeJobWait = 0; ///< Mean time to the first start of all other jobs.
    double wastedCoreSeconds = 0; ///< Core-seconds of runs that failed or were stopped.
    double instanceSeconds = 0; ///< Sum of the time for which each instance was switched on.
    int moves = 0; ///< Instance moves between pools.
    int duplicateStarts = 0; ///< Starts of a task that was already running or completed; must be 0.
};

/**
 * Simulates one day of a deployment on a virtual clock. Callers, workers and instances are
 * modelled; scheduling and balancing use the production classes. There are no network calls,
 * threads or real waits. The result depends only on the arguments, and for a given seed all
 * policies get the same jobs.
 */
DayResult simulateDay(const DayShape &shape, DayPattern pattern, DayPolicies policies,
                      std::uint64_t seed);

} // namespace dragonflysill::daymodel
