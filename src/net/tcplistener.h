#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/net/eventloop.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace dragonflysill::internal {

/** Accepts TCP connections on one address. */
class TcpListener : public std::enable_shared_from_this<TcpListener>
{
public:
    using Accepted = std::function<void(boost::asio::ip::tcp::socket socket)>;

    TcpListener(EventLoop &loop, Accepted accepted);

    /** Opens the port "IP:PORT"; SettingsInvalid if it can't be bound. */
    Result<Done> open(const std::string &address);

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
