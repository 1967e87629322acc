#pragma once

#include "dragonflysill/jobs/job.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>

namespace dragonflysill {

/** The incarnation of a worker that a start order is meant for. */
struct StartTarget
{
    std::string worker;
    std::int64_t startedMs = 0; ///< See WorkerState::startedMs.

    bool operator==(const StartTarget &) const = default;
};

/** A start whose outcome is not known. */
struct Trial
{
    StartTarget target;
    bool confirmed = false; ///< The worker has confirmed or reported the run.

    bool operator==(const Trial &) const = default;
};

/** The saved part of a job's state, sufficient for a new owner to continue the job. */
struct JobProgress
{
    /** Occurrence and step. */
    using StepKey = std::pair<int, int>;

    JobStatus state = JobStatus::Queued;
    std::map<StepKey, std::set<int>> done; ///< Indexes of the tasks that completed.
    /**
     * Number of the first occurrences that have completed and are not listed in the other fields;
     * 0 unless the job has many occurrences.
     */
    int occurrencesDone = 0;
    std::set<StepKey> stepsDone; ///< Steps of which all tasks completed.
    /**
     * Run numbers of the failed runs, by occurrence, step and index. A count would not suffice: a
     * worker lists an end until it is acknowledged, so the next owner may see the same end again.
     */
    std::map<std::tuple<int, int, int>, std::set<int>> failures;

    /**
     * Run numbers of the runs whose worker crashed, by occurrence, step and index. They outlive the
     * owner, so that its successor does not try a task again that crashes its workers.
     */
    std::map<std::tuple<int, int, int>, std::set<int>> crashes;

    /** Those of the crashes whose run may never have reached its worker. */
    std::map<std::tuple<int, int, int>, std::set<int>> unconfirmedCrashes;

    /**
     * Run numbers of starts with their workers, until their outcome is known; a successor knows of
     * a crash that nobody noticed if the worker is no longer the same incarnation. Starts of tasks
     * under which a worker has crashed are saved before the order is sent, those of tasks that an
     * earlier owner may have started at the same time while the store answers.
     */
    std::map<std::tuple<int, int, int>, std::map<int, Trial>> trials;

    /**
     * Unix time in milliseconds at which a job of a team had ended when that was saved, otherwise
     * 0. A successor counts the runs of such a job, which may go on for a while, for its team.
     */
    std::int64_t endedMs = 0;

    bool operator==(const JobProgress &) const = default;
};

/**
 * Returns true if a job of a team ended so recently that workers which have not answered a new
 * owner may still have runs of it.
 * @param unixMs the present time in Unix milliseconds
 */
[[nodiscard]] bool mayHaveUnknownRuns(const JobProgress &progress, std::int64_t unixMs);

} // namespace dragonflysill
