#pragma once

#include <cstdint>
#include <string>

namespace dragonflysill {

/** The maximum resources that a team may use at the same time. */
struct Quota
{
    std::string team;
    std::int64_t ticket = 0; ///< Number of the ticket that last changed the quota.
    double cores = 0;
    std::int64_t memoryMb = 0;
    int accelerators = 0;

    bool operator==(const Quota &) const = default;
};

} // namespace dragonflysill
