#pragma once

#include "dragonflysill/base/stringhash.h"
#include "dragonflysill/jobs/admissiontable.h"
#include "dragonflysill/jobs/fleetconfiguration.h"
#include "dragonflysill/jobs/fleetview.h"
#include "dragonflysill/jobs/jobrun.h"
#include "dragonflysill/jobs/runanomaly.h"
#include "dragonflysill/jobs/runtimemodel.h"
#include "dragonflysill/jobs/startobstacle.h"
#include "dragonflysill/jobs/teamrates.h"
#include "dragonflysill/jobs/teamusage.h"
#include "dragonflysill/jobs/waitingqueue.h"
#include "dragonflysill/jobs/workerrestart.h"
#include "dragonflysill/jobs/workerstate.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace dragonflysill {

/** Order to start a run of a task on a worker. */
struct StartTask
{
    std::string worker;
    TaskId task;
    int run = 0;
    std::string payload;
    std::string checkpoint; ///< Empty to start from the beginning.
    std::string ticket; ///< Admission ticket; empty if the queue needs none.
    WorkerClock holdUntil = 0; ///< End of the run's hold on the worker's clock.
    std::int64_t startedMs = 0; ///< Incarnation of the worker that was known when it was ordered.
};

/** Order to stop a run of a task; also blocks its start order if that arrives later. */
struct StopTask
{
    std::string worker;
    TaskId task;
    int run = 0;
    std::int64_t startedMs = 0; ///< Incarnation of the worker that was known when it was ordered.
};

/** Order to limit the speed of a run. */
struct PaceTask
{
    std::string worker;
    TaskId task;
    int run = 0;
    int percent = 100; ///< Share of its full speed that the run may use.
};

/** Request for the workers that a queue's policy admits for a step of an occurrence of a job. */
struct RequestAdmission
{
    std::string job;
    int occurrence = 0;
    int step = 0;
    std::vector<std::string> workers;
};

using SchedulerAction = std::variant<StartTask, StopTask, PaceTask, RequestAdmission>;

/** Contents of a hold request, which extends the hold of all runs of a worker. */
struct HoldRequest
{
    std::optional<WorkerClock> holdUntil; ///< On the worker's clock; not set until that is known.
    std::int64_t acknowledgedEnds = 0; ///< The worker may forget ends up to this number.
    std::int64_t startedMs = 0; ///< Incarnation that the time and the number are of; 0 if unknown.

    /** Returns whether it has a time or a number, which are valid for one incarnation only. */
    [[nodiscard]] bool isBound() const { return holdUntil || acknowledgedEnds > 0; }
};

/** Progress of a job to be saved. */
struct ProgressUpdate
{
    std::string job;
    std::uint64_t change = 0; ///< JobRun::changes() of this progress.
    JobProgress progress;
};

/** A step whose tasks, or whose gang, need more than the ceiling of their team. */
struct CeilingExcess
{
    std::string job;
    int step = 0;
    std::string team;
    Resources need;
    Resources ceiling;
};

/** Work done by the decisions of a Scheduler so far. */
struct DecisionWork
{
    std::uint64_t stepsExamined = 0; ///< Waiting steps that were considered for a start.
    std::uint64_t runsChecked = 0; ///< Runs whose progress and orders were checked.
};

/** Timing of a Scheduler. */
struct SchedulerSettings
{
    /**
     * Length of a hold. The tasks of a failed worker are started elsewhere after this time; running
     * tasks survive a change of owner only if the new owner extends their hold within this time.
     */
    Milliseconds hold{3000};
    /** Maximum to which workers shorten longer holds, from the platform's settings. */
    Milliseconds maxHold{10000};
    /** Maximum time that a worker needs to stop a run, from the platform's settings. */
    Milliseconds stopTime{200};
    /** Maximum time for which a previous owner may still extend holds after losing ownership. */
    Milliseconds previousOwner{2000};
    TeamRateSettings teamRates;
};

/**
 * Decides which task runs on which worker, from the owner's state of jobs and workers. It takes
 * events and the current time as input and returns actions; it does no I/O and is not thread-safe.
 */
