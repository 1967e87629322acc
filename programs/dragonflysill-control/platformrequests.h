#pragma once

#include "dragonflysill/machines/fleetinputs.h"
#include "dragonflysill/machines/fleetplatform.h"

#include <string>

namespace dragonflysill {

/** The platform's instance interface over HTTP. Used by one thread; every call blocks. */
class PlatformRequests final : public FleetPlatform
{
public:
    /** @param address IP:PORT of the platform; empty if there is none */
    explicit PlatformRequests(std::string address);

    Result<Done> drain(const std::string &instance) override;
    Result<Done> reboot(const std::string &instance) override;

    /** Returns the platform's instance list, which lags behind the actual state. */
    [[nodiscard]] Result<ByName<PlatformState>> instances() const;

private:
    Result<Done> post(const std::string &path) const;

    std::string m_address;
};

} // namespace dragonflysill
