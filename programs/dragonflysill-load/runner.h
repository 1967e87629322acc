#pragma once

#include "caller.h"
#include "dragonflysill/load/arrivals.h"
#include "dragonflysill/load/requestmix.h"

#include <cstdint>
#include <vector>

namespace dragonflysill {

/** The settings of a load run. */
struct RunSettings
{
    ArrivalPlan plan;
    CallerSettings caller;
    std::size_t connections = 64; ///< Threads, each with one connection to each target.
    /** Sends the next request as soon as a response arrives, for the length of the plan. */
    bool closedLoop = false;
    /** Share of requests with an idempotency key that are repeated at once through another target.
     */
    double repeatShare = 0;
    std::uint64_t seed = 1;
};

/** The result of a load run. */
struct RunResult
{
    std::vector<Attempt> attempts;
    Duration length{};
    std::size_t lateStarts = 0; ///< Requests sent over 50 ms after their scheduled arrival.
};

/** Sends the load to the targets and returns all attempts. */
RunResult runLoad(const RunSettings &settings, const RequestMix &mix, Targets &targets);

} // namespace dragonflysill