class Scheduler
{
public:
    /**
     * Number of starts after which a decision ends, so that other events are handled between the
     * starts of a burst. A gang is started as a whole.
     */
    static constexpr int maxStartsPerDecision = 24;

    /**
     * @param runOffset added to run numbers, so that they exceed those of previous owners
     */
    Scheduler(SchedulerSettings settings, int runOffset);
    ~Scheduler();

    // Jobs.

    /**
     * Adds an accepted job; ignores a known id.
     * @param inherited whether the job was accepted before this owner took over
     * @param age time since the job was accepted
     */
    void addJob(SubmittedJob job, JobProgress progress, bool inherited, Duration age,
                TimePoint now);
    /** Cancels a job and stops all its runs. */
    void cancelJob(std::string_view id, TimePoint now);
    /** Removes a job that has ended; its progress must have been saved. */
    void removeJob(std::string_view id);
    [[nodiscard]] const JobRun *job(std::string_view id) const;

    /**
     * Sets the queues whose tasks need an admission ticket to start. Jobs of queues that are in
     * neither set keep the settings that they were accepted with.
     * @param queues costs of admission requests by queue name
     * @param others names of the queues whose tasks need none
     */
    void setAdmissionQueues(std::map<std::string, WorkerAdmissionSettings> queues,
                            std::set<std::string> others = {});
    /**
     * Handles the answer to an admission request.
     * @param tickets tickets by worker; workers of the request without a ticket are not admitted
     */
    void admissionAnswered(const RequestAdmission &question,
                           const std::map<std::string, std::string> &tickets, TimePoint now);
    /** Handles an admission request without an answer; it is repeated later. */
    void admissionUnanswered(const RequestAdmission &question, TimePoint now);

    // Teams.

    /**
     * Sets the teams of the newest configuration. A raised ceiling allows starts at once; a lowered
     * one prevents new starts. Tasks of jobs that have a team wait for the first call.
     */
    void setTeams(std::span<const Team> teams);
    /**
     * Sets whether jobs are deferred whose delay costs callers least while not all jobs of a pool
     * can be in time; see jobsToDefer(). Without it, they are served in the order of their due
     * times.
     */
    void setOverloadPlanning(bool enabled) { m_plansOverload = enabled; }
    /**
     * Sets the cores that pools can have once instances have been moved to them; those without an
     * entry get no more than they have.
     */
    void setObtainableCores(std::map<std::string, double, std::less<>> cores)
    {
        m_obtainableCores = std::move(cores);
    }
    /** Returns the jobs of each team by the rate that its weight entitles it to. */
    [[nodiscard]] const TeamRates &teamRates() const { return m_teamRates; }
    /** Returns the number of deferred jobs by pool, in the last regular decision. */
    [[nodiscard]] const std::map<std::string, int, std::less<>> &deferredJobs() const
    {
        return m_deferredJobs;
    }
    /** Returns what each team may have running. */
    [[nodiscard]] const TeamUsage &teamUsage() const { return m_teams; }
    /**
     * Sets a function that finds jobs that were not added, since they ended before this owner took
     * over; it returns nothing if there is no such job. Runs of such jobs that workers report count
     * for the team of their job.
     */
    void setEndedJobs(std::function<std::optional<SubmittedJob>(std::string_view id)> find)
    {
        m_findEndedJob = std::move(find);
    }
    /** Returns up to @p limit jobs with a waiting step that can never start, each once. */
    [[nodiscard]] std::vector<CeilingExcess> takeCeilingExcesses(std::size_t limit);
    /** Returns why a team's ceiling keeps a step's next task, or its gang, from starting. */
    [[nodiscard]] std::optional<StartObstacle> teamObstacle(const JobRun &job,
                                                            const JobStep &step) const;

    // Workers.

