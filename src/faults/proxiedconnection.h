#pragma once

#include "dragonflysill/faults/faultproxy.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstddef>
#include <memory>
#include <string>

namespace dragonflysill::internal {

/** One forwarded connection; lives as long as one of its two directions is open. */
class ProxiedConnection : public std::enable_shared_from_this<ProxiedConnection>
{
public:
    ProxiedConnection(EventLoop &loop, boost::asio::ip::tcp::socket client,
                      std::shared_ptr<const LinkState> state);

    /** Connects to the server and forwards in both directions. */
    void open(const std::string &server);

    /** Closes both sides with a reset. */
    void reset();

    /** Discards all further bytes. */
    void silence() { m_silent = true; }

private:
    using Socket = boost::asio::ip::tcp::socket;
    static constexpr std::size_t bufferSize = 16384;

    /** Bytes on their way in one direction. */
    struct Stream
    {
        Socket &from;
        Socket &to;
        Direction direction;
        std::array<char, bufferSize> buffer{};
    };

    void read(Stream &stream);
    /** Forwards the first @p n bytes of the buffer when the link lets them pass. */
    void forward(Stream &stream, std::size_t n);
    void write(Stream &stream, std::size_t n);
    /** Returns how long the link holds back @p n bytes from now on. */
    [[nodiscard]] Duration transferTime(Direction direction, std::size_t n) const;
    void close();

    EventLoop &m_loop;
    Socket m_client;
    Socket m_server;
    std::shared_ptr<const LinkState> m_state;
    Stream m_toServer{m_client, m_server, Direction::ToServer};
    Stream m_toClient{m_server, m_client, Direction::ToClient};
    bool m_silent = false;
};

} // namespace dragonflysill::internal
