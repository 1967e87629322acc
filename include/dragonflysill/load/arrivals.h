#pragma once

#include "dragonflysill/base/random.h"
#include "dragonflysill/base/time.h"

#include <optional>
#include <vector>

namespace dragonflysill {

/** A time span in which the arrival rate is a multiple of the base rate. */
struct RatePhase
{
    Duration from{};
    Duration until{};
    double factor = 1;
};

/** The parameters of an ArrivalSchedule. */
struct ArrivalPlan
{
    double ratePerSecond = 100; ///< Base rate.
    Duration length = std::chrono::seconds(10);
    std::size_t maxRequests = 0; ///< 0 for no limit.
    std::vector<RatePhase> phases; ///< Outside of all phases the factor is 1.
};

/**
 * Generates the arrival times of an open-loop load: a Poisson process whose rate follows the plan.
 * The times do not depend on when responses arrive, so a slow system cannot lower its own load.
 */
class ArrivalSchedule
{
public:
    ArrivalSchedule(ArrivalPlan plan, std::uint64_t seed);

    /** Returns the next arrival as an offset from the start, or nullopt at the end of the plan. */
    std::optional<Duration> next();

private:
    [[nodiscard]] double factorAt(Duration offset) const;

    ArrivalPlan m_plan;
    Random m_random;
    Duration m_offset{};
    std::size_t m_count = 0;
};

} // namespace dragonflysill
