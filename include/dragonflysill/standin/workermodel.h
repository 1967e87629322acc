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

/** The actual behaviour of a job's tasks, which may differ widely from the declared one. */
struct JobProfile
{
    double coresFactor = 1; ///< Used cores as a multiple of the declared ones.
    double memoryFactor = 1; ///< Used memory as a multiple of the declared one.
    std::chrono::milliseconds run{60000}; ///< Run time of a task that is not throttled.
    bool fails = false; ///< Every task of the job fails.
};

/** The settings of a WorkerModel. */
struct WorkerModelSettings
{
    Duration usageLag = std::chrono::seconds(2); ///< Delay until a change of usage is reported.
    Duration failAfter
            = std::chrono::milliseconds(200); ///< Time from its start until a failing task fails.
    Duration keepEnded
            = std::chrono::seconds(60); ///< Time for which ended tasks are still reported.
    std::uint64_t seed = 1; ///< For the random profiles of jobs without setProfile().
};

/**
 * Models the platform's workers and tasks. A task ends when its lease expires; its usage is
 * reported with a delay; when the tasks of a worker exceed its memory, the newest ones fail. Reads
 * no clock: the time is a parameter and must not decrease. Not thread-safe.
 */
class WorkerModel
{
public:
    explicit WorkerModel(WorkerModelSettings settings = {});

    /** Replaces all workers; tasks of removed workers are deleted. */
    void setWorkers(const std::vector<PlatformWorker> &workers, TimePoint now);

    /** Sets whether tasks that start on a worker from now on fail; NotFound without the worker. */
    Result<Done> setFailing(std::string_view worker, bool failing);

    /** Sets the behaviour of a job's tasks that start from now on. */
    void setProfile(const std::string &job, const JobProfile &profile);

    /** Returns all workers, ordered by name. */
    [[nodiscard]] std::vector<PlatformWorker> workers() const;

    /** Returns the running and the recently ended tasks, ordered by id. */
    std::vector<PlatformTask> tasks(TimePoint now);

    /**
     * Starts a task; if a task with this id is known already, returns that one unchanged. NotFound
     * without the worker, Conflict if its accelerators are in use.
     */
    Result<PlatformTask> start(std::string_view worker, const TaskStartRequest &request,
                               TimePoint now);

    /** Renews a task's lease; NotFound without the task, Conflict if it has ended. */
    Result<PlatformTask> renew(std::string_view id, TimePoint now);

    /** Saves the progress of a task and ends it; Conflict if it is not checkpointable. */
    Result<PlatformTask> checkpoint(std::string_view id, TimePoint now);

    /** Reduces the speed and the core usage of a task to a quarter. */
    Result<PlatformTask> throttle(std::string_view id, TimePoint now);

    /** Stops a task; its progress is lost. */
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
        TimePoint progressAt; ///< Time to which `progress` applies.
        Duration progress{0}; ///< Unthrottled run time completed so far.
        TimePoint ended;
        std::deque<Usage> usage;
    };

    using Tasks = std::map<std::string, Task, std::less<>>;

    void advance(TimePoint now);
    void advance(Task &task, TimePoint now) const;
    void end(Task &task, PlatformTaskState state, TimePoint time, std::string reason = {}) const;
    void enforceMemoryLimit(std::string_view worker, TimePoint now);
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
