#pragma once

#include "dragonflysill/base/result.h"

#include <string>

namespace dragonflysill {

/**
 * Interface to the platform's instance requests. A request fails with Unreachable if it was
 * certainly not executed; after any other error it may have been executed.
 */
class FleetPlatform
{
public:
    virtual ~FleetPlatform() = default;

    /** Asks the platform to drain an instance; it stays leaving until it is rebooted. */
    virtual Result<Done> drain(const std::string &instance) = 0;

    /** Asks the platform to reboot an instance. */
    virtual Result<Done> reboot(const std::string &instance) = 0;
};

} // namespace dragonflysill
