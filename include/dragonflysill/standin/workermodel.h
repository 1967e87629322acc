#pragma once

#include "dragonflysill/base/random.h"
#include "dragonflysill/base/result.h"
#include "dragonflysill/base/time.h"
#include "dragonflysill/store/workertypes.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/** How the tasks of a job really behave; the declaration may be far off. */
struct JobProfile
{
    double coresFactor = 1; ///< Used cores as a multiple of the declared ones.
    double memoryFactor = 1; ///< Used memory as a multiple of the declared one.
    std::chrono::milliseconds run{60000}; ///< Time until the task succeeds, unthrottled.
    bool fails = false; ///< Every task of the job fails.
};

/** The settings of a WorkerModel. */
struct WorkerModelSettings
{
    Duration usageLag = std::chrono::seconds(2); ///< How late usage is reported.
    Duration failAfter = std::chrono::milliseconds(200); ///< When a failing task fails.
    Duration keepEnded = std::chrono::seconds(60); ///< How long ended tasks are reported.
    std::uint64_t seed = 1; ///< For the profiles of jobs that have none set.
};

/**
 * A model of the platform's workers and tasks. A task runs under a lease; its usage is reported
 * late; a worker whose tasks use more memory than it has ends the newest of them. Pure: the time is
 * a parameter and must not go back. Not thread-safe.
 */
class WorkerModel
{
public:
    explicit WorkerModel(WorkerModelSettings settings = {});

    /** Replaces all workers; tasks of removed ones disappear. */
    void setWorkers(const std::vector<PlatformWorker> &workers, TimePoint now);

    /** Makes every task that is started on a worker fail, or ends that. */
    Result<Done> setFailing(std::string_view worker, bool failing);

    /** Sets how the tasks of a job behave that start from now on. */
    void setProfile(const std::string &job, const JobProfile &profile);

    /** Returns all workers, ordered by name. */
    [[nodiscard]] std::vector<PlatformWorker> workers() const;

    /** Returns the running and the recently ended tasks, ordered by id. */
    std::vector<PlatformTask> tasks(TimePoint now);

    /** Starts a task; NotFound without the worker, Conflict if its accelerators are in use. */
    Result<PlatformTask> start(std::string_view worker, const TaskStartRequest &request,
                               TimePoint now);

    /** Extends a task's lease; Conflict if the task has ended. */
    Result<PlatformTask> renew(std::string_view id, TimePoint now);

    /** Ends a task with its progress saved; Conflict if it is not checkpointable. */
    Result<PlatformTask> checkpoint(std::string_view id, TimePoint now);

    /** Slows a task down to a quarter. */
    Result<PlatformTask> throttle(std::string_view id, TimePoint now);

    /** Ends a task. */
    Result<PlatformTask> stop(std::string_view id, TimePoint now);

private:
    struct Usage
    {
        TimePoint since;
        PlatformResources resources;
    };

    struct Task
    {
        TaskStartRequest request;
        std::string worker;
        PlatformTaskState state = PlatformTaskState::Running;
        std::string reason;
        JobProfile profile;
        bool willFail = false;
        std::int64_t startNumber = 0;
        TimePoint started;
        TimePoint leaseEnd;
        TimePoint progressAt; ///< When `progress` was valid.
        Duration progress{0};
        TimePoint ended;
        std::deque<Usage> usage;
    };

    using Tasks = std::map<std::string, Task, std::less<>>;

    void advance(TimePoint now);
    void advance(Task &task, TimePoint now) const;
    void end(Task &task, PlatformTaskState state, TimePoint time, std::string reason = {}) const;
    void enforceMemory(std::string_view worker, TimePoint now);
    Result<Task *> findActive(std::string_view id, TimePoint now);
    JobProfile profileOf(const std::string &job);
    [[nodiscard]] PlatformResources actualUsage(const Task &task) const;
    [[nodiscard]] PlatformTask report(const std::string &id, const Task &task, TimePoint now) const;

    const WorkerModelSettings m_settings;
    Random m_random;
    std::map<std::string, PlatformWorker, std::less<>> m_workers;
    std::set<std::string, std::less<>> m_failing;
    std::map<std::string, JobProfile> m_profiles;
    std::map<std::pair<std::string, int>, Duration> m_checkpoints;
    Tasks m_tasks;
    std::int64_t m_starts = 0;
};

} // namespace dragonflysill
