#include "dragonflysill/telemetry/adminserver.h"

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
    return m_listener.start(address);
}

void AdminServer::stop()
{
    m_listener.stop();
}

} // namespace dragonflysill
