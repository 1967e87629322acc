#pragma once

#include "dragonflysill/contracts/configuration.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/** The pools whose ownership key a control process should create or delete. */
struct OwnershipChange
{
    std::vector<std::string> take;
    std::vector<std::string> release;

    bool operator==(const OwnershipChange &) const = default;
};

/**
 * Determines which pools a control process should take or release. The intended owner of a pool is
 * the member with the highest rendezvous hash; the actual owner is in the pool's ownership key. The
 * intended owner takes a pool only if it has no owner, that is after the previous owner released it
 * or its lease expired.
 * @param self the name of this member
 * @param members the live members, in any order
 * @param pools the names of all pools
 * @param owners the current owners by pool; pools without an owner are absent
 */
OwnershipChange decideOwnership(std::string_view self, std::span<const std::string> members,
                                std::span<const std::string> pools,
                                const ByName<std::string> &owners);

} // namespace dragonflysill
