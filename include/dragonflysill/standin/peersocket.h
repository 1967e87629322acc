#pragma once

#include <httplib.h>

namespace dragonflysill {

/**
 * The connection of the request that a cpp-httplib handler is processing. The library does not
 * expose the socket, so the constructor searches for it by the ports of both ends. Valid only
 * inside the handler, which runs in the thread that owns the socket.
 */
class PeerSocket
{
public:
    explicit PeerSocket(const httplib::Request &request);

    /** Shuts down the connection, so that the handler's response is not sent. */
    void shutDown() const;

    /** Returns true if the peer has closed the connection or the socket was not found. */
    [[nodiscard]] bool closedByPeer() const;

private:
    int m_descriptor = -1; ///< Owned by the HTTP server.
};

/**
 * Closes the idle connections of a cpp-httplib server that is stopping. Otherwise the server waits
 * until their keep-alive timeout expires. Responses in progress are still sent.
 * @param localPort the server's port
 */
void endIdleConnections(int localPort);

} // namespace dragonflysill
