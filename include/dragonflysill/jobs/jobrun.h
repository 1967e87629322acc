#pragma once

#include "dragonflysill/jobs/job.h"
#include "dragonflysill/jobs/jobprogress.h"
#include "dragonflysill/jobs/teamrates.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonflysill {

struct TeamAccount;

/** State of a task whose step is ready. */
struct Task
{
    enum class Phase {
        Waiting,
        Active, ///< At least one run is on a worker.
        Done,
    };

    Phase phase = Phase::Waiting;
    int lastRun = 0; ///< Number of the latest run.
    std::string checkpoint; ///< Checkpoint from which the next run resumes; empty for none.
    std::vector<std::string> workers; ///< Workers with a run of the task.
    /** Workers on which a run of the task failed or stalled, or that left its start unanswered. */
    std::set<std::string> failedOn;
    TimePoint failedAt{}; ///< Time of the task's last failed run.
    TimePoint waitingSince{};
    std::uint64_t trialChange = 0; ///< JobRun::changes() after its last trial was recorded.
};

/** State of a step in one occurrence. */
struct StepRun
{
    std::vector<Task> tasks;
    int waiting = 0; ///< Tasks in phase Waiting.
    int done = 0;
    bool ready = false; ///< The steps it depends on have completed.
    bool mayHaveStarted = false; ///< An earlier owner may have started its tasks.
    Duration shortestRunTime{0}; ///< Observed or projected, over its tasks; 0 for none.
    std::string shortestRunWorker; ///< Worker of that run.
};

/** State of an occurrence that is due. */
struct OccurrenceRun
{
    std::vector<StepRun> steps;
    int stepsDone = 0;
};

/**
 * The tasks of an accepted job and its progress. Each change of the progress increments changes(),
 * which tells the owner what to save. The end of a run may be acknowledged to its worker once the
 * change that it caused has been saved.
 */
class JobRun
{
public:
    /**
     * @param job the accepted job
     * @param progress the saved progress; empty for a new job
     * @param runOffset added to the run numbers, which must exceed those of previous owners
     */
    JobRun(SubmittedJob job, JobProgress progress, int runOffset);

    [[nodiscard]] const SubmittedJob &job() const { return m_job; }
    [[nodiscard]] const JobProgress &progress() const { return m_progress; }
    [[nodiscard]] bool hasEnded() const { return isFinal(m_progress.state); }
    [[nodiscard]] std::map<int, OccurrenceRun> &occurrences() { return m_occurrences; }
    [[nodiscard]] const std::map<int, OccurrenceRun> &occurrences() const { return m_occurrences; }

    /** Maximum number of occurrences from the first incomplete one that are open. */
    static constexpr int maxOpenOccurrences = 1000;
    /** Maximum number of tasks of the open occurrences, if there are several. */
    static constexpr std::int64_t maxOpenTasks = 50000;

    /** Returns how many occurrences of a job, from its first incomplete one, may be open. */
    [[nodiscard]] static int occurrenceWindow(const JobSpec &spec);

    /**
     * Creates the tasks of the occurrences that are due, in order. Those beyond occurrenceWindow()
     * are opened by complete() when earlier ones have completed.
     * @param unixMs current time in Unix milliseconds
     * @return true if there are new tasks
     */
    bool openDueOccurrences(std::int64_t unixMs, TimePoint now);

    /** Returns the due time of the next occurrence in Unix milliseconds; 0 if none is left. */
    [[nodiscard]] std::int64_t nextDueMs() const;

    [[nodiscard]] const JobStep &step(const TaskId &id) const
    {
        return m_job.spec.steps[static_cast<std::size_t>(id.step)];
    }

    /** Returns true if the id identifies a task of the job, whether or not its step is ready. */
    [[nodiscard]] bool hasTask(const TaskId &id) const;

    /** Returns the task; nullptr if its step is not ready or the id is out of range. */
    [[nodiscard]] Task *task(const TaskId &id);
    [[nodiscard]] const Task *task(const TaskId &id) const;

    /**
     * Compares a run time with those of the step's other tasks, which are of the same size.
     * @param took the run time, or its projection from the run's progress
     * @return the ratio to the step's shortest run time; nothing if that was on the same worker
     */
    std::optional<double> compareRunTime(const TaskId &id, const std::string &worker,
                                         Duration took);

    /** Records that a worker has a run of the task. */
    void activate(const TaskId &id, const std::string &worker);

    /** Records that a run is over; an unfinished task without other runs waits again. */
    void deactivate(const TaskId &id, const std::string &worker, TimePoint now);

    /** Returns true if all tasks of a step have completed. */
    [[nodiscard]] bool stepDone(int occurrence, int step) const
    {
        return occurrence < m_progress.occurrencesDone
               || m_progress.stepsDone.contains({occurrence, step});
    }

    /**
     * Records a completed task; a completed member of a gang completes its whole step. The step
     * need not be ready: after a takeover, a worker may report the end of a task before other
     * workers report the ends of the steps that it depends on.
     * @return true if the task had not been recorded as completed
     */
    bool complete(const TaskId &id, TimePoint now);

    /**
     * Records a failed run; has no effect if the run was recorded before.
     * @return true if the job has failed with this run
     */
    bool fail(const TaskId &id, int run);

    /** Number of workers that may crash under a task before its job is given up. */
    static constexpr int maxCrashes = 3;
    /** The same if tasks of other jobs may have caused the last crash. */
    static constexpr int maxSharedCrashes = 4;
    /** The same for a persistent task, whose job serves for long and has many starts. */
    static constexpr int maxPersistentCrashes = 5;
    /** The same if one of the runs may not have reached its worker. */
    static constexpr int maxUnconfirmedCrashes = 4;
    /** The same if all but one of the runs may not have reached their workers. */
    static constexpr int maxDoubtfulCrashes = 5;
    /** Number of confirmed crashes without which maxDoubtfulCrashes applies. */
    static constexpr int minConfirmedCrashes = 2;

