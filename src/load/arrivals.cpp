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
    // Thinning (Lewis, Shedler, 1979): candidates come at the highest rate and are kept with the
    // probability of the rate at their time, which follows a rate that changes between candidates.
    double highest = 1;
    for (const auto &it : m_plan.phases)
        highest = std::max(highest, it.factor);
    const double candidatesPerSecond = m_plan.ratePerSecond * highest;
    while (m_offset < m_plan.length) {
        const std::chrono::duration<double> gap(m_random.exponential(1 / candidatesPerSecond));
        m_offset += std::chrono::duration_cast<Duration>(gap);
        const bool kept = m_random.unit() * highest < factorAt(m_offset);
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
