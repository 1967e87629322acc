#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace dragonflysill {

enum class MaintenanceAction { Reboot };
enum class MaintenanceState { Running, Paused, Cancelled };

/** An operator's order to maintain every instance of the given pools once. */
struct Maintenance
{
    std::string name;
    std::int64_t ticket = 0; ///< Number of the ticket that last changed the order.
    std::vector<std::string> pools;
    MaintenanceAction action = MaintenanceAction::Reboot;
    MaintenanceState state = MaintenanceState::Running;
    int maxParallel = 1; ///< Maximum of instances in maintenance at once, over all its pools.

    bool operator==(const Maintenance &) const = default;
};

} // namespace dragonflysill
