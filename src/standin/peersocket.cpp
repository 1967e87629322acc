#include "dragonflysill/standin/peersocket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace dragonflysill {

namespace internal {

bool matches(int descriptor, const httplib::Request &request)
{
    sockaddr_in peer{};
    sockaddr_in local{};
    socklen_t peerSize = sizeof peer;
    socklen_t localSize = sizeof local;
    return getpeername(descriptor, reinterpret_cast<sockaddr *>(&peer), &peerSize) == 0
           && getsockname(descriptor, reinterpret_cast<sockaddr *>(&local), &localSize) == 0
           && ntohs(peer.sin_port) == request.remote_port
           && ntohs(local.sin_port) == request.local_port;
}

} // namespace internal

PeerSocket::PeerSocket(const httplib::Request &request)
{
    // select() limits the descriptors that cpp-httplib serves to this number.
    for (int n = 0; n < FD_SETSIZE; ++n) {
        if (internal::matches(n, request)) {
            m_descriptor = n;
            return;
        }
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
