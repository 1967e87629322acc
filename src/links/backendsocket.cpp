#include "dragonflysill/links/backendsocket.h"

#include "dragonflysill/telemetry/settings.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>

namespace dragonflysill {

namespace internal {

sockaddr_in socketAddress(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(endpoint.port));
    inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr);
    return address;
}

bool wouldBlock()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

} // namespace internal

BackendSocket::~BackendSocket()
{
    if (m_socket >= 0)
        ::close(m_socket);
}

SocketStatus BackendSocket::connect(const std::string &address, TimePoint until)
{
    const auto endpoint = Endpoint::parse(address);
    if (!endpoint)
        return SocketStatus::Failed;
    m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_socket < 0)
        return SocketStatus::Failed;
    const int on = 1;
    ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in target = internal::socketAddress(*endpoint);
    if (::connect(m_socket, reinterpret_cast<const sockaddr *>(&target), sizeof target) == 0)
        return SocketStatus::Ok;
    if (errno != EINPROGRESS)
        return SocketStatus::Failed;
    if (const auto status = waitForEvent(POLLOUT, until); status != SocketStatus::Ok)
        return status;
    int error = 0;
    socklen_t length = sizeof error;
    ::getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &error, &length);
    return error == 0 ? SocketStatus::Ok : SocketStatus::Failed;
}

bool BackendSocket::isIdle() const
{
    char byte = 0;
    return ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && internal::wouldBlock();
}

SocketStatus BackendSocket::send(std::string_view head, std::string_view body, std::size_t &sent,
                                 TimePoint until)
{
    sent = 0;
    const std::size_t total = head.size() + body.size();
    while (sent < total) {
        const std::size_t headDone = std::min(sent, head.size());
        iovec parts[2] = {{const_cast<char *>(head.data()) + headDone, head.size() - headDone},
                          {const_cast<char *>(body.data()) + (sent - headDone),
                           body.size() - (sent - headDone)}};
        msghdr message{};
        message.msg_iov = parts;
        message.msg_iovlen = 2;
        const ssize_t n = ::sendmsg(m_socket, &message, MSG_NOSIGNAL);
        if (n >= 0)
            sent += static_cast<std::size_t>(n);
        else if (!internal::wouldBlock())
            return SocketStatus::Failed;
        else if (const auto status = waitForEvent(POLLOUT, until); status != SocketStatus::Ok)
            return status;
    }
    return SocketStatus::Ok;
}

SocketStatus BackendSocket::receive(std::string_view &received, TimePoint until)
{
    for (;;) {
        // The response has rarely arrived yet, so waiting first saves a failing recv().
        if (const auto status = waitForEvent(POLLIN, until); status != SocketStatus::Ok)
            return status;
        const ssize_t n = ::recv(m_socket, m_buffer, bufferSize, 0);
        if (n > 0) {
            received = std::string_view(m_buffer, static_cast<std::size_t>(n));
            return SocketStatus::Ok;
        }
        if (n == 0)
            return SocketStatus::Closed;
        if (!internal::wouldBlock())
            return SocketStatus::Failed;
    }
}

SocketStatus BackendSocket::waitForEvent(short events, TimePoint until) const
{
    pollfd poll{m_socket, events, 0};
    const Duration wait = std::max(Duration(0), until - steadyNow());
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(wait);
    const timespec limit{seconds.count(), (wait - seconds).count()};
    const int n = ::ppoll(&poll, 1, &limit, nullptr);
    if (n > 0)
        return SocketStatus::Ok;
    const bool interrupted = n < 0 && errno == EINTR;
    return interrupted && steadyNow() < until ? waitForEvent(events, until)
                                              : SocketStatus::TimedOut;
}

} // namespace dragonflysill
