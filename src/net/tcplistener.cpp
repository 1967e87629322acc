#include "tcplistener.h"

#include "address.h"

#include <chrono>
#include <utility>

namespace dragonflysill::internal {

using Tcp = boost::asio::ip::tcp;

/** Maximum number of connections that wait to be accepted while the process is busy. */
constexpr int listenBacklog = 1024;
/** Wait for other connections to close when no file descriptors are left. */
constexpr std::chrono::milliseconds acceptRetryDelay{50};

TcpListener::TcpListener(EventLoop &loop, Accepted accepted)
    : m_loop(loop)
    , m_acceptor(loop.context())
    , m_accepted(std::move(accepted))
{
}

Result<Done> TcpListener::open(const std::string &address, bool limitBuffers)
{
    const auto endpoint = parseAddress(address);
    if (!endpoint)
        return Error(ErrorKind::SettingsInvalid, "not an IP:PORT address: " + address);
    boost::system::error_code ec;
    m_acceptor.open(endpoint->protocol(), ec);
    if (!ec)
        m_acceptor.set_option(Tcp::acceptor::reuse_address(true), ec);
    // Accepted connections inherit the sizes.
    if (!ec && limitBuffers)
        m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(socketBufferBytes), ec);
    if (!ec && limitBuffers)
        m_acceptor.set_option(boost::asio::socket_base::send_buffer_size(socketBufferBytes), ec);
    if (!ec)
        m_acceptor.bind(*endpoint, ec);
    if (!ec)
        m_acceptor.listen(listenBacklog, ec);
    if (ec)
        return Error(ErrorKind::SettingsInvalid, address + ": " + ec.message());
    accept();
    return Done();
}

void TcpListener::close()
{
    m_closed = true;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

void TcpListener::accept()
{
    m_acceptor.async_accept(
            [self = shared_from_this()](const boost::system::error_code &ec, Tcp::socket socket) {
                if (self->m_closed)
                    return;
                if (ec) {
                    self->m_loop.after(acceptRetryDelay, [self] {
                        if (!self->m_closed)
                            self->accept();
                    });
                    return;
                }
                boost::system::error_code ignored;
                socket.set_option(Tcp::no_delay(true), ignored);
                self->m_accepted(std::move(socket));
                self->accept();
            });
}

} // namespace dragonflysill::internal
