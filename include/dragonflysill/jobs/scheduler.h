#pragma once

#include "dragonflysill/jobs/admissiontable.h"
#include "dragonflysill/jobs/fleetconfiguration.h"
#include "dragonflysill/jobs/fleetview.h"
#include "dragonflysill/jobs/jobrun.h"
#include "dragonflysill/jobs/runtimemodel.h"
#include "dragonflysill/jobs/workerstate.h"

#include <deque>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace dragonflysill {

/** Starts a run of a task on a worker. */
struct StartTask
{
    std::string worker;
    TaskId task;
    int run = 0;
    std::string payload;
    std::string checkpoint; ///< Empty to start from the beginning.
    std::string ticket; ///< Admission by the queue's policy; empty if none is needed.
    WorkerClock holdUntil = 0;
};

/** Stops a run of a task; also blocks a start of it that is still under way. */
struct StopTask
{
    std::string worker;
    TaskId task;
    int run = 0;
};

/** Limits the share of its speed that a task may use. */
struct PaceTask
{
    std::string worker;
    TaskId task;
    int run = 0;
    int percent = 100;
};

/** Asks which workers a queue's policy admits for a step of an occurrence of a job. */
struct RequestAdmission
{
    std::string job;
    int occurrence = 0;
    int step = 0;
    std::vector<std::string> workers;
};

using SchedulerAction = std::variant<StartTask, StopTask, PaceTask, RequestAdmission>;

/** The contents of a hold, which extends all runs of a worker. */
struct HoldRequest
{
    std::optional<WorkerClock> holdUntil; ///< Nothing until the worker's clock is known.
    std::int64_t acknowledgedEnds = 0;
};

/** Progress of a job to be saved. */
struct ProgressUpdate
{
    std::string job;
    std::uint64_t change = 0;
    JobProgress progress;
};

/** Timing of a Scheduler. */
struct SchedulerSettings
{
    /**
     * Length of a hold. A dead worker's tasks restart after it; a new owner must arrive within it
     * for running tasks to survive.
     */
    Milliseconds hold{3000};
    /** Longest time a worker needs to stop a run, from the platform's settings. */
    Milliseconds stopTime{200};
    /** How long a previous owner may go on extending holds after its ownership ended. */
    Milliseconds previousOwner{2000};
};

/**
 * Decides which task runs on which worker: the owner's view of jobs and workers. It is driven by
 * events and a clock value and returns actions; it does no I/O and is not thread-safe.
 */
class Scheduler
{
public:
    /**
     * @param runOffset added to run numbers so that they exceed those of previous owners
     */
    Scheduler(SchedulerSettings settings, int runOffset);
    ~Scheduler();

    // Jobs.

    /**
     * Adds an accepted job; a known id is ignored.
     * @param inherited it was accepted before this owner took over
     * @param age time since its acceptance
     */
    void addJob(SubmittedJob job, JobProgress progress, bool inherited, Duration age,
                TimePoint now);
    /** Cancels a job; all its runs are stopped. */
    void cancelJob(std::string_view id, TimePoint now);
    /** Forgets a job that has ended and whose progress has been saved. */
    void removeJob(std::string_view id);
    [[nodiscard]] const JobRun *job(std::string_view id) const;

    /** Sets the queues whose tasks need a ticket to start, with what asking for one costs. */
    void setAdmissionQueues(std::map<std::string, WorkerAdmissionSettings> queues);
    /** Takes over the tickets of the admitted ones among the workers that were asked about. */
    void admissionAnswered(const RequestAdmission &question,
                           const std::map<std::string, std::string> &tickets, TimePoint now);
    void admissionUnanswered(const RequestAdmission &question, TimePoint now);

    // Workers.

    /** Adds a worker or takes over a new description of one. */
    void addOrUpdateWorker(const WorkerDescription &description, TimePoint now);
    /** Notes that a worker's entry has left the store; its runs may go on. */
    void unlistWorker(std::string_view id, TimePoint now);
    /** Notes a worker that the previous owner used: its runs may go on although it is not listed.
     */
    void addInheritedWorker(const WorkerDescription &description, TimePoint now);
    /** Notes that a worker has ended for good, with all its runs. */
    void retireWorker(std::string_view id, TimePoint now);
    /** Chooses whether a worker gets no new tasks and its persistent tasks are moved away. */
    void setLeaving(std::string_view id, bool leaving);
    [[nodiscard]] const WorkerState *worker(std::string_view id) const;
    [[nodiscard]] const std::unordered_map<std::string, WorkerState> &workers() const
    {
        return m_workers;
    }

    // Answers of workers.

    /** Returns what the next hold of a worker carries. */
    [[nodiscard]] HoldRequest holdRequest(std::string_view worker, TimePoint now);
    /**
     * Notes the answer to a hold.
     * @param sentAt when the hold was sent
     */
    void holdAnswered(std::string_view worker, const WorkerReport &report, TimePoint sentAt,
                      TimePoint now);
    void holdUnanswered(std::string_view worker, TimePoint now);
    void startConfirmed(const StartTask &start, WorkerClock clock, TimePoint now);
    void startRefused(const StartTask &start, StartRefusal refusal, TimePoint now);
    void startUnanswered(const StartTask &start, TimePoint now);
    void stopConfirmed(const StopTask &stop, TimePoint now);
    void stopUnanswered(const StopTask &stop, TimePoint now);
    void paceAnswered(const PaceTask &pace, bool confirmed);

    // Progress.

