#pragma once

#include "dragonflysill/base/resources.h"

#include <string>
#include <vector>

namespace dragonflysill {

/** A team whose callers share the fleet with those of other teams. */
struct Team
{
    std::string name;
    std::vector<std::string> keys; ///< Keys that its callers present; never logged.
    int priority = 0; ///< Lower values are served first.
    /** Share of the fleet when demand exceeds it, and jobs a second that the team is owed. */
    double weight = 1;
    /** Maximum that its tasks may have running on all workers; 0 for no limit. */
    Resources ceiling;
};

} // namespace dragonflysill
