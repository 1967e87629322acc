#pragma once

#include "dragonflysill/jobs/job.h"
#include "dragonflysill/jobs/jobprogress.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonflysill {

/** A task that has not completed. */
struct Task
{
    enum class Phase {
        Waiting,
        Active, ///< At least one run is on a worker.
        Done,
    };

    Phase phase = Phase::Waiting;
    int lastRun = 0; ///< Number of the newest run.
    std::string checkpoint; ///< To resume from; empty for none.
    std::vector<std::string> workers; ///< Workers that hold a run of it.
    std::set<std::string> failedOn; ///< Workers on which a run of it failed.
    TimePoint failedAt{}; ///< When a run of it last failed.
    TimePoint waitingSince{};
};

/** The tasks of a step in one occurrence. */
struct StepRun
{
    std::vector<Task> tasks;
    int waiting = 0; ///< Tasks in phase Waiting.
    int done = 0;
    bool ready = false; ///< The steps it depends on have completed.
    Duration fastest{0}; ///< Shortest run time of its tasks, as seen or projected; 0 for none.
    std::string fastestOn; ///< The worker of that run.
};

/** One occurrence of a job that is due. */
struct OccurrenceRun
{
    std::vector<StepRun> steps;
    int stepsDone = 0;
};

/**
 * The tasks of an accepted job and their durable progress. Changes raise changes(), so that the
 * owner knows what to save; an end may be acknowledged once the change it caused has been saved.
 */
class JobRun
{
public:
    /**
     * @param job the accepted job
     * @param progress what was saved of it, empty for a new one
     * @param runOffset added to the run numbers, which must rise over all processes that ran tasks
     */
    JobRun(SubmittedJob job, JobProgress progress, int runOffset);

    [[nodiscard]] const SubmittedJob &job() const { return m_job; }
    [[nodiscard]] const JobProgress &progress() const { return m_progress; }
    [[nodiscard]] bool hasEnded() const { return isFinal(m_progress.state); }
    [[nodiscard]] std::map<int, OccurrenceRun> &occurrences() { return m_occurrences; }
    [[nodiscard]] const std::map<int, OccurrenceRun> &occurrences() const { return m_occurrences; }

    /**
     * Opens the occurrences that are due.
     * @param unixMs the time of day
     * @return true if there are new tasks
     */
    bool openDue(std::int64_t unixMs, TimePoint now);

    /** Returns when the next occurrence is due in Unix milliseconds; 0 if none is left. */
    [[nodiscard]] std::int64_t nextDueMs() const;

    [[nodiscard]] const JobStep &step(const TaskId &id) const
    {
        return m_job.spec.steps[static_cast<std::size_t>(id.step)];
    }

    /** Returns true if the id names a task of the job. */
    [[nodiscard]] bool valid(const TaskId &id) const;

    /** Returns the task, or nothing if its step is not ready or the id is out of range. */
    [[nodiscard]] Task *task(const TaskId &id);

    /**
     * Compares a run's time with those of the step's other tasks, which are of the same size.
     * @param took its run time, or the one that its progress points to
     * @return the ratio to the fastest on another worker; nothing if there is none
     */
    std::optional<double> comparePace(const TaskId &id, const std::string &worker, Duration took);

    /** Marks a task as active on a worker. */
    void activate(const TaskId &id, const std::string &worker);

    /** Notes that a run is over; without other runs an unfinished task waits again. */
    void deactivate(const TaskId &id, const std::string &worker, TimePoint now);

    /**
     * Records a completed task; a member of a gang completes its whole step. The step need not be
     * ready: after a take-over its end may be known before those of the steps it depends on.
     * @return true if the end was new
     */
    bool complete(const TaskId &id, TimePoint now);

    /**
     * Records a failed run; one that was recorded before changes nothing.
     * @return true if the job has now failed
     */
    bool fail(const TaskId &id, int run);

    /** Records that a task was started. */
    void noteStarted();

    /** Ends the job before its tasks have; a job that has ended keeps its state. */
    void cancel();

    /** Number of changes to the durable progress. */
    [[nodiscard]] std::uint64_t changes() const { return m_changes; }
    /** Number of changes that have been saved. */
    [[nodiscard]] std::uint64_t saved() const { return m_saved; }
    /** Notes that the progress as of change @p n has been saved. */
    void noteSaved(std::uint64_t n) { m_saved = std::max(m_saved, n); }

    /** Returns how many tasks wait in steps that are ready. */
    [[nodiscard]] int waitingTasks() const { return m_waitingTasks; }

    /** Returns true if a task has been started. */
    [[nodiscard]] bool started() const { return m_progress.state != JobStatus::Queued; }

    /** Accepted before this process took over, so that runs it does not know of may exist. */
    bool inherited = false;
    /** It waits to be saved. */
    bool dirty = false;
    /** Local time by which the job should be done to meet its objective. */
    TimePoint objective{};
    /** Local time when this process learnt of the job, less its age then. */
    TimePoint accepted{};

private:
    void open(int occurrence, TimePoint now);
    void makeReady(int occurrence, int step, TimePoint now);
    void finishStep(int occurrence, int step, TimePoint now);
    [[nodiscard]] bool dependenciesDone(int occurrence, int step) const;

    SubmittedJob m_job;
    JobProgress m_progress;
    int m_runOffset;
    std::map<int, OccurrenceRun> m_occurrences;
    int m_nextOccurrence = 0;
    int m_waitingTasks = 0;
    std::uint64_t m_changes = 0;
    std::uint64_t m_saved = 0;
};

} // namespace dragonflysill
