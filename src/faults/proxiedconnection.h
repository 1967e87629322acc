#pragma once

#include "dragonflysill/faults/faultproxy.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace dragonflysill::internal {

/** One forwarded connection; lives as long as one of its two directions is open. */
class ProxiedConnection : public std::enable_shared_from_this<ProxiedConnection>
{
public:
    ProxiedConnection(EventLoop &loop, boost::asio::ip::tcp::socket client,
                      std::shared_ptr<const LinkState> state);

    /**
     * Forwards in both directions. Requests that a cut link holds back reach the process that
     * serves the address when they are delivered, also if the client has closed its side by then.
     */
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

    /** Connects to the server anew. */
    void connect(std::function<void()> connected);
    void read(Stream &stream);
    /** Passes on that the client has closed its side. */
    void endRequests();
    /** Forwards the first @p n bytes of the buffer when the link lets them pass. */
    void forward(Stream &stream, std::size_t n);
    void write(Stream &stream, std::size_t n);
    /** Returns how long the link holds back @p n bytes from now on. */
    [[nodiscard]] Duration transferTime(Direction direction, std::size_t n) const;
    [[nodiscard]] bool isCutToServer() const;
    /** Returns whether the client has reset its connection, which loses what it has sent. */
    [[nodiscard]] bool clientWasReset();
    void close();

    EventLoop &m_loop;
    Socket m_client;
    Socket m_server;
    std::shared_ptr<const LinkState> m_state;
    Stream m_toServer{m_client, m_server, Direction::ToServer};
    Stream m_toClient{m_server, m_client, Direction::ToClient};
    boost::asio::ip::tcp::endpoint m_endpoint;
    int m_serverNumber = 0; ///< Number of the connection to the server.
    bool m_requestBegun = false; ///< The last bytes came from the client.
    bool m_heldRequest = false; ///< The start of a request is held back by a cut.
    bool m_silent = false;
    bool m_closed = false;
};

} // namespace dragonflysill::internal
