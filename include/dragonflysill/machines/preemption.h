#pragma once

#include "dragonflysill/machines/jobentry.h"
#include "dragonflysill/machines/placementaction.h"
#include "dragonflysill/machines/workertable.h"

#include <memory>
#include <span>
#include <vector>

namespace dragonflysill {

/** A task to be preempted and the action that frees its resources. */
struct Victim
{
    TaskReference task;
    PlacementAction::Kind kind = PlacementAction::Kind::Stop;
};

/** The tasks to be preempted on one worker. */
struct VictimSelection
{
    std::vector<Victim> victims;
    bool sufficient = false; ///< The victims free all missing resources.
    int cost = 0; ///< Lower is better: checkpoints 1, throttles 10, stops 100 each.
};

/** Returns the resources that a task occupies; a throttled task keeps a quarter of its cores. */
Resources occupiedBy(const JobEntry &entry, const TaskSlot &slot);

/**
 * Selects the tasks of a worker to preempt. Checkpointable tasks are selected first. If only cores
 * are still missing, tasks are throttled; if that is not enough, tasks are stopped. Each step
 * selects batch tasks before normal ones and newer tasks before older ones. Urgent tasks are never
 * selected.
 * @param jobs the planner's jobs by id
 * @param missing the resources to free; components that are not positive need nothing
 */
VictimSelection selectVictims(const WorkerTable::Entry &worker,
                              std::span<const std::unique_ptr<JobEntry>> jobs,
                              const Resources &missing);

} // namespace dragonflysill
