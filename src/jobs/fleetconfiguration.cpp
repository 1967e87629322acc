#include "dragonflysill/jobs/fleetconfiguration.h"

#include <algorithm>
#include <cctype>

namespace dragonflysill {

namespace internal {

/** Compares a Host header, without its port and ignoring case, with a lower-case host name. */
bool hostMatches(std::string_view configured, std::string_view host)
{
    return std::ranges::equal(configured, host.substr(0, host.find(':')), [](char a, char b) {
        return a == static_cast<char>(std::tolower(static_cast<unsigned char>(b)));
    });
}

template <typename T>
const T *findByName(const std::vector<T> &items, std::string_view name)
{
    const auto it = std::ranges::find(items, name, &T::name);
    return it == items.end() ? nullptr : &*it;
}

} // namespace internal

const Queue *FleetConfiguration::match(std::string_view host, std::string_view path) const
{
    const Queue *best = nullptr;
    for (const auto &it : queues) {
        if (path.starts_with(it.prefix) && internal::hostMatches(it.host, host)
            && (best == nullptr || it.prefix.size() > best->prefix.size()))
            best = &it;
    }
    return best;
}

const Queue *FleetConfiguration::queue(std::string_view name) const
{
    return internal::findByName(queues, name);
}

const Team *FleetConfiguration::team(std::string_view name) const
{
    return internal::findByName(teams, name);
}

const PoolSettings *FleetConfiguration::pool(std::string_view name) const
{
    return internal::findByName(pools, name);
}

} // namespace dragonflysill
