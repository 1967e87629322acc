#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/net/eventloop.h"

#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace dragonflysill {

namespace internal {
class TcpListener;
class ProxiedConnection;
} // namespace internal

/** Direction of bytes through a FaultProxy. */
enum class Direction {
    ToServer,
    ToClient,
};

/** State of the link that a FaultProxy simulates; times are points of EventLoop::now(). */
struct LinkState
{
    Duration delay{0}; ///< Added to each part of the stream.
    TimePoint delayedUntil{};
    TimePoint cutToServerUntil{}; ///< Until then, bytes to the server are held back.
    TimePoint cutToClientUntil{}; ///< Until then, bytes to the client are held back.
    TimePoint lossUntil{}; ///< Until then, new connections are silent.
    double bytesPerSecond = std::numeric_limits<double>::infinity(); ///< In each direction.
    TimePoint limitedUntil{};
};

/**
 * Forwards TCP connections to a server on the loopback interface and simulates faults of the link
 * between them, for tests with real processes.
 */
class FaultProxy
{
public:
    /** @param address "IP:PORT" to listen on; @param server "IP:PORT" to forward to */
    FaultProxy(EventLoop &loop, std::string address, std::string server);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    /** Opens the port; SettingsInvalid if it can't be bound. */
    Result<Done> listen();

    /** Returns the address to which clients connect. */
    [[nodiscard]] const std::string &address() const { return m_address; }

    /** Delays all bytes by @p delay for @p length. */
    void delay(Duration length, Duration delay);

    /**
     * Holds back the bytes of one direction for @p length, like a partition that heals. Requests
     * that are held back reach the process that serves the address afterwards, also if their client
     * has closed its side; a client that resets its connection loses them.
     */
    void cut(Duration length, Direction direction);

    /** Limits the bandwidth of each direction of each connection for @p length. */
    void limit(Duration length, double bytesPerSecond);

    /** Resets all open connections. */
    void reset();

    /** Discards all further bytes of the open connections without closing them. */
    void silence();

    /**
     * Loses all bytes for @p length, those on their way and those that a cut holds back included.
     * Connections that are open at the start or opened meanwhile stay silent.
     */
    void lose(Duration length);

    /** Returns the number of open connections. */
    [[nodiscard]] std::size_t connections();

private:
    void removeClosed();

    EventLoop &m_loop;
    std::string m_address;
    std::string m_server;
    std::shared_ptr<LinkState> m_state = std::make_shared<LinkState>();
    std::shared_ptr<internal::TcpListener> m_listener;
    std::vector<std::weak_ptr<internal::ProxiedConnection>> m_connections;
};

} // namespace dragonflysill
