#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace dragonflysill {

/** Returns a 64-bit FNV-1a hash with a final bit mix; the result is the same on every platform. */
std::uint64_t stableHash(std::string_view text);

/**
 * Selects a member for a key by rendezvous hashing (Thaler, Ravishankar, 1996). When a member is
 * added or removed, only the keys of that member move.
 * @param key the key to assign
 * @param members the candidates, in any order
 * @return the index of the selected member, or -1 if there are no members
 */
int rendezvousIndex(std::string_view key, std::span<const std::string> members);

} // namespace dragonflysill
