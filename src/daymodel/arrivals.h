#pragma once

#include "dragonflysill/base/random.h"
#include "dragonflysill/daymodel/dayshape.h"
#include "dragonflysill/jobs/job.h"

#include <chrono>
#include <vector>

namespace dragonflysill::daymodel::internal {

using namespace std::chrono_literals;

/** Resolution of the virtual clock. */
constexpr Duration tick = 20ms;
/** Objective of a job: its target, and this many times its longest chain. */
constexpr Milliseconds targetRuntime = 600ms;
constexpr double slackFactor = 2;
/** When a day's trouble begins, and how long it lasts. */
constexpr Duration troubleBegin = 8s;
constexpr Duration troubleLength = 8s;

/** A job of the day, the same for all policies. */
struct Arrival
{
    SubmittedJob job;
    Duration at{0};
    std::vector<std::vector<Duration>> runTimes; ///< By step and index.
    Duration chain{0};
    double work = 0; ///< Core-seconds.
    bool hopeless = false;
};

/** Draws the jobs of a day in the order of their arrival. */
std::vector<Arrival> drawArrivals(const DayShape &shape, DayPattern pattern, Random &random);

} // namespace dragonflysill::daymodel::internal
