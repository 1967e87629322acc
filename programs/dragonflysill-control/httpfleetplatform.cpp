#include "httpfleetplatform.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace dragonflysill {

namespace internal {

constexpr std::chrono::milliseconds platformTimeout{1000};

httplib::Client makeClient(const std::string &address)
{
    httplib::Client client("http://" + address);
    client.set_connection_timeout(platformTimeout);
    client.set_read_timeout(platformTimeout);
    client.set_tcp_nodelay(true);
    return client;
}

Error requestError(httplib::Error error, const std::string &path)
{
    const bool notSent
            = error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
    return {notSent ? ErrorKind::Unreachable : ErrorKind::OutcomeUnknown,
            "no response from the platform to " + path};
}

PlatformState parsePlatformState(const std::string &text)
{
    if (text == "terminated")
        return PlatformState::Terminated;
    if (text == "leaving")
        return PlatformState::Leaving;
    return PlatformState::Live;
}

} // namespace internal

HttpFleetPlatform::HttpFleetPlatform(std::string address)
    : m_address(std::move(address))
{
}

Result<Done> HttpFleetPlatform::drain(const std::string &instance)
{
    return post("/platform/instances/" + instance + "/drain");
}

Result<Done> HttpFleetPlatform::reboot(const std::string &instance)
{
    return post("/platform/instances/" + instance + "/reboot");
}

Result<Done> HttpFleetPlatform::post(const std::string &path) const
{
    if (m_address.empty())
        return Error(ErrorKind::Unreachable, "no platform address is set");
    auto client = internal::makeClient(m_address);
    const auto response = client.Post(path);
    if (!response)
        return internal::requestError(response.error(), path);
    if (response->status != 200)
        return Error(ErrorKind::NotFound,
                     path + " returned status " + std::to_string(response->status));
    return Done();
}

Result<ByName<PlatformState>> HttpFleetPlatform::instances() const
{
    if (m_address.empty())
        return ByName<PlatformState>();
    const std::string path = "/platform/instances";
    auto client = internal::makeClient(m_address);
    const auto response = client.Get(path);
    if (!response)
        return internal::requestError(response.error(), path);
    const auto json = nlohmann::json::parse(response->body, nullptr, false);
    if (!json.is_object() || !json.contains("instances"))
        return Error(ErrorKind::Corrupt, "the response to " + path + " has no instance list");
    ByName<PlatformState> states;
    try {
        for (const auto &it : json["instances"])
            states[it.at("name").get<std::string>()] = internal::parsePlatformState(it.at("state"));
    } catch (const nlohmann::json::exception &e) {
        return Error(ErrorKind::Corrupt, e.what());
    }
    return states;
}

} // namespace dragonflysill
