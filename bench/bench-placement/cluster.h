#pragma once

#include "dragonflysill/base/random.h"
#include "dragonflysill/contracts/job.h"
#include "dragonflysill/machines/worker.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dragonflysill {

/** A job as its team declares it, with what is really true of it. */
struct TrueJob
{
    Job declared;
    Resources needs; ///< What one task really uses.
    std::int64_t runMs = 0; ///< What one task really needs with all its cores.
    std::int64_t submitMs = 0;
    bool possible = true; ///< False if no worker can ever run it.
};

/** The input of one run; both policies get the same. */
struct Workload
{
    std::vector<Worker> workers;
    std::vector<bool> bad; ///< By worker: every task on it fails.
    std::vector<TrueJob> jobs;
    std::vector<std::size_t> cancelled; ///< Jobs with 30 % of all tasks, cancelled at once.
    std::int64_t cancelMs = 0;
};

/**
 * Returns a seeded workload: declared sizes and run times are wrong by a factor of up to 10 either
 * way, 5 % of the jobs can never run, 4 % of the workers fail every task.
 */
Workload makeWorkload(std::uint64_t seed);

} // namespace dragonflysill
