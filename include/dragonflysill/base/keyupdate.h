#pragma once

#include <cstdint>
#include <string>

namespace dragonflysill {

/** A changed key of the store, as a watch reports it and as control processes forward it. */
struct KeyUpdate
{
    std::string key;
    std::string value; ///< Empty if the key was deleted.
    std::int64_t revision = 0; ///< The store's revision of this change.
    bool deleted = false;

    bool operator==(const KeyUpdate &) const = default;
};

} // namespace dragonflysill
