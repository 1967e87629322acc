#include "dragonflysill/links/routetable.h"

#include <algorithm>

namespace dragonflysill {

RouteTable::RouteTable(ViewPointer view)
    : m_view(std::move(view))
{
    for (const auto &it : m_view->configuration.services) {
        for (const Route &route : it.second.routes)
            m_routes.push_back({&it.second, &route});
    }
    std::stable_sort(m_routes.begin(), m_routes.end(), [](const auto &a, const auto &b) {
        return a.route->pathPrefix.size() > b.route->pathPrefix.size();
    });
}

RouteMatch RouteTable::find(std::string_view path) const
{
    for (const RouteMatch &it : m_routes) {
        if (path.starts_with(it.route->pathPrefix))
            return it;
    }
    return {};
}

} // namespace dragonflysill
