#pragma once

#include "dragonflysill/base/resources.h"
#include "dragonflysill/contracts/job.h"
#include "dragonflysill/machines/fleetstatus.h"

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace dragonflysill {

/** A task of a job in a planner. */
struct TaskSlot
{
    static constexpr std::uint32_t noWorker = std::numeric_limits<std::uint32_t>::max();

    std::uint32_t worker = noWorker; ///< Position of its worker; noWorker unless it runs.
    bool finished = false;
    bool throttled = false;
    bool leaseQueued = false; ///< The planner will check the end of its lease.
    std::int64_t leaseUntilMs = 0;
    std::int64_t startedMs = 0;
};

/** A job in a planner with its tasks and what is known about their real needs. */
struct JobEntry
{
    /** Tasks of the job in one rack. */
    struct RackCount
    {
        std::size_t rackEnd = 0;
        int tasks = 0;
    };

    Job job;
    std::uint64_t sequence = 0; ///< Order of arrival.
    Resources planned; ///< What one task occupies in the plan.
    Resources observed; ///< The largest usage that was reported for one task.
    bool hasObservation = false;
    std::vector<TaskSlot> tasks;
    std::vector<std::uint32_t> waiting; ///< Indexes of tasks without a worker; the last is next.
    std::vector<RackCount> racks;
    int running = 0;
    int finished = 0;
    int failures = 0; ///< Failed runs since the last success.
    bool everSucceeded = false;
    bool queued = false; ///< The job is in the planner's queue.
    std::uint64_t triedAt = 0; ///< Version of the free capacity at the last attempt.
    std::uint64_t checkedAt = 0; ///< Version of workers and quotas at the last check.
    bool impossible = false;
    std::string reason;
    std::string remedy;
};

/** Returns the declared needs of one task. */
inline Resources declaredNeed(const Job &job)
{
    constexpr double milli = 1000;
    return {static_cast<std::int64_t>(job.cores * milli), job.memoryMb, job.accelerators};
}

} // namespace dragonflysill
