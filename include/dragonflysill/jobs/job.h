#pragma once

#include "dragonflysill/base/resources.h"
#include "dragonflysill/base/time.h"

#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace dragonflysill {

using Milliseconds = std::chrono::milliseconds;

/** A step of a job: tasks of the same shape that start after the steps they depend on. */
struct JobStep
{
    int count = 0; ///< Number of tasks.
    Resources need; ///< Resources of each task.
    Milliseconds estimate{0}; ///< Declared run time of a task; may be far off.
    std::vector<int> after; ///< Indexes of the steps that must have completed.
    std::string requiredLabel; ///< Label that a worker must have; empty for none.
    std::string dataRack; ///< Rack with the input data, slower elsewhere; empty for none.
    std::string image; ///< Image of the tasks; tasks of the same image behave alike.
    int maxPerWorker = 0; ///< Limit of the step's tasks on one worker; 0 for no limit.
    int maxUnavailable = 0; ///< Persistent tasks that the system may have down at the same time.
    Milliseconds latencyTarget{0}; ///< Target of a persistent task's tail latency; 0 for none.
    bool gang = false; ///< The tasks make progress only while all of them run.
    bool sameRack = false; ///< The tasks run slower if they are spread over several racks.
    bool savesProgress = false; ///< The tasks write checkpoints.
    bool speculative = false; ///< Two copies of a task may run at once.
    bool persistent = false; ///< The tasks run until the job is cancelled.
    bool bestEffort = false; ///< Best effort: the tasks use leftover CPU, without a reservation.

    /** Returns the resources that a task reserves on its worker. */
    [[nodiscard]] Resources reserved() const
    {
        Resources amount = need;
        if (bestEffort)
            amount.milliCores = 0;
        return amount;
    }
};

/** The part of a job that the caller submits. */
struct JobSpec
{
    std::string payload; ///< Passed to the workers unchanged.
    std::vector<JobStep> steps;
    int occurrences = 1; ///< Number of times that the steps run.
    bool scheduled = false; ///< Occurrences have due times.
    std::int64_t firstDueMs = 0; ///< Due time of occurrence 0 in Unix milliseconds.
    Milliseconds interval{0}; ///< Time between the due times of consecutive occurrences.

    /**
     * Returns the due time of an occurrence in Unix milliseconds; 0 if it is due at once. Due times
     * beyond the range of the type are at its end.
     */
    [[nodiscard]] std::int64_t dueMs(int occurrence) const
    {
        std::int64_t due = 0;
        if (!scheduled)
            return due;
        if (__builtin_mul_overflow(interval.count(), std::int64_t{occurrence}, &due)
            || __builtin_add_overflow(firstDueMs, due, &due))
            return std::numeric_limits<std::int64_t>::max();
        return due;
    }
};

/** Costs of admission requests, which return the workers that a queue's policy admits. */
struct WorkerAdmissionSettings
{
    Milliseconds perCall{0}; ///< Fixed duration of a request.
    Milliseconds perWorker{0}; ///< Additional duration for each worker in a request.
    Milliseconds validity{0}; ///< Time for which a ticket is valid.
};

/** Settings of a queue that apply to all of its jobs. */
struct QueuePolicy
{
    int attempts = 1; ///< Number of failed runs of one task after which its job fails.
    int priority = 0; ///< Lower values are served first.
    /** Latency objective as a multiple of the run time of the longest chain of dependent steps. */
    double slackFactor = 1;
    Milliseconds targetRuntime{0}; ///< Added to the latency objective.
    std::optional<WorkerAdmissionSettings> workerAdmission = {}; ///< Set if starts need a ticket.
};

/** An accepted job as it is stored. */
struct SubmittedJob
{
    std::string id;
    std::string queue; ///< Name of the queue it was submitted to.
    std::string pool; ///< Pool whose workers run its tasks.
    std::string team; ///< Team that submitted it; empty for none.
    QueuePolicy policy; ///< Policy of the queue when the job was accepted.
    std::int64_t acceptedMs = 0; ///< Time of acceptance in Unix milliseconds.
    JobSpec spec;
};

/** State of a job as reported to callers. */
enum class JobStatus {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

/** Returns true if a job in this state has ended. */
inline bool isFinal(JobStatus state)
{
    return state != JobStatus::Queued && state != JobStatus::Running;
}

/** Identifies a task by job, occurrence, step and index within the step. */
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
