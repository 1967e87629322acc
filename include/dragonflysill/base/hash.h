#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace dragonflysill {

/** Returns a 64-bit FNV-1a hash with a final mix; the same on every machine. */
std::uint64_t stableHash(std::string_view text);

/**
 * Chooses a member for a key by rendezvous hashing (Thaler, Ravishankar, 1996), so that a change
 * of the members moves only the keys of the changed member.
 * @param key the key to place
 * @param members the candidates, in any order
 * @return the index of the chosen member, or -1 if there is none
 */
int rendezvousIndex(std::string_view key, std::span<const std::string> members);

} // namespace dragonflysill
