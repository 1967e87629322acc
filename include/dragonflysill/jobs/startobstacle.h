#pragma once

#include "dragonflysill/jobs/job.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflysill {

/** Why a worker cannot take a task at present. Logs print the names. */
enum class StartObstacle {
    Unlisted, ///< The store does not list it, or it has not answered this owner.
    Leaving, ///< It is draining or being emptied.
    Paused, ///< It refused a start shortly before.
    Quarantined, ///< It failed the runs of several jobs.
    TooSmall, ///< The task exceeds its capacity, even without other runs.
    MissingLabel, ///< It lacks the label that the step requires.
    StepLimit, ///< It has as many tasks of the step as it may have.
    NoTicket, ///< The queue's policy has not admitted it for the step.
    NoFreeCapacity, ///< The task exceeds what other runs leave free.
    HasRun, ///< It has a run of the task already.
    Probation, ///< It runs a task of another job that may crash it.
    NotAlone, ///< The task may crash it, and tasks of other jobs run on it.
    AwaitsSuccess, ///< The task's last attempt waits for a worker with a recent success.
    TeamCeiling, ///< Its team has as much running as its ceiling allows.
    ExceedsTeamCeiling, ///< The task, or its gang, needs more than the ceiling of its team.
};

constexpr std::size_t startObstacleCount
        = static_cast<std::size_t>(StartObstacle::ExceedsTeamCeiling) + 1;

/** Returns true if an obstacle ends without a change of the worker or its instance. */
constexpr bool passesSoon(StartObstacle obstacle)
{
    return obstacle == StartObstacle::NoFreeCapacity || obstacle == StartObstacle::Probation
           || obstacle == StartObstacle::NotAlone || obstacle == StartObstacle::Paused
           || obstacle == StartObstacle::NoTicket || obstacle == StartObstacle::AwaitsSuccess;
}

/** Returns the name of an obstacle in the log. */
std::string_view obstacleName(StartObstacle obstacle);

/** A task that has waited for long while its job has no run and its pool has free capacity. */
struct WaitingTaskReport
{
    std::string job;
    std::string position; ///< See TaskId::position().
    std::string pool;
    Milliseconds waited{0};
    std::int64_t poolMilliCores = 0; ///< Capacity of the pool's reachable workers.
    std::int64_t reservedMilliCores = 0; ///< What their runs reserve of it.
    bool awaitsInheritedRuns = false; ///< Workers that may run it have not answered this owner.
    bool awaitsUnwantedRun = false; ///< A run that this owner is stopping has not ended.
    int suitableWorkers = 0; ///< Workers without an obstacle.
    int slowWorkers = 0; ///< Those of them that are slow.
    std::string team; ///< Team of the job; empty for none.
    std::optional<StartObstacle> teamObstacle; ///< What keeps the task from any worker.
    std::array<int, startObstacleCount> obstacles{}; ///< Workers by obstacle.
};

} // namespace dragonflysill
