#pragma once

#include "dragonflysill/base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dragonflysill::daymodel {

/** A kind of job: equal tasks in one or two steps that depend on each other. */
struct JobKind
{
    std::string name;
    double perSecond = 0; ///< Mean over the day.
    double steps = 1; ///< Mean number of steps, 1 to 2.
    int tasks = 1; ///< Of a step.
    Duration runTime{0}; ///< Mean of a task.
    std::int64_t milliCores = 1000; ///< Of a task.
};

/** A pool with the jobs that it carries. */
struct PoolShape
{
    std::string name;
    int instances = 0;
    JobKind jobs;
};

/** What a modelled day has beside the turns of demand, which every day has. */
enum class DayPattern {
    Turns, ///< Nothing else.
    GreyWorkers, ///< Workers fail all that they start for some seconds.
    SlowWorkers, ///< Tasks on some workers take several times as long.
    LargeBurst, ///< One queue gets a multiple of its jobs for some seconds.
    HopelessJobs, ///< Some jobs fail on every worker.
    LowEstimates, ///< Jobs declare a third of their run times.
};

/** Returns the name of a pattern for tables. */
const char *patternName(DayPattern pattern);

/** All patterns. */
std::vector<DayPattern> allPatterns();

/** A deployment and the length of its day. */
struct DayShape
{
    std::string name;
    std::vector<PoolShape> pools;
    int standby = 0; ///< Instances that are switched off at first.
    std::int64_t milliCores = 16000; ///< Of an instance.
    Duration length{0}; ///< Of the traffic.
    Duration turn{0}; ///< Time for which one queue after the other is busy.
    double between = 0.05; ///< Share of its mean that a queue gets outside its turn.
    double spread = 0.5; ///< Run times differ from their mean by up to this part.
    double estimateError
            = 0.3; ///< Declared run times differ from the true ones by up to this part.
};

/** Returns the shape of a battery collection deployment: 49 large instances in five pools. */
DayShape tuboSul();

/** Returns the shape of a florists' deployment: 48 small instances in five pools. */
DayShape petalCluster();

} // namespace dragonflysill::daymodel