    /** What is known of a run whose worker crashed. */
    struct CrashEvidence
    {
        bool confirmed = false; ///< The worker had confirmed or reported the run.
        bool shared = false; ///< Tasks of other jobs may have crashed the worker, too.
    };

    /**
     * Records that the worker of a run crashed; has no effect if that was recorded before.
     * @return true if the job has failed with this crash
     */
    bool recordCrash(const TaskId &id, int run, CrashEvidence evidence);

    /**
     * Records that a task under which a worker has crashed, or may have under an earlier owner, is
     * about to be started as a run. A run that has not been started may be recorded again with
     * another target.
     */
    void beginTrial(const TaskId &id, int run, const StartTarget &target);

    /** Records that the worker of a trial has confirmed its run; has no effect on other runs. */
    void confirmTrial(const TaskId &id, int run);

    /** Records that the outcome of a run is known if it was a trial; not after the job's end. */
    void endTrial(const TaskId &id, int run);

    /** Returns true if the crashes of a task and its last trial have been saved. */
    [[nodiscard]] bool trialSaved(const Task &task) const
    {
        return crashesSaved() && m_saved >= task.trialChange;
    }

    /** Returns the target of a trial whose outcome is not known; nullptr if there is none. */
    [[nodiscard]] const StartTarget *trialTarget(const TaskId &id, int run) const;

    /** Returns how many runs of a task, or of its gang, have failed. */
    [[nodiscard]] int failures(const TaskId &id) const;

    /** Returns true if an earlier owner may have started a task. */
    [[nodiscard]] bool mayHaveStarted(const TaskId &id) const;

    /** Returns true if all recorded crashes have been saved for a successor. */
    [[nodiscard]] bool crashesSaved() const { return m_saved >= m_lastCrash; }

    /** Returns how many workers may crash under a task at least before its job is given up. */
    [[nodiscard]] int crashLimit(const TaskId &id) const;

    /** Returns how many workers have crashed under a task. */
    [[nodiscard]] int crashes(const TaskId &id) const;

    /** Records that a worker has confirmed or reported a run of a task. */
    void markStarted();

    /** Cancels the job; has no effect on a job that has ended. */
    void cancel();

    /** Returns the number of changes of the progress. */
    [[nodiscard]] std::uint64_t changes() const { return m_changes; }
    /** Returns the number of changes that have been saved. */
    [[nodiscard]] std::uint64_t saved() const { return m_saved; }
    /** Records that the progress up to change @p n has been saved. */
    void markSaved(std::uint64_t n) { m_saved = std::max(m_saved, n); }

    /** Returns the number of waiting tasks in steps that are ready. */
    [[nodiscard]] int waitingTasks() const { return m_waitingTasks; }

    /**
     * Returns true if the job ends when the tasks that are active now have completed, or has ended.
     */
    [[nodiscard]] bool mayEndSoon() const;

    /** Returns true if a worker has confirmed or reported a run of a task. */
    [[nodiscard]] bool started() const { return m_progress.state != JobStatus::Queued; }

    /** Accepted before this owner took over, so runs may exist that it does not know of yet. */
    bool inherited = false;
    /** A worker has refused a start for want of a valid ticket. */
    bool ticketsRequired = false;
    /** Its entries in the queue of waiting steps may be out of date. */
    bool queueOutdated = false;
    /** The job is queued for saving its progress. */
    bool saveQueued = false;
    /** It is also queued as a job that has ended. */
    bool endQueued = false;
    /** A write of its progress has not been answered. */
    bool saveInFlight = false;
    /** Local time by which the job should complete to meet its latency objective. */
    TimePoint objective{};
    /** Latest start of the job's remaining work with which it meets its objective. */
    TimePoint latestStart = TimePoint::max();
    /** Time of acceptance on the local clock, computed from the job's age when it was added. */
    TimePoint accepted{};
    /** Account of its team; nullptr if it has none. */
    TeamAccount *team = nullptr;
    /** How it stands to the rate of its team. */
    RateClass rateClass = RateClass::Entitled;
    /** What callers lose if it is late, see jobValue(). */
    double value = 1;
    /** Not all jobs of its pool can be in time, and it is not among those that are meant to be. */
    bool deferred = false;
    /** It has been reported that one of its steps exceeds the ceiling of its team. */
    bool ceilingReported = false;

private:
    /** @param first the job has been opened by no decision of this owner before */
    void open(int occurrence, bool first, TimePoint now);
    void makeReady(int occurrence, int step, TimePoint now);
    void finishStep(int occurrence, int step, TimePoint now);
    [[nodiscard]] bool dependenciesDone(int occurrence, int step) const;
    [[nodiscard]] bool occurrenceDone(int occurrence) const;
    /** Updates the first incomplete occurrence and drops what is known of those before it. */
    void completeOccurrences();
    void dropCompletedOccurrences();
    void compactProgress();

    SubmittedJob m_job;
    JobProgress m_progress;
    int m_runOffset;
    std::map<int, OccurrenceRun> m_occurrences;
    int m_nextOccurrence = 0;
    int m_firstIncomplete = 0;
    int m_window; ///< See occurrenceWindow().
    std::int64_t m_openedAtMs = 0; ///< Time of the last openDueOccurrences(), in Unix milliseconds.
    int m_waitingTasks = 0;
    std::uint64_t m_changes = 0;
    std::uint64_t m_saved = 0;
    std::uint64_t m_lastCrash = 0; ///< Number of the change that recorded the last crash.
};

} // namespace dragonflysill
