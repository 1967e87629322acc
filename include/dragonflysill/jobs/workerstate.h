#pragma once

#include "dragonflysill/base/time.h"
#include "dragonflysill/jobs/pacing.h"
#include "dragonflysill/jobs/taskrun.h"
#include "dragonflysill/jobs/worker.h"
#include "dragonflysill/jobs/workerhealth.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dragonflysill {

/** A run that may have crashed its worker. */
struct SuspectedRun
{
    TaskId task;
    int run = 0;
    std::int64_t startedMs = 0; ///< Incarnation of the worker that it was started on.
    bool confirmed = false; ///< The worker had confirmed or reported the run.
};

/** A run that was released while copies of its start may still arrive. */
struct ReleasedRun
{
    TaskId task;
    int run = 0;
    TimePoint copiesUntil{}; ///< See TaskRun.
    std::int64_t startedMs = 0; ///< Incarnation in which it was released.
    TeamAccount *team = nullptr; ///< Account of its team; nullptr if it has none.
    Resources need;
    /** Set while a copy may start it, since the incarnation that refuses it may have ended. */
    TeamCharge charge;
};

/** A reported run that the owner has neither started nor adopted. */
struct UnadoptedRun : RunningReport
{
    TeamCharge charge;
};

/** A reported run of a task of which the owner knows another run on the same worker. */
struct OtherRun
{
    TimePoint stopSentAt{};
    TeamCharge charge;
};

/**
 * Converts between a worker's clock and the local clock. The worker's clock may be up to 2 % slow,
 * so a hold may last longer on the local clock than its nominal length.
 */
class WorkerClockEstimate
{
public:
    /** Records the clock value of an answer that arrived at @p now. */
    void observe(WorkerClock clock, TimePoint now);

    /** Returns true if a clock value has been recorded. */
    [[nodiscard]] bool known() const { return m_known; }

    /** Returns the estimate of the worker's clock at @p now plus @p ahead. */
    [[nodiscard]] WorkerClock clockAt(TimePoint now, Duration ahead) const;

    /** Returns the latest local time at which the worker's clock reaches @p clock. */
    [[nodiscard]] TimePoint latestTimeOf(WorkerClock clock) const;

    /**
     * Returns true if the same incarnation may have shown this value in an answer that arrived at
     * @p now. Each incarnation's clock starts anew, at any value.
     */
    [[nodiscard]] bool mayShow(WorkerClock clock, TimePoint now) const;

private:
    WorkerClock m_clock = 0;
    TimePoint m_observed{};
    bool m_known = false;
};

/** The last hold that was sent on the clock of an incarnation that has ended. */
struct EarlierHold
{
    WorkerClock until = 0; ///< Its end on that clock; the next incarnation takes it for its own.
    TimePoint arrivesUntil{}; ///< Until when it may be carried out.
};

/** End of a run that is acknowledged after the job's progress has been saved. */
struct PendingEnd
{
    std::int64_t number = 0;
    std::string job; ///< Empty if there is nothing to save.
    std::uint64_t change = 0; ///< JobRun::changes() after the end was processed.
};

