#include "dragonflysill/load/arrivals.h"

#include <algorithm>
#include <utility>

namespace dragonflysill {

ArrivalSchedule::ArrivalSchedule(ArrivalPlan plan, std::uint64_t seed)
    : m_plan(std::move(plan))
    , m_random(seed)
{
}

std::optional<Duration> ArrivalSchedule::next()
{
    // Thinning (Lewis, Shedler, 1979): candidates are generated at the highest rate, and each is
    // kept with the ratio of the rate at its time to the highest rate. This also follows a rate
    // that changes between two candidates.
    double highestFactor = 1;
    for (const auto &it : m_plan.phases)
        highestFactor = std::max(highestFactor, it.factor);
    const double candidatesPerSecond = m_plan.ratePerSecond * highestFactor;
    while (m_offset < m_plan.length) {
        const std::chrono::duration<double> gap(m_random.exponential(1 / candidatesPerSecond));
        m_offset += std::chrono::duration_cast<Duration>(gap);
        const bool kept = m_random.unit() * highestFactor < factorAt(m_offset);
        if (!kept || m_offset >= m_plan.length)
            continue;
        if (m_plan.maxRequests != 0 && m_count == m_plan.maxRequests)
            return std::nullopt;
        ++m_count;
        return m_offset;
    }
    return std::nullopt;
}

double ArrivalSchedule::factorAt(Duration offset) const
{
    for (const auto &it : m_plan.phases) {
        if (offset >= it.from && offset < it.until)
            return it.factor;
    }
    return 1;
}

} // namespace dragonflysill