    /** Returns up to @p limit updates to save, oldest change first. */
    [[nodiscard]] std::vector<ProgressUpdate> takeUpdates(std::size_t limit);
    /** Notes that updates have been saved, or have to be saved again. */
    void updatesSaved(std::span<const ProgressUpdate> updates, bool saved);
    [[nodiscard]] bool hasUpdates() const { return !m_dirty.empty(); }
    /** Returns true if an update ends a job, so that callers wait for it. */
    [[nodiscard]] bool hasUrgentUpdates() const { return m_urgent; }

    /**
     * Decides what to do now.
     * @param unixMs the time of day, for scheduled occurrences
     */
    std::vector<SchedulerAction> decide(TimePoint now, std::int64_t unixMs);

    /** Returns true if a worker has seen a higher fencing token: this owner was replaced. */
    [[nodiscard]] bool replaced() const { return m_replaced; }

    /** Returns the load of a pool: tasks that wait or run, persistent ones included. */
    [[nodiscard]] PoolLoad load(std::string_view pool) const;

    /** Returns the jobs that have not ended. */
    [[nodiscard]] std::size_t openJobs() const { return m_open.size(); }

private:
    struct Candidate;

    JobRun *find(std::string_view id);
    WorkerState *findWorker(std::string_view id);
    void markDirty(JobRun &job);
    void endJob(JobRun &job, TimePoint now);
    void releaseRun(WorkerState &worker, std::map<TaskId, TaskRun>::iterator run, TimePoint now);
    void loseRuns(WorkerState &worker, TimePoint now);
    void retire(WorkerState &worker, TimePoint now);
    void retireForerunners(const WorkerDescription &description, TimePoint now);
    void beginLife(WorkerState &worker, const WorkerReport &report, TimePoint sentAt,
                   TimePoint now);
    void applyRunning(WorkerState &worker, const WorkerReport &report, TimePoint sentAt,
                      TimePoint now);
    void settleStrays(WorkerState &worker, TimePoint now);
    void adopt(WorkerState &worker, const RunningReport &report, TimePoint now);
    void keepCheckpoint(JobRun &job, const EndReport &end, TaskRun *run);
    void applyEnd(WorkerState &worker, const EndReport &end, TimePoint now);
    void applyDone(WorkerState &worker, const EndReport &end, const TaskRun *run, TimePoint now);
    /** Learns from a completed run how long the queue's tasks take and how fast the worker is. */
    void observeRun(WorkerState &worker, const TaskRun &run, TimePoint now);
    /** Learns from a run's progress how fast the worker is. */
    void observeProgress(WorkerState &worker, const TaskRun &run, TimePoint now);
    void observePace(WorkerState &worker, const TaskRun &run, Duration took, TimePoint now);
    void applyFailure(WorkerState &worker, const EndReport &end, TimePoint now);
    void acknowledgeSaved(WorkerState &worker);
    void stopRun(WorkerState &worker, TaskRun &run, TimePoint now);
    void stopOtherRuns(const TaskId &task, const std::string &except, TimePoint now);
    void checkWorkers(TimePoint now);
    void checkRun(WorkerState &worker, TaskRun &run, TimePoint now);
    void paceFilling(WorkerState &worker, TimePoint now);
    void moveAway(WorkerState &worker, TimePoint now);
    /** Returns whether a previous owner may still order stops that this one can't see yet. */
    [[nodiscard]] bool mayOverlap(TimePoint now) const
    {
        return !m_beganAt || now - *m_beganAt < m_settings.previousOwner;
    }
    [[nodiscard]] int unavailable(const JobRun &job, const TaskId &task) const;
    void openOccurrences(std::int64_t unixMs, TimePoint now);
    void dispatch(TimePoint now);
    void dispatchPool(const std::string &pool, std::vector<Candidate> &candidates, TimePoint now);
    void startWaiting(JobRun &job, int occurrence, int step, TimePoint now);
    void startGang(JobRun &job, int occurrence, int step, TimePoint now);
    void startCopies(TimePoint now);
    void startStepCopies(JobRun &job, int occurrence, int step, TimePoint now);
    [[nodiscard]] WorkerState *choose(const JobRun &job, const TaskId &id, const Task &task,
                                      TimePoint now);
    void start(JobRun &job, const TaskId &id, Task &task, WorkerState &worker, TimePoint now);
    [[nodiscard]] const WorkerAdmissionSettings *advicePolicy(const JobRun &job) const;
    void askForAdvice(const JobRun &job, int occurrence, int step, TimePoint now);
    [[nodiscard]] bool blockedByUnknownRuns(const JobRun &job) const;
    [[nodiscard]] Duration remainingWork(const JobRun &job) const;
    [[nodiscard]] double expectedWork(const JobRun &job) const;

    SchedulerSettings m_settings;
    int m_runOffset;
    std::optional<TimePoint> m_beganAt; ///< The first decision.
    bool m_replaced = false;
    bool m_urgent = false;
    std::unordered_map<std::string, std::unique_ptr<JobRun>> m_jobs;
    std::map<std::string, JobRun *> m_open; ///< Jobs that have not ended, by id.
    std::unordered_map<std::string, WorkerState> m_workers;
    std::map<std::string, std::vector<WorkerState *>, std::less<>> m_pools;
    std::deque<std::string> m_dirty; ///< Jobs with unsaved changes, oldest first.
    std::map<TaskId, int> m_leftovers; ///< Number of TaskRun::leftover runs by task.
    std::unordered_map<std::string, int> m_unresolved; ///< Unreached workers by pool.
    std::vector<SchedulerAction> m_actions;
    std::map<std::string, PoolLoad, std::less<>> m_arrived; ///< Work and jobs by pool.
    std::map<std::string, WorkerAdmissionSettings, std::less<>> m_advisedQueues;
    AdmissionTable m_admissions;
    RunTimeModel m_runTimes;
};

} // namespace dragonflysill
