#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/net/connectionshare.h"
#include "dragonflysill/net/eventloop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace dragonflysill {

namespace internal {
class FrameSocket;
class TcpListener;
} // namespace internal

/** Bytes of a FrameConnection since it was opened. */
struct FrameTraffic
{
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t framesSent = 0;
};

/**
 * TCP connection that carries frames of up to maxPayloadBytes. A frame that is malformed, or a peer
 * that does not read for so long that too many bytes wait, ends the connection. The handlers are
 * not called any more once the object has been destroyed or closed.
 */
class FrameConnection
{
public:
    struct Handlers
    {
        std::function<void(std::string_view payload)> received;
        /** Called once when the connection has failed or the peer has closed it. */
        std::function<void(const std::string &reason)> closed;
    };

    /**
     * Opens a connection; frames may be sent at once and leave when it is established.
     * @param address "IP:PORT"; closed is called later if it is invalid
     */
    FrameConnection(EventLoop &loop, const std::string &address, Handlers handlers);
    /** Takes over an accepted connection. */
    FrameConnection(std::shared_ptr<internal::FrameSocket> socket, Handlers handlers);
    ~FrameConnection();
    FrameConnection(const FrameConnection &) = delete;
    FrameConnection &operator=(const FrameConnection &) = delete;

    /** Sends a frame after those sent before it; has no effect on a closed connection. */
    void send(std::string_view payload);

    [[nodiscard]] const FrameTraffic &traffic() const;

private:
    std::shared_ptr<internal::FrameSocket> m_socket;
};

/** Accepts FrameConnections. */
class FrameServer
{
public:
    using Accepted = std::function<void(std::shared_ptr<internal::FrameSocket> socket)>;

    /** @param accepted takes each new connection over with a FrameConnection */
    FrameServer(EventLoop &loop, Accepted accepted);
    ~FrameServer();
    FrameServer(const FrameServer &) = delete;
    FrameServer &operator=(const FrameServer &) = delete;

    /** Sets the share that limits the connections; call it before listen(). */
    void setShare(std::shared_ptr<ConnectionShare> share) { m_share = std::move(share); }

    /**
     * Opens the port.
     * @param address "IP:PORT"
     * @return SettingsInvalid if the address can't be bound
     */
    Result<Done> listen(const std::string &address);

private:
    std::shared_ptr<ConnectionShare> m_share; ///< Null for no limits.
    std::shared_ptr<internal::TcpListener> m_listener;
};

} // namespace dragonflysill
