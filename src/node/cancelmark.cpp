#include "dragonflysill/node/cancelmark.h"

namespace dragonflysill {

namespace internal {

/** Start of a mark that names a team. */
constexpr std::string_view teamPrefix = "1:";

} // namespace internal

std::string cancelMarkOfTeam(std::string_view team)
{
    return std::string(internal::teamPrefix) + std::string(team);
}

bool cancelApplies(std::string_view mark, std::string_view jobTeam)
{
    return jobTeam.empty() || !mark.starts_with(internal::teamPrefix)
           || mark.substr(internal::teamPrefix.size()) == jobTeam;
}

} // namespace dragonflysill
