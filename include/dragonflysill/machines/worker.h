#pragma once

#include "dragonflysill/base/resources.h"

#include <string>

namespace dragonflysill {

/** A worker as described by the platform. */
struct Worker
{
    std::string name;
    std::string pool;
    std::string zone; ///< Availability zone.
    std::string rack;
    Resources capacity;

    bool operator==(const Worker &) const = default;
};

} // namespace dragonflysill
