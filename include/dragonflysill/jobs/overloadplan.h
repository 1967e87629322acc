#pragma once

#include "dragonflysill/base/time.h"
#include "dragonflysill/jobs/teamrates.h"

#include <cstddef>
#include <span>
#include <vector>

namespace dragonflysill {

/** A job that can still be in time, as input to jobsToDefer(). */
struct PlannedJob
{
    TimePoint latestStart{}; ///< Time by which its tasks must have started to be in time.
    RateClass rateClass = RateClass::Entitled;
    int priority = 0; ///< Lower values are deferred later.
    double work = 0; ///< Core-seconds of its tasks that have not started.
    double value = 0; ///< What its callers lose if it is late.
    const TeamAccount *team = nullptr; ///< Null if it has none.
};

/**
 * Chooses the jobs of a pool that are deferred because not all can be in time. Jobs are taken in
 * the order of their latest starts; where the work that must start by then exceeds the capacity,
 * the job is deferred whose delay costs callers least: first those beyond the rate of their team,
 * then the lowest priority, then the least value for each core-second. The value of a team's jobs
 * is reduced by the factor by which its work exceeds its share by weight.
 * @param cores cores for these jobs; while a pool is full, work can be started at this rate
 * @return indexes of the deferred jobs, ascending
 */
std::vector<std::size_t> jobsToDefer(std::span<const PlannedJob> jobs, double cores, TimePoint now);

/**
 * Returns what callers lose if a job is late, in units of a mean job of its queue: a part for each
 * job, the rest by its work, and not more than a few mean jobs.
 * @param work core-seconds of the job
 * @param meanWork core-seconds of a mean job of its queue
 */
double jobValue(double work, double meanWork);

} // namespace dragonflysill