    /** Adds a worker or updates the description of a known one. */
    void addOrUpdateWorker(const WorkerDescription &description, TimePoint now);
    /** Records that a worker's entry was removed from the store; its runs may continue. */
    void unlistWorker(std::string_view id, TimePoint now);
    /**
     * Adds a worker that the previous owner used. Its runs may continue although the store does not
     * list it.
     */
    void addInheritedWorker(const WorkerDescription &description, TimePoint now);
    /** How a worker has ended with all its runs. */
    enum class WorkerEnd {
        Down, ///< A later incarnation may use its id.
        Replaced, ///< Its instance has a worker with another id.
    };

    /** Records that a worker and all its runs have ended. */
    void retireWorker(std::string_view id, WorkerEnd end, TimePoint now);
    /** Sets whether a worker gets no new tasks and its persistent tasks are moved away. */
    void setLeaving(std::string_view id, bool leaving);
    /** Sets the time by which the tasks of a worker have to leave for maintenance, if they have to.
     */
    void setMaintenanceDeadline(std::string_view id, std::optional<TimePoint> deadline);
    [[nodiscard]] const WorkerState *worker(std::string_view id) const;
    [[nodiscard]] const StringMap<WorkerState> &workers() const { return m_workers; }

    // Requests to workers and their answers.

    /** Returns the contents of the next hold request to a worker. */
    [[nodiscard]] HoldRequest holdRequest(std::string_view worker, TimePoint now);
    /**
     * Handles the answer to a hold request.
     * @param sentAt when the request was sent
     */
    void holdAnswered(std::string_view worker, const WorkerReport &report, TimePoint sentAt,
                      TimePoint now);
    void holdUnanswered(std::string_view worker, TimePoint now);
    /** Records that a worker has refused a call because it has seen a newer owner. */
    void newerOwnerSeen() { m_replaced = true; }
    /** Returns whether neither an answer nor a report has told what became of a start. */
    [[nodiscard]] bool isStarting(const StartTask &start) const;
    /** @param copies number of copies of the order that this owner had sent by then */
    void startConfirmed(const StartTask &start, WorkerClock clock, TimePoint now, int copies = 1);
    void startRefused(const StartTask &start, StartRefusal refusal, TimePoint now);
    void startUnanswered(const StartTask &start, TimePoint now);
    void stopConfirmed(const StopTask &stop, TimePoint now);
    void stopUnanswered(const StopTask &stop, TimePoint now);
    void paceAnswered(const PaceTask &pace, bool confirmed);

    // Progress.

    /**
     * Removes and returns up to @p limit updates to save: jobs that have ended first, then the
     * others, oldest change first. A job is not returned again before updatesSaved() was called for
     * it, so that several writes may be in flight.
     */
    [[nodiscard]] std::vector<ProgressUpdate> takeUpdates(std::size_t limit);
    /** Records that updates have been saved or, if @p saved is false, must be saved again. */
    void updatesSaved(std::span<const ProgressUpdate> updates, bool saved);
    [[nodiscard]] bool hasUpdates() const { return !m_unsavedJobs.empty(); }
    /** Returns the number of jobs to save; some may be counted that need not be saved any more. */
    [[nodiscard]] std::size_t queuedUpdates() const { return m_unsavedJobs.size(); }
    /** Returns true if an update contains the end of a job, which callers wait for. */
    [[nodiscard]] bool hasUrgentUpdates() const { return !m_unsavedEnds.empty(); }

    /**
     * Returns the actions to take now.
     * @param unixMs current time in Unix milliseconds, for scheduled occurrences
     */
    std::vector<SchedulerAction> decide(TimePoint now, std::int64_t unixMs);

    /**
     * Returns the starts that events since the last decision allow. Its cost depends on the pools
     * and jobs that changed and not on the backlog; decide() must still be called regularly for
     * everything that depends on time.
     */
    std::vector<SchedulerAction> decideAfterEvent(TimePoint now, std::int64_t unixMs);

    /** Bounds the starts of later decisions below maxStartsPerDecision; 0 allows none. */
    void setStartLimit(int starts) { m_startLimit = std::clamp(starts, 0, maxStartsPerDecision); }

