#pragma once

#include "dragonflysill/base/resources.h"
#include "dragonflysill/base/time.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace dragonflysill {

using Milliseconds = std::chrono::milliseconds;

/** A step of a job: tasks of the same shape that start after the steps they depend on. */
struct JobStep
{
    int count = 0; ///< Number of tasks.
    Resources need; ///< Of each task.
    Milliseconds estimate{0}; ///< Declared run time of a task; may be far off.
    std::vector<int> after; ///< Indexes of the steps that must have completed.
    std::string requiredLabel; ///< Label that a worker must have; empty for none.
    std::string dataRack; ///< Rack that holds the data; slower elsewhere. Empty for none.
    std::string image; ///< Tasks of one image behave alike.
    int maxPerWorker = 0; ///< Tasks of the step on one worker; 0 for no limit.
    int maxUnavailable = 0; ///< Persistent tasks that the system may have down at once.
    Milliseconds latencyTarget{0}; ///< Tail latency of a persistent task; 0 for none.
    bool gang = false; ///< The tasks work only while all of them run.
    bool sameRack = false; ///< The tasks are slower on more than one rack.
    bool savesProgress = false; ///< The tasks write checkpoints.
    bool speculative = false; ///< Two copies of a task may run at once.
    bool persistent = false; ///< The tasks run until the job is cancelled.
    bool bestEffort = false; ///< The tasks use what others leave; their CPU is not reserved.

    /** Returns what a task takes from a worker's capacity. */
    [[nodiscard]] Resources reserved() const
    {
        Resources amount = need;
        if (bestEffort)
            amount.milliCores = 0;
        return amount;
    }
};

/** What a caller submits. */
struct JobSpec
{
    std::string payload; ///< Handed to the workers unchanged.
    std::vector<JobStep> steps;
    int occurrences = 1; ///< How often the steps run.
    bool scheduled = false; ///< Occurrences have due times.
    std::int64_t firstDueMs = 0; ///< Due time of occurrence 0 in Unix milliseconds.
    Milliseconds interval{0}; ///< Between the due times of two occurrences.

    /** Returns the due time of an occurrence in Unix milliseconds; 0 if it is due at once. */
    [[nodiscard]] std::int64_t dueMs(int occurrence) const
    {
        return scheduled ? firstDueMs + occurrence * interval.count() : 0;
    }
};

/** How the tasks of a queue's jobs are run. */
struct QueuePolicy
{
    int attempts = 1; ///< Failed runs of one task that fail its job.
    int priority = 0; ///< 0 goes first.
    double slackFactor = 1; ///< Latency objective as a multiple of the longest chain of work.
    Milliseconds targetRuntime{0}; ///< Added to the latency objective.
};

/** An accepted job as it stands in the store. */
struct SubmittedJob
{
    std::string id;
    std::string queue; ///< Name of the queue it was submitted to.
    std::string pool; ///< Pool whose workers run its tasks.
    QueuePolicy policy; ///< In force when the job was accepted.
    std::int64_t acceptedMs = 0; ///< Unix milliseconds.
    JobSpec spec;
};

/** State of a job as callers see it. */
enum class JobStatus {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

/** Returns true if a job in this state has nothing left to run. */
inline bool isFinal(JobStatus state)
{
    return state != JobStatus::Queued && state != JobStatus::Running;
}

/** Names one task: a position within a step of an occurrence of a job. */
struct TaskId
{
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    bool operator==(const TaskId &) const = default;
    auto operator<=>(const TaskId &) const = default;

    /** Returns occurrence, step and index for logs and views, for example "0.1.17". */
    [[nodiscard]] std::string position() const
    {
        return std::to_string(occurrence) + '.' + std::to_string(step) + '.'
               + std::to_string(index);
    }
};

} // namespace dragonflysill
