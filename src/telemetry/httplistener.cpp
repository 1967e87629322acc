#include "dragonflysill/telemetry/httplistener.h"

#include "dragonflysill/telemetry/settings.h"

#include <sys/socket.h>

namespace dragonflysill {

Result<int> bindExclusively(httplib::Server &server, const std::string &address)
{
    const auto endpoint = Endpoint::parse(address);
    if (!endpoint)
        return Error(ErrorKind::SettingsInvalid, "'" + address + "' is not IP:PORT");
    server.set_socket_options([](socket_t socket) {
        const int on = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    });
    if (endpoint->port == 0)
        return server.bind_to_any_port(endpoint->host);
    if (!server.bind_to_port(endpoint->host, endpoint->port))
        return Error(ErrorKind::Unreachable, "cannot listen on " + address);
    return endpoint->port;
}

HttpListener::HttpListener(httplib::Server &server)
    : m_server(server)
{
}

HttpListener::~HttpListener()
{
    stop();
}

Result<int> HttpListener::start(const std::string &address)
{
    auto port = bindExclusively(m_server, address);
    if (port)
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
    return port;
}

void HttpListener::stop()
{
    if (!m_thread.joinable())
        return;
    while (!m_server.is_running())
        std::this_thread::yield();
    m_server.stop();
    m_thread.join();
}

} // namespace dragonflysill