    /** Returns true if the last decision ended at its maximum number of starts. */
    [[nodiscard]] bool hasMoreStarts() const { return m_startsLeft <= 0; }

    [[nodiscard]] const DecisionWork &work() const { return m_work; }

    /** Removes and returns the disagreements with workers since the last call, for the log. */
    [[nodiscard]] std::vector<RunAnomaly> takeRunAnomalies()
    {
        return std::exchange(m_anomalies, {});
    }

    /** Removes and returns the restarts of workers since the last call, for the log. */
    [[nodiscard]] std::vector<WorkerRestart> takeWorkerRestarts()
    {
        return std::exchange(m_restarts, {});
    }

    /** Returns true if a worker has seen a higher fencing token, so a new owner exists. */
    [[nodiscard]] bool replaced() const { return m_replaced; }

    /** Returns the load of each pool from waiting and running tasks, including persistent ones. */
    [[nodiscard]] std::map<std::string, PoolLoad, std::less<>> loads(TimePoint now) const;

    /**
     * Returns true if a worker with runs does not answer and its runs may still be held. If the
     * list of instances shows that it has ended, its tasks need not wait for the end of their hold.
     */
    [[nodiscard]] bool hasSilentWorkers(TimePoint now) const;

    /**
     * Returns up to @p limit jobs that have no run although a task has waited for @p waited or
     * longer and at most half of the pool's cores are reserved, with what keeps the pool's workers
     * from taking that task.
     */
    [[nodiscard]] std::vector<WaitingTaskReport>
    longWaitingTasks(Duration waited, std::size_t limit, TimePoint now) const;

    /** Returns the number of jobs that have not ended. */
    [[nodiscard]] std::size_t openJobs() const { return m_open.size(); }

private:
    /** How many of a pool's waiting steps a decision considers. */
    enum class Search {
        All,
        First, ///< Ends after a number of steps without a suitable worker.
    };

