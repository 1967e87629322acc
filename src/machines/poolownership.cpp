#include "dragonflysill/machines/poolownership.h"

#include "dragonflysill/base/hash.h"

namespace dragonflysill {

OwnershipChange decideOwnership(std::string_view self, std::span<const std::string> members,
                                std::span<const std::string> pools,
                                const ByName<std::string> &owners)
{
    OwnershipChange change;
    for (const auto &it : pools) {
        const int index = rendezvousIndex(it, members);
        const bool intended = index >= 0 && members[static_cast<std::size_t>(index)] == self;
        const auto owner = owners.find(it);
        if (intended && owner == owners.end())
            change.take.push_back(it);
        if (!intended && index >= 0 && owner != owners.end() && owner->second == self)
            change.release.push_back(it);
    }
    return change;
}

} // namespace dragonflysill
