#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace dragonflysill {

/** The declaration of an instance in a ticket. */
struct InstanceDeclaration
{
    std::string name;
    std::string address; ///< IP and port of its backend server, for example "10.0.0.1:8080".
    std::string zone; ///< Availability zone.
    std::string rack;

    bool operator==(const InstanceDeclaration &) const = default;
};

/** A pool of instances with its availability budget. */
struct Pool
{
    std::string name;
    std::int64_t ticket = 0; ///< Number of the ticket that last changed the pool.
    bool spare = false; ///< True if its instances are the shared buffer of all pools.
    int maxUnavailable = 0; ///< Instances that may be unavailable at once, planned plus failed.
    std::vector<InstanceDeclaration> instances;

    bool operator==(const Pool &) const = default;
};

} // namespace dragonflysill
