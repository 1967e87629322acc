#include "proxiedconnection.h"

#include "address.h"

#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace dragonflysill::internal {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

ProxiedConnection::ProxiedConnection(EventLoop &loop, Tcp::socket client,
                                     std::shared_ptr<const LinkState> state)
    : m_loop(loop)
    , m_client(std::move(client))
    , m_server(loop.context())
    , m_state(std::move(state))
{
}

void ProxiedConnection::open(const std::string &server)
{
    const auto endpoint = parseAddress(server);
    if (!endpoint) {
        close();
        return;
    }
    m_endpoint = *endpoint;
    if (isCutToServer() || m_silent)
        read(m_toServer);
    else
        connect([self = shared_from_this()] { self->read(self->m_toServer); });
}

void ProxiedConnection::connect(std::function<void()> connected)
{
    boost::system::error_code ignored;
    m_server.close(ignored);
    const auto number = ++m_serverNumber;
    m_server.async_connect(m_endpoint,
                           [self = shared_from_this(), number,
                            connected = std::move(connected)](const boost::system::error_code &ec) {
                               if (self->m_serverNumber != number)
                                   return;
                               if (ec) {
                                   self->close();
                                   return;
                               }
                               boost::system::error_code ignored;
                               self->m_server.set_option(Tcp::no_delay(true), ignored);
                               self->read(self->m_toClient);
                               connected();
                           });
}

void ProxiedConnection::read(Stream &stream)
{
    stream.from.async_read_some(
            asio::buffer(stream.buffer),
            [self = shared_from_this(), &stream,
             number = m_serverNumber](const boost::system::error_code &ec, std::size_t n) {
                const bool fromServer = stream.direction == Direction::ToClient;
                // A held request goes to whichever process serves the address by then.
                if (fromServer && (self->m_serverNumber != number || (ec && self->m_heldRequest)))
                    return;
                if (ec == asio::error::eof && !fromServer)
                    self->endRequests();
                else if (ec)
                    self->close();
                else if (self->m_silent)
                    self->read(stream);
                else
                    self->forward(stream, n);
            });
}

void ProxiedConnection::endRequests()
{
    m_loop.after(transferTime(Direction::ToServer, 0), [self = shared_from_this()] {
        boost::system::error_code ec;
        self->m_server.shutdown(Tcp::socket::shutdown_send, ec);
        if (ec)
            self->close();
    });
}

void ProxiedConnection::forward(Stream &stream, std::size_t n)
{
    const bool toServer = stream.direction == Direction::ToServer;
    if (toServer)
        m_heldRequest = !m_requestBegun && isCutToServer();
    m_requestBegun = toServer;
    const auto time = transferTime(stream.direction, n);
    if (time <= Duration{0}) {
        write(stream, n);
        return;
    }
    m_loop.after(time, [self = shared_from_this(), &stream, n] {
        if (self->clientWasReset())
            self->close();
        else
            self->write(stream, n);
    });
}

void ProxiedConnection::write(Stream &stream, std::size_t n)
{
    if (m_closed)
        return;
    if (m_silent) {
        read(stream);
        return;
    }
    const bool toServer = stream.direction == Direction::ToServer;
    if (toServer && (std::exchange(m_heldRequest, false) || !m_server.is_open())) {
        connect([self = shared_from_this(), &stream, n] { self->write(stream, n); });
        return;
    }
    asio::async_write(
            stream.to, asio::buffer(stream.buffer, n),
            [self = shared_from_this(), &stream](const boost::system::error_code &ec, std::size_t) {
                if (ec)
                    self->close();
                else
                    self->read(stream);
            });
}

bool ProxiedConnection::isCutToServer() const
{
    return EventLoop::now() < m_state->cutToServerUntil;
}

bool ProxiedConnection::clientWasReset()
{
    int error = 0;
    socklen_t size = sizeof(error);
    return getsockopt(m_client.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) != 0
           || error != 0;
}

Duration ProxiedConnection::transferTime(Direction direction, std::size_t n) const
{
    const auto now = EventLoop::now();
    const auto cutUntil = direction == Direction::ToServer ? m_state->cutToServerUntil
                                                           : m_state->cutToClientUntil;
    auto time = std::max(Duration{0}, cutUntil - now);
    if (now < m_state->delayedUntil)
        time += m_state->delay;
    if (now < m_state->limitedUntil)
        time += scaled(std::chrono::seconds(1), static_cast<double>(n) / m_state->bytesPerSecond);
    return time;
}

void ProxiedConnection::reset()
{
    m_closed = true;
    boost::system::error_code ignored;
    for (auto *it : {&m_client, &m_server}) {
        it->set_option(asio::socket_base::linger(true, 0), ignored);
        it->close(ignored);
    }
}

void ProxiedConnection::close()
{
    m_closed = true;
    boost::system::error_code ignored;
    m_client.close(ignored);
    m_server.close(ignored);
}

} // namespace dragonflysill::internal
