#pragma once

#include "dragonflysill/zones/view.h"

#include <string_view>
#include <vector>

namespace dragonflysill {

/** A route and its service; valid as long as the RouteTable. */
struct RouteMatch
{
    const Service *service = nullptr;
    const Route *route = nullptr;

    explicit operator bool() const { return route != nullptr; }
};

/** Finds the route of a path in one view; keeps the view alive. */
class RouteTable
{
public:
    explicit RouteTable(ViewPointer view);

    /** Returns the route with the longest path prefix that matches; an empty match if none does. */
    [[nodiscard]] RouteMatch find(std::string_view path) const;

    [[nodiscard]] const View &view() const { return *m_view; }

private:
    ViewPointer m_view;
    std::vector<RouteMatch> m_routes; ///< Longest prefix first.
};

} // namespace dragonflysill
