#include "dragonflysill/telemetry/adminserver.h"

#include "dragonflysill/telemetry/settings.h"

#include <prometheus/text_serializer.h>

namespace dragonflysill {

AdminServer::AdminServer(std::shared_ptr<prometheus::Registry> registry, const Timeline &timeline)
    : m_registry(std::move(registry))
    , m_timeline(timeline)
{
    addRoutes();
}

AdminServer::~AdminServer()
{
    stop();
}

void AdminServer::addRoutes()
{
    m_server.set_tcp_nodelay(true);
    m_server.Get("/metrics", [this](const httplib::Request &, httplib::Response &response) {
        const prometheus::TextSerializer serializer;
        response.set_content(serializer.Serialize(m_registry->Collect()), "text/plain");
    });
    m_server.Get("/healthz", [](const httplib::Request &, httplib::Response &response) {
        response.set_content("ok\n", "text/plain");
    });
    m_server.Get("/readyz", [this](const httplib::Request &, httplib::Response &response) {
        const bool ready = m_ready;
        response.status = ready ? 200 : 503;
        response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
    });
    m_server.Get("/timeline", [this](const httplib::Request &, httplib::Response &response) {
        response.set_content(eventsToJson(m_timeline.events()), "application/json");
    });
}

Result<int> AdminServer::start(const std::string &address)
{
    const auto endpoint = Endpoint::parse(address);
    if (!endpoint)
        return Error(ErrorKind::SettingsInvalid, "'" + address + "' is not IP:PORT");
    int port = endpoint->port;
    if (port == 0)
        port = m_server.bind_to_any_port(endpoint->host);
    else if (!m_server.bind_to_port(endpoint->host, port))
        port = -1;
    if (port < 0)
        return Error(ErrorKind::Unreachable, "cannot listen on " + address);
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
    return port;
}

void AdminServer::stop()
{
    if (!m_thread.joinable())
        return;
    while (!m_server.is_running())
        std::this_thread::yield();
    m_server.stop();
    m_thread.join();
}

} // namespace dragonflysill