    JobRun *find(std::string_view id);
    WorkerState *findWorker(std::string_view id);
    void queueSave(JobRun &job);
    void endJob(JobRun &job, TimePoint now);
    void releaseRun(WorkerState &worker, std::map<TaskId, TaskRun>::iterator run, TimePoint now);
    /** Returns the runs that may have crashed a worker, which has ended. */
    [[nodiscard]] std::vector<SuspectedRun> suspectedRuns(const WorkerState &worker) const;
    /** Returns true if a run was young enough when its worker was last heard of. */
    [[nodiscard]] static bool mayHaveCrashed(const WorkerState &worker, const TaskRun &run);
    /**
     * Returns true if several workers of a worker's rack fell silent at the same time and none of
     * the others has answered since.
     */
    [[nodiscard]] bool rackFailed(const WorkerState &worker) const;
    /**
     * Records the crash of a worker under each of the runs, one of which caused it, and ends jobs
     * that have crashed too many workers.
     */
    void recordCrashes(std::span<const SuspectedRun> runs, TimePoint now);
    /**
     * Records the trials of earlier owners as crashes whose workers have ended since, and drops
     * the others, once all workers that may have runs of their jobs have answered.
     */
    void settleInheritedTrials(TimePoint now);
    /** What became of the worker of an earlier owner's trial. */
    enum class TrialOutcome {
        Survived, ///< Also if the start never reached it or it left as planned.
        WorkerEnded,
        Unknown, ///< The worker has not answered this owner.
    };
    [[nodiscard]] TrialOutcome trialOutcome(const StartTarget &target) const;
    /**
     * Settles the trials of one job, once its workers have answered. Those of workers that still
     * have not answered stay unexplained.
     */
    void settleTrials(JobRun &job, TimePoint now);
    [[nodiscard]] static StartTarget startTarget(const WorkerState &worker);
    /** Returns the number of starts of a job that are being saved, by the workers they are for. */
    [[nodiscard]] static StringMap<int> expectedTrials(const JobRun &job, const TaskId &except);
    /** Reserves a worker for the tasks of one job for probationTime. */
    static void beginProbation(WorkerState &worker, const std::string &job, TimePoint now);
    /** Records that a worker has confirmed or reported a run. */
    void confirmRun(TaskRun &run);
    /** Updates m_saveDelayed. */
    void observeSaves(TimePoint now);
    /**
     * Returns true if a task may be started on a worker. A task under which a worker has crashed
     * may be once the start is saved for a successor; this begins to save it. The start of a task
     * that an earlier owner may have started is recorded, too, but waited for only while saves are
     * delayed.
     */
    bool prepareStart(JobRun &job, const TaskId &id, const Task &task, WorkerState &worker,
                      TimePoint now);
    /** Adds to the runs of a worker of which it is not known whether they crashed it. */
    void awaitExplanation(WorkerState &worker, const SuspectedRun &run);
    void forgetUnexplainedRuns(WorkerState &worker);
    /**
     * Returns how many workers have crashed under a task, or may have: those that run it and do not
     * answer, and those whose runs were given up and that have not answered since.
     */
    [[nodiscard]] int suspicion(const JobRun &job, const TaskId &id, const Task &task) const;
    /** Records why a run is released without an end, or that it is reported but not known. */
    void recordAnomaly(RunAnomalyKind kind, const WorkerState &worker, const TaskRun &run,
                       TimePoint now);
    void loseRuns(WorkerState &worker, TimePoint now);
    void retire(WorkerState &worker, WorkerEnd end, TimePoint now);
    /**
     * Retires the earlier workers of a worker's instance. If it has not answered yet, only those
     * are retired that answered this owner and fell silent: another writer may have written its
     * entry.
     */
    void retirePreviousWorkers(const WorkerState &worker, TimePoint now);
    /** Extends a worker's hold from now; returns its end on the worker's clock. */
    WorkerClock extendHold(WorkerState &worker, TimePoint now) const;
    /**
     * Returns until when a worker's new incarnation may be held by calls that were sent on the
     * clock of an earlier one, which it takes for its own and shortens to the maximum hold.
     */
    [[nodiscard]] TimePoint heldByEarlierClock(const WorkerState &worker,
                                               const WorkerReport &report, TimePoint now) const;
    /**
     * Returns until when orders of earlier owners may reach an incarnation before their senders
     * have heard of it.
     */
    [[nodiscard]] static TimePoint earlierOrdersUntil(const WorkerState &worker,
                                                      std::optional<Duration> age, TimePoint now);
    /** Extends the waits for starts that may reach a new incarnation before it has answered. */
    void holdCopiesUntilAnswer(WorkerState &worker) const;
    void beginIncarnation(WorkerState &worker, const WorkerReport &report, TimePoint sentAt,
                          TimePoint now);
    void applyRunning(WorkerState &worker, const WorkerReport &report, TimePoint sentAt,
                      TimePoint now);
    /** Stops a reported run beside the one that is known on its worker. */
    void stopOtherRun(WorkerState &worker, const RunningReport &report, TimePoint now);
    void processUnadoptedRuns(WorkerState &worker, TimePoint now);
    void adoptRun(WorkerState &worker, const RunningReport &report, TimePoint now);
    void recordCheckpoint(JobRun &job, const EndReport &end, TaskRun *run);
    void applyEnd(WorkerState &worker, const EndReport &end, TimePoint now);
    void applyDone(WorkerState &worker, const EndReport &end, const TaskRun *run, TimePoint now);
    /** Updates the queue's expected run times and the worker's slowdown from a completed run. */
    void observeCompletedRun(WorkerState &worker, const TaskRun &run, TimePoint now);
    /** Updates the worker's slowdown from a run's progress. */
    void observeProgress(WorkerState &worker, const TaskRun &run, TimePoint now);
    void observeSlowdown(WorkerState &worker, const TaskRun &run, Duration took, TimePoint now);
    void applyFailure(WorkerState &worker, const EndReport &end, TimePoint now);
    void acknowledgeSaved(WorkerState &worker);
    void stopRun(WorkerState &worker, TaskRun &run, TimePoint now);
    /**
     * Stops a run whose incarnation of the worker has ended: the next one would carry out a copy of
     * the start that is still on its way. A start without an outcome is stopped once it has one.
     */
    void awaitCopies(WorkerState &worker, TaskRun &run, TimePoint now);
    /** Stops all runs of a task but the one that has ended on @p worker. */
    void stopOtherRuns(const WorkerState &worker, const EndReport &end, TimePoint now);
    void checkWorkers(TimePoint now);
    void checkRun(WorkerState &worker, TaskRun &run, TimePoint now);
    void paceBestEffortRuns(WorkerState &worker, TimePoint now);
    void movePersistentTasksAway(WorkerState &worker, TimePoint now);
    /**
     * Updates m_urgentMoves: the persistent steps that must leave instances of waves before their
     * turn, because their tasks may move only a few at a time.
     */
    void findUrgentMoves(TimePoint now);
    [[nodiscard]] bool isUrgentMove(const TaskId &id) const
    {
        return m_urgentMoves.contains({id.job, id.step});
    }
    /**
     * Returns whether a persistent task of @p worker that is stopped finds room on another one, at
     * once or when a task that is not persistent ends there. If the moves of its step are urgent,
     * workers that await maintenance count only for one that drains or has been leaving for long.
     */
    [[nodiscard]] bool findsRoomSoon(const WorkerState &worker, const TaskId &id, const Task &task,
                                     TimePoint now) const;
    /** Returns whether a previous owner may still give stop orders unknown to this owner. */
    [[nodiscard]] bool previousOwnerMayBeActive(TimePoint now) const
    {
        return !m_firstDecisionAt || now - *m_firstDecisionAt < m_settings.previousOwner;
    }
    [[nodiscard]] int unavailableTasks(const JobRun &job, const TaskId &task) const;
    void openOccurrences(std::int64_t unixMs, TimePoint now);
    /** Marks a job whose waiting steps or remaining work may have changed. */
    void waitingChanged(JobRun &job);
    void updateQueues(std::int64_t unixMs, TimePoint now);
    void countUnreachedWorkers(TimePoint now);
    /** Work of inherited jobs in one pool that an earlier owner may have started. */
    struct UnlocatedNeed
    {
        Resources reserved;
        std::int64_t unreservedMilliCores = 0; ///< Of best-effort tasks.
    };
    /** Capacity of the workers of a pool that have not answered this owner and may have runs. */
    struct UnreachedCapacity
    {
        Resources sum;
        bool known = true; ///< The capacity of each of them is known.
    };
    /** Returns a charge for a run of a task; an empty one if its job has no team. */
    [[nodiscard]] TeamCharge chargeFor(const TaskId &id);
    /** Records pools that wait for a team; returns true if a step cannot start because of it. */
    bool awaitsTeam(JobRun &job, const JobStep &step);
    /** Counts released runs of a worker again, since its next incarnation may receive their start.
     */
    void chargeReleasedRuns(WorkerState &worker, TimePoint now);
    /** Stops counting them, since the incarnation that refuses their start has answered. */
    static void dischargeReleasedRuns(WorkerState &worker);
    /** Updates m_unlocatedNeeds and the bounds that follow from it. */
    void countInheritedTasks(TimePoint now);
    static void addUnlocatedNeed(UnlocatedNeed &need, const JobRun &job);
    static void addNeed(UnlocatedNeed &need, const JobStep &step, std::int64_t tasks);
    /** Updates TeamAccount::inherited of all teams. */
    void boundInheritedRuns();
    /** Returns the share of each team's waiting work that fits below its ceiling now. */
    [[nodiscard]] std::map<const TeamAccount *, double> startableShares() const;
    /** Returns how many waiting tasks of a step count as demand, by the shares of their teams. */
    [[nodiscard]] double startableTasks(const JobRun &job, const JobStep &step, int waiting,
                                        const std::map<const TeamAccount *, double> &shares) const;
    /** Serves the pools, starting after the one that was served last, as long as starts are left.
     */
    void dispatchPools(const std::vector<std::string> &pools, Search search, TimePoint now);
    void dispatchPool(const std::string &pool, Search search, TimePoint now);
    /** Returns the most free milli-cores of a usable worker; nothing if none is usable. */
    [[nodiscard]] static std::optional<std::int64_t>
    largestFreeCapacity(std::span<WorkerState *const> workers, TimePoint now);
    /** Returns false if the step could not be started because no worker has enough capacity. */
    bool startStep(const WaitingStep &waiting, std::vector<Resources> &tooLarge, TimePoint now);
    /** Returns true if a task that reserves this amount may find a worker of the pool. */
    [[nodiscard]] bool mayHaveRoom(const std::string &pool, const Resources &need,
                                   TimePoint now) const;
    void startWaiting(JobRun &job, int occurrence, int step, TimePoint now);
    void startGang(JobRun &job, int occurrence, int step, TimePoint now);
    void startCopies(TimePoint now);
    void startStepCopies(JobRun &job, int occurrence, int step, TimePoint now);
    /** A task that a worker is chosen for, with what is the same for all workers. */
    struct Candidate
    {
        const JobRun &job;
        const TaskId &id;
        const Task &task;
        const JobStep &step;
        int suspicion = 0; ///< See suspicion().
        bool lastAttempt = false;
        bool needsTicket = false;
    };
    [[nodiscard]] Candidate candidate(const JobRun &job, const TaskId &id, const Task &task) const;
    /** Returns why a worker cannot take a task now; nothing if it can. */
    [[nodiscard]] std::optional<StartObstacle>
    startObstacle(const WorkerState &worker, const Candidate &candidate, TimePoint now) const;
    /** The same, apart from quarantine. */
    [[nodiscard]] std::optional<StartObstacle>
    otherObstacle(const WorkerState &worker, const Candidate &candidate, TimePoint now) const;
    /** Returns how many workers a job's pool lacks that can hold a task of the step. */
    [[nodiscard]] int lackingWorkers(const JobRun &job, const JobStep &step, TimePoint now) const;
    static void addLackingWorkers(std::vector<LackingWorkers> &known, const LackingWorkers &added);
    [[nodiscard]] static bool isLastAttempt(const JobRun &job, const TaskId &id);
    /** Returns the pools of which more than half of the reachable workers' cores are reserved. */
    [[nodiscard]] std::set<std::string_view> busyPools() const;
    [[nodiscard]] WaitingTaskReport describeWaiting(const JobRun &job, const TaskId &id,
                                                    const Task &task, TimePoint now) const;
    [[nodiscard]] WorkerState *chooseWorker(const JobRun &job, const TaskId &id, const Task &task,
                                            TimePoint now);
    void startRun(JobRun &job, const TaskId &id, Task &task, WorkerState &worker, TimePoint now);
    /** Returns the settings of a job whose tasks need a ticket to start; nullptr if they don't. */
    [[nodiscard]] const WorkerAdmissionSettings *admissionSettings(const JobRun &job) const;
    void requestAdmission(const JobRun &job, int occurrence, int step, TimePoint now);
    [[nodiscard]] bool blockedByUnknownRuns(const JobRun &job) const;
    [[nodiscard]] Duration remainingWork(const JobRun &job) const;
    [[nodiscard]] double expectedWork(const JobRun &job) const;
    /** Classifies the jobs that were added, in the order of their acceptance. */
    void classifyJobs();
    /** Records the arrival of a job that has been classified. */
    void recordArrival(JobRun &job);
    /** Chooses the jobs that are deferred in each pool. */
    void planOverload(TimePoint now);
    /** What planOverload() knows of a pool. */
    struct PoolPlan;
    /** Adds the work of a job, and the job itself if it may be deferred. */
    void addToPlan(PoolPlan &plan, JobRun &job, TimePoint now) const;

