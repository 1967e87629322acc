#pragma once

#include <string>
#include <string_view>

namespace dragonflysill {

/** The keys under which the nodes keep what must outlive them. */
namespace nodekeys {

constexpr std::string_view root = "dragonflysill/";
constexpr std::string_view jobs = "dragonflysill/jobs/"; ///< Accepted jobs by id.
constexpr std::string_view progress = "dragonflysill/progress/"; ///< JobProgress by job id.
constexpr std::string_view cancelled = "dragonflysill/cancelled/"; ///< Cancelled jobs by id.
constexpr std::string_view owner = "dragonflysill/owner"; ///< The scheduling node, with its lease.
constexpr std::string_view generation = "dragonflysill/generation"; ///< Number of owners so far.
constexpr std::string_view workers = "dragonflysill/workers/"; ///< Workers that may hold runs.
constexpr std::string_view waves = "dragonflysill/waves/"; ///< Progress of maintenance waves.

/** Returns the key of @p name below @p prefix. */
inline std::string key(std::string_view prefix, std::string_view name)
{
    return std::string(prefix) + std::string(name);
}

/** Returns what follows the prefix in a key, or nothing if the key has another prefix. */
inline std::string_view nameIn(std::string_view prefix, std::string_view key)
{
    return key.starts_with(prefix) ? key.substr(prefix.size()) : std::string_view();
}

} // namespace nodekeys

} // namespace dragonflysill
