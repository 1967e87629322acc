#include "scale.h"

#include <algorithm>

namespace dragonflysill {

namespace {

constexpr std::size_t rackSize = 4;
/** Jobs for each worker. They need more cores than the workers have, so that some jobs wait. */
constexpr double jobsPerWorker = 1.2;

} // namespace

Scale::Scale(std::size_t workers, std::uint64_t seed)
    : m_workers(workers)
    , m_pools(std::max<std::size_t>(1, fullPools * workers / fullWorkers))
    , m_random(seed)
{
}

std::string Scale::poolOf(std::size_t worker) const
{
    return "pool-" + std::to_string(worker % m_pools);
}

void Scale::fill(PlacementPlanner &planner)
{
    std::size_t accelerators = fullAccelerators * m_workers / fullWorkers;
    for (std::size_t n = 0; n < m_workers; ++n) {
        const auto own = std::min(accelerators, acceleratorsPerWorker);
        accelerators -= own;
        const auto rack = n / m_pools / rackSize;
        planner.setWorker({"worker-" + std::to_string(n),
                           poolOf(n),
                           "zone-" + std::to_string(rack % 7),
                           "rack-" + std::to_string(rack),
                           {64'000, 262'144, static_cast<std::int64_t>(own)}});
    }
    for (std::size_t n = 0; n < teams; ++n) {
        const auto share = static_cast<double>(m_workers) * 64 / teams * 3;
        planner.setQuota({"team-" + std::to_string(n), 1, share,
                          static_cast<std::int64_t>(share * 4096),
                          static_cast<int>(fullAccelerators)});
    }
    const auto jobs = static_cast<std::size_t>(static_cast<double>(m_workers) * jobsPerWorker);
    for (std::size_t n = 0; n < jobs; ++n)
        planner.setJob(makeJob(m_random.below(3) == 0 ? Priority::Batch : Priority::Normal));
}

Job Scale::makeJob(Priority priority)
{
    Job job;
    job.name = "job-" + std::to_string(m_nextJob++);
    job.team = "team-" + std::to_string(m_random.below(teams));
    if (m_random.below(4) != 0)
        job.pool = poolOf(m_random.below(m_pools));
    job.tasks = static_cast<int>(1 + m_random.below(20));
    job.cores = 1 + static_cast<double>(m_random.below(12));
    job.memoryMb = static_cast<std::int64_t>(job.cores) * 4096;
    job.accelerators = m_random.below(5) == 0 ? static_cast<int>(1 + m_random.below(2)) : 0;
    job.gang = m_random.below(10) == 0;
    job.checkpointable = m_random.below(2) == 0;
    job.priority = priority;
    return job;
}

} // namespace dragonflysill
