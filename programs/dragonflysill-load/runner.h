#pragma once

#include "caller.h"
#include "dragonflysill/load/arrivals.h"
#include "dragonflysill/load/requestmix.h"

#include <cstdint>
#include <vector>

namespace dragonflysill {

/** What a run sends. */
struct RunSettings
{
    ArrivalPlan plan;
    CallerSettings caller;
    std::size_t connections = 64; ///< Threads, each with one connection to each target.
    bool closedLoop = false; ///< Send as fast as responses come, for the plan's length.
    double repeatShare = 0; ///< Share of keyed requests repeated at once through another target.
    std::uint64_t seed = 1;
};

/** The attempts of a run. */
struct RunResult
{
    std::vector<Attempt> attempts;
    Duration length{};
    std::size_t lateStarts = 0; ///< Requests sent over 50 ms after their scheduled arrival.
};

/** Runs the load and returns every attempt. */
RunResult runLoad(const RunSettings &settings, const RequestMix &mix, Targets &targets);

} // namespace dragonflysill
