#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace dragonflysill {

/** One reason for the refusal of a ticket. */
struct Problem
{
    std::string pointer; ///< JSON pointer to the place in the ticket; empty for the whole ticket.
    std::string message; ///< What is wrong there.
    std::string remedy; ///< How the author can correct it.

    bool operator==(const Problem &) const = default;
};

using Problems = std::vector<Problem>;

void to_json(nlohmann::json &json, const Problem &value);
void from_json(const nlohmann::json &json, Problem &value);

} // namespace dragonflysill
