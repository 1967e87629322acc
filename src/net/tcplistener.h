#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/net/eventloop.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace dragonflysill::internal {

/**
 * Size of the kernel's buffer in each direction for connections whose number is limited; the kernel
 * takes up to twice as much. By default it takes up to 32 MB for what a process has not read. Large
 * requests need more rounds: 262,144 bytes take about ten.
 */
constexpr std::size_t socketBufferBytes = 16384;

/** Accepts TCP connections on one address. */
class TcpListener : public std::enable_shared_from_this<TcpListener>
{
public:
    using Accepted = std::function<void(boost::asio::ip::tcp::socket socket)>;

    TcpListener(EventLoop &loop, Accepted accepted);

    /**
     * Opens the port.
     * @param address "IP:PORT"
     * @param limitBuffers whether the kernel's buffers of the connections have socketBufferBytes
     * @return SettingsInvalid if the address can't be bound
     */
    Result<Done> open(const std::string &address, bool limitBuffers = false);

    /** Closes the port; no connection is accepted afterwards. */
    void close();

private:
    void accept();

    EventLoop &m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Accepted m_accepted;
    bool m_closed = false;
};

} // namespace dragonflysill::internal
