#pragma once

#include "dragonflysill/contracts/job.h"
#include "dragonflysill/contracts/quota.h"
#include "dragonflysill/machines/jobentry.h"
#include "dragonflysill/machines/preemption.h"
#include "dragonflysill/machines/workertable.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dragonflysill {

/** Settings of the placement planner. */
struct PlacementSettings
{
    /** Factor on the largest observed usage that gives the planned size of a task. */
    double usageMargin = 1.1;
    /** Lease of a task. A task whose lease is not renewed in this time is started elsewhere. */
    std::chrono::milliseconds taskLease{30'000};
    /** Duration of a worker's first quarantine; each consecutive one takes twice as long. */
    std::chrono::milliseconds quarantine{600'000};
    /** Consecutive failures after which a worker is quarantined, if several jobs failed on it. */
    int failuresUntilQuarantine = 3;
    /** Consecutive failed runs, on any workers, after which a job is refused. */
    int failuresUntilRefusal = 12;
    /** Resume throttled tasks; off by default because the platform has no request for it. */
    bool resumesThrottled = false;
    /** Failed attempts per decide() and priority below urgent; bounds the time of decide(). */
    int attemptsPerDecision = 256;
};

/** How a task ended. */
enum class TaskOutcome { Succeeded, Failed, Lost };

/**
 * Places tasks on workers. A task is planned with its declared resources until usage was observed,
 * and with the observed usage from then on. Urgent jobs come first and may preempt others; a job
 * that does not fit does not block the jobs behind it. The planner has no side effects: the time is
 * a parameter and the actions are returned. Not thread-safe; the owner synchronizes the calls.
 */
class PlacementPlanner
{
public:
    explicit PlacementPlanner(PlacementSettings settings = {});
    ~PlacementPlanner();

    /** Adds or changes a worker. */
    void setWorker(const Worker &worker);

    /** Removes a worker; its tasks are queued again. */
    void removeWorker(std::string_view name);

    /** Sets a team's quota. A team without a quota is not limited. */
    void setQuota(const Quota &quota);
    void removeQuota(std::string_view team);

    /**
     * Adds a job, or replaces it if it changed; a new ticket number is a change too. The next
     * decide() stops the tasks of a replaced or cancelled job.
     */
    void setJob(const Job &job);

    /** Removes a job; the next decide() stops its tasks. */
    void removeJob(std::string_view name);

    /** Restores a running task from its stored record. */
    void restoreTask(std::string_view job, int index, std::string_view worker, std::int64_t nowMs);

    /** Extends a running task's lease to @p nowMs plus the lease duration. */
    void renewTask(std::string_view job, int index, std::int64_t nowMs);

    /** Updates the job's planned size from the reported usage of a running task. */
    void reportUsage(std::string_view job, int index, const Resources &usage);

    /** Ends a running task. A failed or lost task is queued again. */
    void endTask(std::string_view job, int index, TaskOutcome outcome, std::int64_t nowMs);

    /** Returns the actions that are due and updates the state as if they were executed. */
    std::vector<PlacementAction> decide(std::int64_t nowMs);

    /** Returns the status of every job, ordered by name. */
    [[nodiscard]] std::vector<JobStatus> statuses() const;

    /** Returns the sum of the planned sizes of a team's running tasks. */
    [[nodiscard]] Resources used(std::string_view team) const;

    [[nodiscard]] const WorkerTable &workers() const { return m_workers; }

private:
    struct Team
    {
        Resources used;
        Resources limit;
        bool limited = false;
    };
    using Queue = std::set<std::pair<std::uint64_t, std::uint32_t>>;
    static constexpr std::size_t priorities = 3;

    JobEntry *findJob(std::string_view name);
    TaskSlot *findTask(JobEntry *entry, int index);
    void enqueue(std::uint32_t id);
    void rebuildWorkers();
    void expireLeases(std::int64_t nowMs);
    void readmitWorkers(std::int64_t nowMs);
    void retryRefusedJobs();
    void runQueue(Priority priority, std::int64_t nowMs);
    bool tryJob(std::uint32_t id, std::int64_t nowMs);
    bool checkPossible(std::uint32_t id);
    std::string findImpossibleReason(const JobEntry &entry) const;
    void refuseJob(std::uint32_t id, std::string reason);
    bool place(std::uint32_t id, std::int64_t nowMs);
    bool placeNextTask(std::uint32_t id, std::int64_t nowMs);
    bool placeGang(std::uint32_t id, std::int64_t nowMs);
    int findWorker(const JobEntry &entry) const;
    int findInRange(const JobEntry &entry, const WorkerTable::Range &range) const;
    [[nodiscard]] bool withinQuota(const JobEntry &entry) const;
    bool preemptForUrgent(std::uint32_t id, std::int64_t nowMs);
    [[nodiscard]] std::vector<WorkerTable::Range> rotatedRanges(std::string_view pool) const;
    std::vector<std::size_t> findPreemptionWorkers(const JobEntry &entry);
    [[nodiscard]] std::vector<std::size_t>
    findPreemptionWorkersForGang(const JobEntry &entry) const;
    void preemptOnOverloadedWorkers();
    void resumeThrottled();
    /** Resumes tasks while the worker has enough cores; returns true if none stays throttled. */
    bool resumeTasksOn(std::size_t worker);
    void preempt(const Victim &victim, std::string_view reason);
    void preemptTask(const TaskReference &task, PlacementAction::Kind kind,
                     std::string_view reason);
    void assignTask(std::uint32_t id, std::uint32_t index, std::uint32_t worker,
                    std::int64_t nowMs);
    void releaseTask(std::uint32_t id, std::uint32_t index);
    void requeueTask(std::uint32_t id, std::uint32_t index);
    void adjustUsage(std::size_t worker, const JobEntry &entry, const Resources &change);
    void stopTasks(std::uint32_t id, std::string_view reason);
    void recordFailure(std::uint32_t id, std::size_t worker, std::int64_t nowMs);
    void recordSuccess(JobEntry &entry, std::size_t worker);
    void updatePlannedSize(std::uint32_t id, const Resources &planned);
    void addAction(PlacementAction::Kind kind, const JobEntry &entry, std::uint32_t index,
                   std::size_t worker, std::string_view reason = {});

    PlacementSettings m_settings;
    WorkerTable m_workers;
    ByName<Team> m_teams;
    std::vector<std::unique_ptr<JobEntry>> m_jobs; ///< By id; null if the id is unused.
    std::vector<std::uint32_t> m_unusedIds;
    ByName<std::uint32_t> m_ids;
    Queue m_queues[priorities]; ///< Jobs with waiting tasks, by priority.
    /** Position at which the next decide() continues, so that every job is tried eventually. */
    Queue::value_type m_cursors[priorities];
    std::set<std::uint32_t> m_refusedJobs; ///< Jobs refused until workers or quotas change.
    std::uint64_t m_retriedLimitVersion = 0; ///< m_limitVersion when they were last retried.
    std::deque<std::pair<std::int64_t, TaskReference>>
            m_leases; ///< Tasks with the time of their next lease check.
    std::set<std::pair<std::int64_t, std::string>>
            m_quarantines; ///< Workers by the end of their quarantine.
    std::set<std::size_t>
            m_overloadedWorkers; ///< Workers whose planned sizes exceed their capacity.
    std::set<std::size_t> m_throttled; ///< Workers with throttled tasks.
    std::vector<PlacementAction> m_actions; ///< Collected for the next decide().
    /** Position at which the next search for victims starts; spreads preemption over workers. */
    std::size_t m_preemptionCursor = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_capacityVersion = 1; ///< Incremented when capacity or quota becomes free.
    std::uint64_t m_limitVersion = 1; ///< Incremented when workers or quotas change.
};

} // namespace dragonflysill
