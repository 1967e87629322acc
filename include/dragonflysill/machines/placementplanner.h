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

/** Constants of the placement decision. */
struct PlacementSettings
{
    /** A task is planned with its largest observed usage times this margin. */
    double usageMargin = 1.1;
    /** A task's lease; a task that is not renewed for this time is started elsewhere. */
    std::chrono::milliseconds taskLease{30'000};
    /** First quarantine of a worker on which tasks of several jobs failed in a row. */
    std::chrono::milliseconds quarantine{600'000};
    /** Failed tasks in a row after which a worker is quarantined. */
    int failuresUntilQuarantine = 3;
    /** Failed runs in a row, on any workers, after which a job is refused. */
    int failuresUntilRefusal = 12;
    /** Throttled tasks are resumed; off because the platform has no request for it. */
    bool resumesThrottled = false;
    /** Waiting jobs below urgent that one decision tries; bounds its time. */
    int attemptsPerDecision = 256;
};

/** How a task ended. */
enum class TaskOutcome { Succeeded, Failed, Lost };

/**
 * Places tasks on workers. Tasks are planned with observed usage once there is some, and with the
 * declared needs before. Urgent jobs come first and may take the place of others; a job that does
 * not fit blocks no other. Pure: the time is a parameter and the actions are returned. Not
 * thread-safe; the owner guards it.
 */
class PlacementPlanner
{
public:
    explicit PlacementPlanner(PlacementSettings settings = {});
    ~PlacementPlanner();

    /** Adds or changes a worker. */
    void setWorker(const Worker &worker);

    /** Removes a worker; its tasks wait again. */
    void removeWorker(std::string_view name);

    /** Sets a team's quota. A team without one is not limited. */
    void setQuota(const Quota &quota);
    void removeQuota(std::string_view team);

    /**
     * Adds a job or starts a changed one anew; also a new ticket number is a change. The tasks of
     * the old one, or of a cancelled one, are stopped by the next decide().
     */
    void setJob(const Job &job);

    /** Removes a job; its tasks are stopped by the next decide(). */
    void removeJob(std::string_view name);

    /** Sets a task as running, from the state in the store. */
    void restoreTask(std::string_view job, int index, std::string_view worker, std::int64_t nowMs);

    /** Extends a task's lease. */
    void renewTask(std::string_view job, int index, std::int64_t nowMs);

    /** Takes the reported usage of a running task into account. */
    void reportUsage(std::string_view job, int index, const Resources &usage);

    /** Ends a running task. A failed or lost one waits again. */
    void endTask(std::string_view job, int index, TaskOutcome outcome, std::int64_t nowMs);

    /** Returns the actions that are due. They count as executed. */
    std::vector<PlacementAction> decide(std::int64_t nowMs);

    /** Returns the status of every job, ordered by name. */
    [[nodiscard]] std::vector<JobStatus> statuses() const;

    /** Returns the planned sizes of all running tasks of a team. */
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
    void retryRefused();
    void runQueue(Priority priority, std::int64_t nowMs);
    bool tryJob(std::uint32_t id, std::int64_t nowMs);
    bool checkPossible(std::uint32_t id);
    std::string whyImpossible(const JobEntry &entry) const;
    void refuse(std::uint32_t id, std::string reason);
    bool place(std::uint32_t id, std::int64_t nowMs);
    bool placeNext(std::uint32_t id, std::int64_t nowMs);
    bool placeGang(std::uint32_t id, std::int64_t nowMs);
    int findWorker(const JobEntry &entry) const;
    int findInRange(const JobEntry &entry, const WorkerTable::Range &range) const;
    [[nodiscard]] bool withinQuota(const JobEntry &entry) const;
    bool reclaim(std::uint32_t id, std::int64_t nowMs);
    [[nodiscard]] std::vector<WorkerTable::Range> rotatedRanges(std::string_view pool) const;
    std::vector<std::size_t> findReclaimable(const JobEntry &entry);
    [[nodiscard]] std::vector<std::size_t> findReclaimableGang(const JobEntry &entry) const;
    void relieveOverloaded();
    void resumeThrottled();
    /** Resumes tasks as far as the cores allow; returns true if none is throttled any more. */
    bool resumeOn(std::size_t worker);
    void preempt(const Victim &victim, std::string_view reason);
    void preemptOne(const TaskReference &task, PlacementAction::Kind kind, std::string_view reason);
    void occupy(std::uint32_t id, std::uint32_t index, std::uint32_t worker, std::int64_t nowMs);
    void release(std::uint32_t id, std::uint32_t index);
    void makeWaiting(std::uint32_t id, std::uint32_t index);
    void adjust(std::size_t worker, const JobEntry &entry, const Resources &change);
    void stopAll(std::uint32_t id, std::string_view reason);
    void noteFailure(std::uint32_t id, std::size_t worker, std::int64_t nowMs);
    void noteSuccess(JobEntry &entry, std::size_t worker);
    void revise(std::uint32_t id, const Resources &planned);
    void add(PlacementAction::Kind kind, const JobEntry &entry, std::uint32_t index,
             std::size_t worker, std::string_view reason = {});

    PlacementSettings m_settings;
    WorkerTable m_workers;
    ByName<Team> m_teams;
    std::vector<std::unique_ptr<JobEntry>> m_jobs; ///< By id; null if the id is unused.
    std::vector<std::uint32_t> m_unusedIds;
    ByName<std::uint32_t> m_ids;
    Queue m_queues[priorities]; ///< Jobs with waiting tasks, by priority.
    /** Where the next decision continues, so that a bounded pass reaches every job. */
    Queue::value_type m_cursors[priorities];
    std::set<std::uint32_t> m_refused; ///< Jobs that can never run with these workers.
    std::uint64_t m_refusedAt = 0; ///< Limit version at which they were last queued.
    std::deque<std::pair<std::int64_t, TaskReference>> m_leases; ///< By end of the lease.
    std::set<std::pair<std::int64_t, std::string>> m_quarantines; ///< By end of the quarantine.
    std::set<std::size_t> m_overloaded; ///< Workers whose planned sizes exceed the capacity.
    std::set<std::size_t> m_throttled; ///< Workers with throttled tasks.
    std::vector<PlacementAction> m_actions; ///< Collected for the next decide().
    /** Where the next search for victims starts, so that preemption spreads over the workers. */
    std::size_t m_reclaimCursor = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_freeVersion = 1; ///< Grows when capacity or quota becomes free.
    std::uint64_t m_limitVersion = 1; ///< Grows when workers or quotas change.
};

} // namespace dragonflysill
