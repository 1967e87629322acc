#pragma once

#include <string>
#include <string_view>

namespace dragonflysill {

/**
 * Value of the mark that cancels a job whoever it belongs to. It is written once the job's team is
 * known to be that of the caller, and by nodes that use no teams.
 */
constexpr std::string_view cancelMark = "1";

/**
 * Returns the value of a mark for a job that is not known yet: it cancels the job only if that
 * belongs to the team or to none. Without this, a team could cancel jobs that another team is about
 * to submit. Nodes of earlier versions take the mark for one that cancels any job.
 * @param team team of the caller; empty for none
 */
std::string cancelMarkOfTeam(std::string_view team);

/** Returns whether a mark cancels a job of a team; a job without a team has an empty one. */
bool cancelApplies(std::string_view mark, std::string_view jobTeam);

} // namespace dragonflysill
