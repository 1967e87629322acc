#pragma once

#include <string>
#include <string_view>

namespace dragonflysill {

/** Keys in the store under which the nodes keep their durable state. */
namespace nodekeys {

constexpr std::string_view root = "dragonflysill/";
constexpr std::string_view jobs = "dragonflysill/jobs/"; ///< Accepted jobs by id.
constexpr std::string_view progress = "dragonflysill/progress/"; ///< JobProgress by job id.
constexpr std::string_view cancelled = "dragonflysill/cancelled/"; ///< Cancel requests by job id.
constexpr std::string_view owner
        = "dragonflysill/owner"; ///< Name of the owner; deleted with its lease.
constexpr std::string_view generation = "dragonflysill/generation"; ///< Number of owners so far.
constexpr std::string_view workers
        = "dragonflysill/workers/"; ///< Workers that may have runs, by pool.
constexpr std::string_view nodes
        = "dragonflysill/nodes/"; ///< RegisteredNode by name; with the node's lease.
constexpr std::string_view waves = "dragonflysill/waves/"; ///< Maintained instances by wave.

/** Returns the key of @p name below @p prefix. */
inline std::string key(std::string_view prefix, std::string_view name)
{
    return std::string(prefix) + std::string(name);
}

/** Returns the part of a key after the prefix; empty if the key does not have the prefix. */
inline std::string_view nameIn(std::string_view prefix, std::string_view key)
{
    return key.starts_with(prefix) ? key.substr(prefix.size()) : std::string_view();
}

} // namespace nodekeys

} // namespace dragonflysill
