#pragma once

#include "dragonflysill/base/result.h"

#include <string>

namespace dragonflysill {

/**
 * The platform's requests that the fleet decisions need. Errors: Unreachable if the request
 * certainly was not executed; any other error means that it may have been.
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
