#include "dragonflysill/standin/peersocket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace dragonflysill {

namespace internal {

struct Ports
{
    int local = 0;
    int peer = 0;
};

/** Returns the ports of a connected socket, or zeros if the descriptor is not one. */
Ports connectionPorts(int descriptor)
{
    sockaddr_in peer{};
    sockaddr_in local{};
    socklen_t peerSize = sizeof peer;
    socklen_t localSize = sizeof local;
    if (getpeername(descriptor, reinterpret_cast<sockaddr *>(&peer), &peerSize) != 0
        || getsockname(descriptor, reinterpret_cast<sockaddr *>(&local), &localSize) != 0)
        return {};
    return {ntohs(local.sin_port), ntohs(peer.sin_port)};
}

} // namespace internal

PeerSocket::PeerSocket(const httplib::Request &request)
{
    // cpp-httplib uses select(), which limits descriptors to values below FD_SETSIZE.
    for (int n = 0; n < FD_SETSIZE; ++n) {
        const internal::Ports ports = internal::connectionPorts(n);
        if (ports.local == request.local_port && ports.peer == request.remote_port) {
            m_descriptor = n;
            return;
        }
    }
}

void endIdleConnections(int localPort)
{
    for (int n = 0; n < FD_SETSIZE; ++n) {
        if (internal::connectionPorts(n).local == localPort)
            shutdown(n, SHUT_RD);
    }
}

void PeerSocket::shutDown() const
{
    if (m_descriptor >= 0)
        shutdown(m_descriptor, SHUT_RDWR);
}

bool PeerSocket::closedByPeer() const
{
    char byte = 0;
    return m_descriptor < 0 || recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

} // namespace dragonflysill
