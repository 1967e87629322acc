#pragma once

#include "dragonflysill/machines/jobentry.h"
#include "dragonflysill/machines/placementaction.h"
#include "dragonflysill/machines/workertable.h"

#include <memory>
#include <span>
#include <vector>

namespace dragonflysill {

/** A task that has to make room and how. */
struct Victim
{
    TaskReference task;
    PlacementAction::Kind kind = PlacementAction::Kind::Stop;
};

/** The victims on one worker. */
struct VictimSelection
{
    std::vector<Victim> victims;
    bool sufficient = false; ///< The victims free what was missing.
    int cost = 0; ///< Lower is better: checkpoints 1, throttles 10, stops 100 each.
};

/** Returns what a task occupies; a throttled one keeps a quarter of its cores. */
Resources occupiedBy(const JobEntry &entry, const TaskSlot &slot);

/**
 * Selects tasks of a worker that make room. Checkpointable tasks come first, then, if only cores
 * are missing, tasks are throttled, and at last tasks are stopped; in each step batch tasks before
 * normal ones and young tasks before old ones. Urgent tasks are never selected.
 * @param jobs the planner's jobs by id
 * @param missing what must become free; components that are not positive are satisfied
 */
VictimSelection selectVictims(const WorkerTable::Entry &worker,
                              std::span<const std::unique_ptr<JobEntry>> jobs,
                              const Resources &missing);

} // namespace dragonflysill
