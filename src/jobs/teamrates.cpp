#include "dragonflysill/jobs/teamrates.h"

#include <algorithm>

namespace dragonflysill {

namespace internal {

void dropBefore(std::deque<TimePoint> &times, TimePoint first)
{
    while (!times.empty() && times.front() <= first)
        times.pop_front();
}

} // namespace internal

std::string_view rateClassName(RateClass rateClass)
{
    static constexpr std::array<std::string_view, rateClassCount> names{"entitled", "tolerated",
                                                                        "excess"};
    return names.at(static_cast<std::size_t>(rateClass));
}

RateClass TeamRates::next(const TeamAccount *team, TimePoint accepted) const
{
    const auto window = m_windows.find(team);
    if (team == nullptr || window == m_windows.end())
        return RateClass::Entitled;
    const auto count = [first = accepted - m_settings.window](const std::deque<TimePoint> &times) {
        return times.end() - std::ranges::upper_bound(times, first);
    };
    const double allowed = team->weight * toSeconds(m_settings.window);
    if (static_cast<double>(count(window->second.entitled)) < allowed)
        return RateClass::Entitled;
    return count(window->second.tolerated) < m_settings.toleratedExcess ? RateClass::Tolerated
                                                                        : RateClass::Excess;
}

RateClass TeamRates::add(const TeamAccount *team, TimePoint accepted)
{
    if (team == nullptr)
        return RateClass::Entitled;
    auto &window = m_windows[team];
    window.last = std::max(window.last, accepted);
    accepted = window.last;
    internal::dropBefore(window.entitled, accepted - m_settings.window);
    internal::dropBefore(window.tolerated, accepted - m_settings.window);
    const auto result = next(team, accepted);
    if (result == RateClass::Entitled)
        window.entitled.push_back(accepted);
    else if (result == RateClass::Tolerated)
        window.tolerated.push_back(accepted);
    ++m_counts[team].at(static_cast<std::size_t>(result));
    return result;
}

} // namespace dragonflysill
