#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace dragonflysill {

enum class Priority { Batch, Normal, Urgent };

/** A job of a team: a number of identical tasks with their declared resources. */
struct Job
{
    std::string name;
    std::int64_t ticket = 0; ///< Number of the ticket that last changed the job.
    std::string team;
    std::string pool; ///< Empty for a job that any worker may run.
    int tasks = 1;
    double cores = 1; ///< Declared per task.
    std::int64_t memoryMb = 0; ///< Declared per task.
    int accelerators = 0; ///< Declared per task.
    Priority priority = Priority::Normal;
    bool gang = false; ///< Either all tasks start together or none.
    bool checkpointable = false;
    std::chrono::seconds expectedRun{0}; ///< Zero if unknown.
    bool cancelled = false;

    bool operator==(const Job &) const = default;
};

} // namespace dragonflysill
