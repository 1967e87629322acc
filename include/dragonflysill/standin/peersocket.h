#pragma once

#include <httplib.h>

namespace dragonflysill {

/**
 * The accepted socket of the request that a cpp-httplib handler is processing. The library does not
 * expose it, so it is found by the addresses of both ends. Valid only inside the handler, which
 * runs in the thread that owns the socket.
 */
class PeerSocket
{
public:
    explicit PeerSocket(const httplib::Request &request);

    /** Shuts the connection down, so that the handler's answer is not sent. */
    void shutDown() const;

    /** Returns true if the peer has closed its side or the socket was not found. */
    [[nodiscard]] bool closedByPeer() const;

private:
    int m_descriptor = -1; ///< Owned by the HTTP server.
};

/**
 * Ends the idle connections of a stopped cpp-httplib server, which otherwise waits for its
 * keep-alive timeout. Answers that are being sent are still sent.
 * @param localPort the port of the server in this process
 */
void endIdleConnections(int localPort);

} // namespace dragonflysill
