#pragma once

#include "dragonflysill/base/time.h"
#include "dragonflysill/jobs/job.h"
#include "dragonflysill/jobs/worker.h"

#include <optional>
#include <string>

namespace dragonflysill {

/** What is known about one run of a task on one worker. */
struct TaskRun
{
    enum class Phase {
        Starting, ///< The start was sent and not answered yet.
        Unconfirmed, ///< The start got no answer and may still take effect.
        Running, ///< The worker confirmed or listed it.
        Stopping, ///< A stop was decided; the capacity is free when the end is listed.
    };

    TaskId task;
    int run = 0;
    Phase phase = Phase::Starting;
    Resources reserved;
    TimePoint startedAt{}; ///< When the start was sent.
    TimePoint settledAt{}; ///< When the last start or stop was answered or given up.
    TimePoint progressAt{}; ///< When a report first listed it or its percentage last changed.
    TimePoint stopSentAt{};
    bool stopAnswered = false;
    bool persistent = false; ///< Its step's tasks run until the job is cancelled.
    bool inherited = false; ///< Started by an earlier owner at an unknown time.
    bool leftover = false; ///< Inherited and not wanted; its task must not start before it ends.
    bool moved = false; ///< Stopped by an order of this system while it was at work.
    int percent = 0;
    int pace = 100; ///< Share of its speed that it may use, in percent.
    TimePoint pacedAt{}; ///< When the pace was last ordered.
    bool paceConfirmed = true; ///< The worker has taken over the pace.
    std::string checkpoint;
    std::optional<double> usage; ///< See RunningReport.
};

} // namespace dragonflysill
