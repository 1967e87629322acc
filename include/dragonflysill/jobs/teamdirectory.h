#pragma once

#include "dragonflysill/base/stringhash.h"
#include "dragonflysill/jobs/team.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dragonflysill {

namespace internal {

/**
 * Compares keys in a time that depends on their lengths alone, so that response times do not tell
 * how much of a guessed key is right.
 */
struct SameKey
{
    using is_transparent = void; // NOLINT(readability-identifier-naming)

    bool operator()(std::string_view a, std::string_view b) const;
};

} // namespace internal

/** The keys of all teams. A lookup takes the same time for any number of teams and keys. */
class TeamDirectory
{
public:
    TeamDirectory() = default;

    /** Copies the keys; a key that belongs to several teams finds the first of them. */
    explicit TeamDirectory(const std::vector<Team> &teams);

    /** Returns the name of the team that a key belongs to; nullptr if no team has it. */
    [[nodiscard]] const std::string *team(std::string_view key) const;

    /** Returns the number of keys. */
    [[nodiscard]] std::size_t keys() const { return m_teamOfKey.size(); }

private:
    std::vector<std::string> m_names;
    std::unordered_map<std::string, std::uint32_t, StringHash, internal::SameKey> m_teamOfKey;
};

} // namespace dragonflysill