/** State of a worker, as known to the owner of its pool. */
struct WorkerState
{
    WorkerDescription description;
    bool listed = false; ///< The store contains its entry, or did until a moment ago.
    std::optional<TimePoint> unlistAt; ///< Its entry was removed; `listed` ends at this time.
    /** Start time of the incarnation that the runs belong to; 0 before the first report. */
    std::int64_t startedMs = 0;
    WorkerClockEstimate time;
    TimePoint lastContact{}; ///< Time of the last answer of any kind.
    TimePoint lastReport{}; ///< Time of the last report that listed the runs.
    TimePoint heldUntil{}; ///< Local time until which runs may continue without another hold.
    WorkerClock holdSent = 0; ///< End of the last hold that was sent; 0 before the first one.
    TimePoint holdSentAt{}; ///< When it was sent.
    std::vector<EarlierHold> earlierHolds; ///< Those that may have reached a later incarnation.
    /** Until then an order of an earlier owner may be carried out, by any incarnation. */
    TimePoint earlierOrdersUntil{};
    /** Incarnation that an earlier owner has recorded; 0 for a worker that it did not use. */
    std::int64_t recordedStartMs = 0;
    bool restarted = false; ///< An earlier incarnation had the same id.
    bool reachable = false; ///< The last hold request was answered.
    bool fenced = false; ///< Its incarnation has received this owner's fencing token.
    bool leaving = false; ///< It gets no new tasks, and its persistent tasks are moved away.
    std::optional<TimePoint> leavingSince; ///< Since when it has been leaving or draining.
    /** Time by which a wave must have maintained its instance, if it still has to. */
    std::optional<TimePoint> maintenanceDeadline;
    bool ended = false; ///< It is down; retired when no copy of an order can arrive any more.
    bool retired = false; ///< It has ended permanently; its entry may still be in the store.
    TimePoint runsCheckedAt{}; ///< Time of the last check of its runs.
    TimePoint silentSince{}; ///< Since when it has not answered; see reachable.
    /**
     * Runs that were given up when their hold ended. They count as crashes once a later incarnation
     * answers or the worker is retired, and as none once the incarnation that had them answers.
     */
    std::vector<SuspectedRun> unexplainedRuns;
    /** Until this time it takes only tasks of probationJob, of which one may crash it. */
    TimePoint probationUntil{};
    std::string probationJob;
    TimePoint pausedUntil{}; ///< No starts before this time, after it refused one.
    std::map<TaskId, TaskRun> runs;
    /** Reported runs that this owner has neither started nor adopted. */
    std::map<TaskId, UnadoptedRun> unadoptedRuns;
    /** Reported runs of tasks of which `runs` has another run. */
    std::map<std::pair<TaskId, int>, OtherRun> otherRuns;
    std::vector<ReleasedRun> releasedRuns; ///< The next incarnation is told not to start them.
    Resources reserved; ///< Sum over the runs.
    int persistentRuns = 0;
    std::int64_t lastProcessedEnd = 0; ///< Number of the last end that was processed.
    bool lastReportListedEnds = false; ///< The last report contained ends and was recent.
    std::int64_t lastSavedEnd = 0; ///< Ends up to this number are saved and may be acknowledged.
    std::deque<PendingEnd> pendingEnds;
    WorkerHealth health;
    Pacing pacing; ///< Speed of its best-effort tasks.

    /** Returns the run with this task and number; nullptr if there is none. */
    [[nodiscard]] TaskRun *findRun(const TaskId &task, int number)
    {
        const auto it = runs.find(task);
        return it == runs.end() || it->second.run != number ? nullptr : &it->second;
    }

    /** Returns the start time of the latest incarnation known in Unix milliseconds; 0 for none. */
    [[nodiscard]] std::int64_t latestStart() const
    {
        return std::max(startedMs, description.startedMs);
    }

    /** Returns true if an entry describes a later incarnation than the latest one known. */
    [[nodiscard]] bool isLaterIncarnation(const WorkerDescription &entry) const
    {
        return entry.startedMs > latestStart();
    }

    /** Returns true if the worker has runs. */
    [[nodiscard]] bool busy() const { return !runs.empty() || !unadoptedRuns.empty(); }

    /** Returns true if the worker is down and no order can bring a run to its next incarnation. */
    [[nodiscard]] bool mayBeRetired(TimePoint now) const
    {
        return ended && runs.empty() && now >= heldUntil;
    }

    /** Returns true if the worker has no runs and no ends that have not been saved. */
    [[nodiscard]] bool empty() const { return !busy() && pendingEnds.empty(); }

    /** Returns the capacity that is not reserved by runs. */
    [[nodiscard]] Resources free() const { return description.capacity - reserved; }

    /** Returns true if new tasks could be started on the worker, apart from quarantine. */
    [[nodiscard]] bool available(TimePoint now) const
    {
        return listed && reachable && fenced && !description.draining && !leaving
               && now >= pausedUntil;
    }

    /** Returns true if new tasks may be started on the worker. */
    [[nodiscard]] bool usable(TimePoint now) const
    {
        return available(now) && !health.quarantined(now);
    }
};

} // namespace dragonflysill
