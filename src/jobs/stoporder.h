#pragma once

#include "dragonflysill/jobs/scheduler.h"

namespace dragonflysill::internal {

/** Returns the order to stop a run, for the incarnation of the worker that is known now. */
inline StopTask stopOrder(const WorkerState &worker, const TaskId &task, int run)
{
    return {worker.description.id, task, run, worker.startedMs};
}

} // namespace dragonflysill::internal
