#pragma once

#include "dragonflysill/base/random.h"
#include "dragonflysill/contracts/job.h"
#include "dragonflysill/machines/worker.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dragonflysill {

/** A job's declaration and its actual properties. */
struct SimulatedJob
{
    Job declared;
    Resources needs; ///< Actual usage of one task.
    std::int64_t runMs = 0; ///< Actual run time of one task with all its cores.
    std::int64_t submitMs = 0;
    bool possible = true; ///< False if the job exceeds the capacity of every worker.
};

/** The input of one simulation; both policies get the same. */
struct Workload
{
    std::vector<Worker> workers;
    std::vector<bool> bad; ///< By worker; true if every task on it fails.
    std::vector<SimulatedJob> jobs;
    std::vector<std::size_t>
            cancelled; ///< Indexes of jobs with 30 % of all tasks, cancelled together.
    std::int64_t cancelMs = 0;
};

/**
 * Returns a random workload. Declared sizes and run times are too large or too small by a factor of
 * up to 10, 5 % of the jobs can never run, and 4 % of the workers fail every task.
 */
Workload makeWorkload(std::uint64_t seed);

} // namespace dragonflysill
