#include "dragonflysill/faults/faultproxy.h"

#include "proxiedconnection.h"
#include "tcplistener.h"

#include <utility>

namespace dragonflysill {

FaultProxy::FaultProxy(EventLoop &loop, std::string address, std::string server)
    : m_loop(loop)
    , m_address(std::move(address))
    , m_server(std::move(server))
{
}

FaultProxy::~FaultProxy()
{
    if (m_listener)
        m_listener->close();
    reset();
}

Result<Done> FaultProxy::listen()
{
    using boost::asio::ip::tcp;
    m_listener = std::make_shared<internal::TcpListener>(m_loop, [this](tcp::socket socket) {
        removeClosed();
        auto connection
                = std::make_shared<internal::ProxiedConnection>(m_loop, std::move(socket), m_state);
        if (EventLoop::now() < m_state->lossUntil)
            connection->silence();
        connection->open(m_server);
        m_connections.push_back(connection);
    });
    return m_listener->open(m_address);
}

void FaultProxy::delay(Duration length, Duration delay)
{
    m_state->delay = delay;
    m_state->delayedUntil = EventLoop::now() + length;
}

void FaultProxy::cut(Duration length, Direction direction)
{
    auto &until = direction == Direction::ToServer ? m_state->cutToServerUntil
                                                   : m_state->cutToClientUntil;
    until = EventLoop::now() + length;
}

void FaultProxy::limit(Duration length, double bytesPerSecond)
{
    m_state->bytesPerSecond = bytesPerSecond;
    m_state->limitedUntil = EventLoop::now() + length;
}

void FaultProxy::reset()
{
    for (const auto &it : std::exchange(m_connections, {})) {
        if (const auto connection = it.lock())
            connection->reset();
    }
}

void FaultProxy::silence()
{
    for (const auto &it : m_connections) {
        if (const auto connection = it.lock())
            connection->silence();
    }
}

void FaultProxy::lose(Duration length)
{
    m_state->lossUntil = EventLoop::now() + length;
    silence();
}

std::size_t FaultProxy::connections()
{
    removeClosed();
    return m_connections.size();
}

void FaultProxy::removeClosed()
{
    std::erase_if(m_connections, [](const auto &it) { return it.expired(); });
}

} // namespace dragonflysill
