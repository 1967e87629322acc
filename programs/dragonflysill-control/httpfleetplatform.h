#pragma once

#include "dragonflysill/machines/fleetinputs.h"
#include "dragonflysill/machines/fleetplatform.h"

#include <string>

namespace dragonflysill {

/** Calls the platform's instance interface over HTTP. Used by one thread; every call blocks. */
class HttpFleetPlatform final : public FleetPlatform
{
public:
    /**
     * @param address IP:PORT of the platform; if it is empty, drain() and reboot() fail and
     *        instances() returns an empty list
     */
    explicit HttpFleetPlatform(std::string address);

    Result<Done> drain(const std::string &instance) override;
    Result<Done> reboot(const std::string &instance) override;

    /**
     * Returns the state of each instance by name. The platform's list lags behind the actual state.
     */
    [[nodiscard]] Result<ByName<PlatformState>> instances() const;

private:
    Result<Done> post(const std::string &path) const;

    std::string m_address;
};

} // namespace dragonflysill
