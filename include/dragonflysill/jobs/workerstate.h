#pragma once

#include "dragonflysill/base/time.h"
#include "dragonflysill/jobs/pacing.h"
#include "dragonflysill/jobs/taskrun.h"
#include "dragonflysill/jobs/worker.h"
#include "dragonflysill/jobs/workerhealth.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace dragonflysill {

/**
 * Relates a worker's clock to the local one. The worker's clock may be up to 2 % slow, so a hold
 * ends a little later by the local clock than its length says.
 */
class WorkerTime
{
public:
    /** Notes a clock value in an answer that arrived at @p now. */
    void observe(WorkerClock clock, TimePoint now);

    /** Forgets the clock, because another life of the worker has begun. */
    void forget() { m_known = false; }

    /** Returns true if the clock has been seen. */
    [[nodiscard]] bool known() const { return m_known; }

    /** Returns the worker's clock @p ahead from now. */
    [[nodiscard]] WorkerClock at(TimePoint now, Duration ahead) const;

    /** Returns the latest local time at which the worker's clock reaches @p clock. */
    [[nodiscard]] TimePoint latest(WorkerClock clock) const;

private:
    WorkerClock m_clock = 0;
    TimePoint m_observed{};
    bool m_known = false;
};

/** An end whose acknowledgement waits until the job's progress has been saved. */
struct PendingEnd
{
    std::int64_t number = 0;
    std::string job; ///< Empty if nothing needs to be saved.
    std::uint64_t change = 0; ///< The job's change that the end caused.
};

/** What the owner of a pool knows about one worker. */
struct WorkerState
{
    WorkerDescription description;
    bool listed = false; ///< Its entry stands in the store.
    std::optional<TimePoint> unlistAt; ///< Its entry is gone; when that counts.
    std::int64_t startedMs = 0; ///< Life that the runs belong to; 0 before the first contact.
    WorkerTime time;
    TimePoint lastContact{}; ///< Last answer of any kind.
    TimePoint lastReport{}; ///< Last answer to a hold.
    TimePoint heldUntil{}; ///< Runs may go on until then without another hold.
    bool reachable = false; ///< The last hold was answered.
    bool fenced = false; ///< It has been shown this owner's fencing token.
    bool leaving = false; ///< It is being emptied.
    bool retired = false; ///< Its life is over; its entry may still be listed for a while.
    TimePoint pausedUntil{}; ///< No starts until then, after a refusal.
    std::map<TaskId, TaskRun> runs;
    std::map<TaskId, RunningReport> strays; ///< Reported runs that this owner did not start.
    Resources reserved; ///< By the runs.
    int persistentRuns = 0;
    std::int64_t endsSeen = 0; ///< Highest number of an end that was processed.
    bool endsListed = false; ///< The last report contained ends.
    std::int64_t endsAcknowledged = 0; ///< Ends up to this number may be forgotten.
    std::deque<PendingEnd> pendingEnds;
    WorkerHealth health;
    Pacing pacing; ///< Of its filling tasks.

    /** Returns the run of a task with that number; nothing if there is none, or another one. */
    [[nodiscard]] TaskRun *findRun(const TaskId &task, int number)
    {
        const auto it = runs.find(task);
        return it == runs.end() || it->second.run != number ? nullptr : &it->second;
    }

    /** Returns true if something runs here. */
    [[nodiscard]] bool busy() const { return !runs.empty() || !strays.empty(); }

    /** Returns true if nothing would be lost with this worker, ends that are not saved included. */
    [[nodiscard]] bool empty() const { return !busy() && pendingEnds.empty(); }

    /** Returns the capacity that is not reserved. */
    [[nodiscard]] Resources free() const { return description.capacity - reserved; }

    /** Returns true if new tasks may start here. */
    [[nodiscard]] bool usable(TimePoint now) const
    {
        return listed && reachable && fenced && !description.draining && !leaving
               && now >= pausedUntil && !health.quarantined(now);
    }
};

} // namespace dragonflysill
