#pragma once

#include "dragonflysill/base/resources.h"
#include "dragonflysill/contracts/job.h"
#include "dragonflysill/machines/fleetstatus.h"

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace dragonflysill {

/** State of one task in the placement planner. */
struct TaskSlot
{
    static constexpr std::uint32_t noWorker = std::numeric_limits<std::uint32_t>::max();

    std::uint32_t worker = noWorker; ///< Position in the WorkerTable; noWorker unless it runs.
    bool finished = false;
    bool throttled = false;
    bool leaseQueued = false; ///< The task is in the planner's queue of lease checks.
    std::int64_t leaseUntilMs = 0;
    std::int64_t startedMs = 0;
};

/** A job in the placement planner with its tasks and their observed resource usage. */
struct JobEntry
{
    /** Number of the job's tasks in one rack, which is identified by the end of its range. */
    struct RackCount
    {
        std::size_t rackEnd = 0;
        int tasks = 0;
    };

    Job job;
    std::uint64_t sequence = 0; ///< Order of arrival.
    Resources planned; ///< Resources that are planned for one task.
    Resources observed; ///< Largest usage reported for any task.
    bool hasObservation = false;
    std::vector<TaskSlot> tasks;
    std::vector<std::uint32_t>
            waiting; ///< Indexes of tasks without a worker; the last is placed first.
    std::vector<RackCount> racks;
    int running = 0;
    int finished = 0;
    int failures = 0; ///< Failed runs since the last success.
    bool everSucceeded = false;
    bool queued = false; ///< The job is in the planner's queue.
    std::uint64_t triedCapacityVersion = 0; ///< m_capacityVersion at the last attempt.
    std::uint64_t checkedLimitVersion = 0; ///< m_limitVersion at the last check.
    bool impossible = false;
    std::string reason;
    std::string remedy;
};

/** Returns the resources that the job declares for one task. */
inline Resources declaredNeed(const Job &job)
{
    constexpr double milli = 1000;
    return {static_cast<std::int64_t>(job.cores * milli), job.memoryMb, job.accelerators};
}

} // namespace dragonflysill
