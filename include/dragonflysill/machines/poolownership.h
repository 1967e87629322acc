#pragma once

#include "dragonflysill/contracts/configuration.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/** The ownership keys that a control process should create or delete. */
struct OwnershipChange
{
    std::vector<std::string> take;
    std::vector<std::string> release;

    bool operator==(const OwnershipChange &) const = default;
};

/**
 * Decides which pools a control process runs: the member with the highest rendezvous hash is the
 * intended owner; the key in the store is the actual one. An intended owner takes only a pool that
 * nobody holds, so the previous owner releases it first or its lease expires.
 * @param self the deciding member
 * @param members the live members, in any order
 * @param pools the names of all pools
 * @param owners the current owner of each held pool
 */
OwnershipChange decideOwnership(std::string_view self, std::span<const std::string> members,
                                std::span<const std::string> pools,
                                const ByName<std::string> &owners);

} // namespace dragonflysill
