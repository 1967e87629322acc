#pragma once

#include "dragonflysill/base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dragonflysill::daymodel {

/** A type of job: one or two consecutive steps of similar tasks. */
struct JobKind
{
    std::string name;
    double arrivalsPerSecond = 0; ///< Mean over the day.
    double meanSteps = 1; ///< Between 1 and 2.
    int tasksPerStep = 1; ///< Mean number.
    Duration runTime{0}; ///< Mean run time of a task.
    std::int64_t milliCores = 1000; ///< Requirement of a task.
};

/** A pool and the jobs submitted to it. */
struct PoolShape
{
    std::string name;
    int instances = 0; ///< At the start of the day.
    JobKind jobs;
};

/** A fault or load pattern added to the rotating demand that every simulated day has. */
enum class DayPattern {
    RotatingDemand, ///< No additional fault or load.
    GreyWorkers, ///< Some workers fail every task that they start during the fault period.
    SlowWorkers, ///< Tasks on some workers take several times as long during the fault period.
    LargeBurst, ///< One queue gets a multiple of its jobs during the fault period.
    FailingJobs, ///< Some jobs fail on every worker.
    LowEstimates, ///< Jobs declare a third of their actual run times.
    HotTeam5, ///< Callers have teams, and one sends five times its usual load in the fault period.
    HotTeam7, ///< The same with seven times its load.
};

/** Returns the display name of a pattern. */
const char *patternName(DayPattern pattern);

/** Returns all patterns. */
std::vector<DayPattern> allPatterns();

/** A deployment and its demand over one simulated day. */
struct DayShape
{
    std::string name;
    std::vector<PoolShape> pools;
    int standby = 0; ///< Additional instances, switched off at the start.
    std::int64_t milliCores = 16000; ///< Capacity of an instance.
    Duration length{0}; ///< Period in which jobs arrive.
    Duration busyPeriod{0}; ///< The queues take turns in being busy for this long.
    double quietRateFactor = 0.05; ///< Arrival rate outside the busy period, relative to the mean.
    double spread = 0.5; ///< Largest relative deviation of task counts and run times from the mean.
    double estimateError = 0.3; ///< Largest relative error of declared run times.
};

/** Returns a battery collection deployment: 49 large instances in five pools. */
DayShape tuboSul();

/** Returns a florists' deployment: 48 small instances in five pools. */
DayShape petalCluster();

} // namespace dragonflysill::daymodel
