#pragma once

#include "dragonflysill/base/random.h"
#include "dragonflysill/machines/placementplanner.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace dragonflysill {

/** Generates the workers, teams and jobs of the design scale or of a part of it. */
class Scale
{
public:
    static constexpr std::size_t fullWorkers = 8100;
    static constexpr std::size_t fullAccelerators = 13'000;
    static constexpr std::size_t fullPools = 259;
    static constexpr std::size_t teams = 140;
    static constexpr std::size_t acceleratorsPerWorker = 8;

    /** @param workers number of workers; pools, accelerators and jobs are proportional to it */
    Scale(std::size_t workers, std::uint64_t seed);

    /** Adds workers, quotas and jobs to an empty planner. */
    void fill(PlacementPlanner &planner);

    /** Returns a new job of random size. */
    Job makeJob(Priority priority);

    [[nodiscard]] std::size_t workers() const { return m_workers; }
    Random &random() { return m_random; }

private:
    std::string poolOf(std::size_t worker) const;

    std::size_t m_workers;
    std::size_t m_pools;
    Random m_random;
    std::size_t m_nextJob = 0;
};

} // namespace dragonflysill