    SchedulerSettings m_settings;
    int m_runOffset;
    std::optional<TimePoint> m_firstDecisionAt; ///< Time of the first decide() call.
    bool m_replaced = false;
    DecisionWork m_work;
    TeamUsage m_teams; ///< Declared before the runs that it counts.
    TeamRates m_teamRates;
    std::vector<std::string> m_unclassifiedJobs;
    bool m_plansOverload = false;
    TimePoint m_overloadPlannedAt{};
    std::map<std::string, int, std::less<>> m_deferredJobs; ///< By pool.
    std::map<std::string, double, std::less<>> m_obtainableCores; ///< By pool.
    /** Arrivals of a queue, for the work of a mean job. */
    struct QueueArrivals
    {
        double jobs = 0; ///< Older ones are decayed.
        double work = 0; ///< Core-seconds of these jobs.
    };
    StringMap<QueueArrivals> m_queueArrivals;
    std::function<std::optional<SubmittedJob>(std::string_view id)> m_findEndedJob;
    std::vector<std::string> m_inheritedTeamJobs; ///< Inherited jobs with a team.
    std::map<std::pair<std::string, TeamAccount *>, UnlocatedNeed> m_unlocatedNeeds; ///< By pool.
    StringMap<UnreachedCapacity> m_unreachedCapacities; ///< By pool.
    StringMap<std::unique_ptr<JobRun>> m_jobs;
    std::map<std::string, JobRun *> m_open; ///< Jobs that have not ended, by id.
    std::map<std::string, WaitingQueue, std::less<>> m_queues; ///< Waiting steps by pool.
    std::vector<JobRun *> m_outdatedJobs; ///< Jobs with JobRun::queueOutdated.
    TimePoint m_queuesRebuiltAt{};
    std::set<std::string, std::less<>> m_changedPools; ///< Pools where starts may be possible now.
    std::string m_lastPool; ///< Pool that was served last.
    int m_startLimit = maxStartsPerDecision;
    int m_startsLeft = maxStartsPerDecision; ///< In the current decision.
    StringMap<WorkerState> m_workers;
    std::map<std::string, std::vector<WorkerState *>, std::less<>> m_pools;
    std::deque<std::string> m_unsavedJobs; ///< Jobs with unsaved changes, oldest first.
    std::deque<std::string> m_unsavedEnds; ///< Those of them that have ended.
    int m_savesInFlight = 0; ///< Calls of takeUpdates() without updatesSaved() so far.
    bool m_saveAnswered = false; ///< Since the last decision.
    bool m_lastSaveFailed = false;
    TimePoint m_saveWaitsSince{}; ///< Last decision at which no save had waited for its answer.
    bool m_saveDelayed = false; ///< The store may not be available.
    std::map<TaskId, int> m_unwantedRuns; ///< Number of TaskRun::unwanted runs by task.
    /** Jobs with trials of earlier owners whose outcome is not known. */
    std::set<std::string> m_inheritedTrials;
    /** Number of WorkerState::unexplainedRuns by task. */
    std::map<TaskId, int> m_unexplainedRuns;
    /** Number of workers by pool that have not answered this owner yet and may have runs. */
    StringMap<int> m_unreachedWorkers;
    bool m_workersChanged = false; ///< m_unreachedWorkers may be out of date.
    bool m_unadoptedRunsReported = false; ///< A worker may have WorkerState::unadoptedRuns.
    std::vector<SchedulerAction> m_actions;
    std::vector<RunAnomaly> m_anomalies;
    std::vector<WorkerRestart> m_restarts;
    std::map<std::string, PoolLoad, std::less<>> m_acceptedLoad; ///< Work and jobs by pool.
    std::map<std::string, WorkerAdmissionSettings, std::less<>> m_admissionQueues;
    std::set<std::string> m_queuesWithoutAdmission;
    /** A worker that a pool lacked because a persistent task found no room to leave another. */
    struct LackingForMoves
    {
        Resources need; ///< What it must be able to hold.
        TimePoint since{}; ///< When it was last missed.
    };

    StringMap<LackingForMoves> m_lackingForMoves; ///< By pool.
    std::set<std::pair<std::string, int>> m_urgentMoves; ///< Job and step.
    AdmissionTable m_admissions;
    RunTimeModel m_runTimes;
};

} // namespace dragonflysill
