#pragma once

#include "dragonflysill/base/time.h"
#include "dragonflysill/jobs/job.h"
#include "dragonflysill/jobs/teamusage.h"
#include "dragonflysill/jobs/worker.h"

#include <optional>
#include <string>

namespace dragonflysill {

/** State of a run of a task on a worker, as known to the owner. */
struct TaskRun
{
    enum class Phase {
        Starting, ///< The start order was sent and has not been answered.
        Unconfirmed, ///< The start order got no answer and may still take effect.
        Running, ///< The worker confirmed or reported the run.
        Stopping, ///< A stop was ordered; the capacity stays reserved until the end is reported.
    };

    TaskId task;
    int run = 0;
    Phase phase = Phase::Starting;
    Resources reserved;
    TeamCharge charge;
    TimePoint startedAt{}; ///< When the start order was sent.
    TimePoint orderSettledAt{}; ///< When the last start or stop order was answered or timed out.
    /** Until then a copy of the start order may still reach a worker under the same id. */
    TimePoint copiesUntil{};
    /** Until then an incarnation that has not answered may run a copy that has reached it. */
    TimePoint copyHeldUntil{};
    /** The incarnation that had it has ended; only a copy of its start may still be carried out. */
    bool incarnationEnded = false;
    TimePoint progressAt{}; ///< When a report first listed the run or its percentage last changed.
    TimePoint stopSentAt{}; ///< When the last stop order was sent.
    bool confirmed = false; ///< The worker has confirmed or reported the run.
    bool trial = false; ///< See JobProgress::trials.
    bool stopAnswered = false;
    bool persistent = false; ///< Its step's tasks run until the job is cancelled.
    bool resumed = false; ///< Started from a checkpoint.
    bool inherited = false; ///< Started by an earlier owner at an unknown time.
    bool unwanted = false; ///< Inherited and being stopped; its task must not start before it ends.
    bool moved = false; ///< Stopped by the owner while the persistent task was serving.
    int percent = 0; ///< See RunningReport.
    int pace = 100; ///< Share of its full speed that the run may use, in percent.
    TimePoint pacedAt{}; ///< When the pace was last ordered.
    bool paceConfirmed = true; ///< The worker has confirmed the pace.
    std::string checkpoint; ///< Latest checkpoint; empty for none.
    std::optional<double> usage; ///< See RunningReport.
};

} // namespace dragonflysill
