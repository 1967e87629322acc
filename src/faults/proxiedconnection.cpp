#include "proxiedconnection.h"

#include "address.h"

#include <boost/asio/write.hpp>

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
    m_server.async_connect(*endpoint,
                           [self = shared_from_this()](const boost::system::error_code &ec) {
                               if (ec) {
                                   self->close();
                                   return;
                               }
                               boost::system::error_code ignored;
                               self->m_server.set_option(Tcp::no_delay(true), ignored);
                               self->read(self->m_toServer);
                               self->read(self->m_toClient);
                           });
}

void ProxiedConnection::read(Stream &stream)
{
    stream.from.async_read_some(asio::buffer(stream.buffer),
                                [self = shared_from_this(),
                                 &stream](const boost::system::error_code &ec, std::size_t n) {
                                    if (ec)
                                        self->close();
                                    else if (self->m_silent)
                                        self->read(stream);
                                    else
                                        self->forward(stream, n);
                                });
}

void ProxiedConnection::forward(Stream &stream, std::size_t n)
{
    const auto time = transferTime(stream.direction, n);
    if (time <= Duration{0}) {
        write(stream, n);
        return;
    }
    m_loop.after(time, [self = shared_from_this(), &stream, n] {
        if (self->m_silent)
            self->read(stream);
        else
            self->write(stream, n);
    });
}

void ProxiedConnection::write(Stream &stream, std::size_t n)
{
    asio::async_write(
            stream.to, asio::buffer(stream.buffer, n),
            [self = shared_from_this(), &stream](const boost::system::error_code &ec, std::size_t) {
                if (ec)
                    self->close();
                else
                    self->read(stream);
            });
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
    boost::system::error_code ignored;
    for (auto *it : {&m_client, &m_server}) {
        it->set_option(asio::socket_base::linger(true, 0), ignored);
        it->close(ignored);
    }
}

void ProxiedConnection::close()
{
    boost::system::error_code ignored;
    m_client.close(ignored);
    m_server.close(ignored);
}

} // namespace dragonflysill::internal
