#include "dragonflysill/links/callerconnection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace dragonflysill {

namespace internal {

// Also the longest delay with which an idle connection notices a stop.
constexpr std::chrono::milliseconds idlePoll{200};

timeval toTimeval(std::chrono::milliseconds limit)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(limit);
    return {seconds.count(), std::chrono::microseconds(limit - seconds).count()};
}

bool timedOut()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

} // namespace internal

CallerConnection::CallerConnection(socket_t socket)
    : m_socket(socket)
{
    const int on = 1;
    ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const timeval limit = internal::toTimeval(transferLimit);
    ::setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
}

CallerConnection::~CallerConnection()
{
    ::shutdown(m_socket, SHUT_RDWR);
    ::close(m_socket);
}

bool CallerConnection::awaitRequest(const std::atomic<bool> &stopping,
                                    const std::atomic<std::size_t> &waiting)
{
    if (m_begin < m_end)
        return true; // The caller sent the next request before the response to the last one.
    for (auto waited = internal::idlePoll; waited <= idleLimit; waited += internal::idlePoll) {
        const ssize_t n = receive(internal::idlePoll);
        if (n > 0)
            return true;
        if (n == 0 || !internal::timedOut() || stopping)
            return false;
        if (waiting > 0 && waited >= crowdedIdleLimit)
            return false;
    }
    return false;
}

ssize_t CallerConnection::receive(std::chrono::milliseconds limit)
{
    setReceiveLimit(limit);
    const ssize_t n = ::recv(m_socket, m_buffer.data(), m_buffer.size(), 0);
    m_begin = 0;
    m_end = n > 0 ? static_cast<std::size_t>(n) : 0;
    return n;
}

void CallerConnection::setReceiveLimit(std::chrono::milliseconds limit)
{
    if (limit == m_receiveLimit)
        return;
    m_receiveLimit = limit;
    const timeval value = internal::toTimeval(limit);
    ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
}

ssize_t CallerConnection::read(char *ptr, std::size_t size)
{
    if (m_begin == m_end) {
        // A caller that waits for "100 Continue" sends nothing before it has received that.
        if (!flush())
            return -1;
        const ssize_t n = receive(transferLimit);
        if (n <= 0)
            return n;
    }
    const std::size_t n = std::min(size, m_end - m_begin);
    std::memcpy(ptr, m_buffer.data() + m_begin, n);
    m_begin += n;
    return static_cast<ssize_t>(n);
}

ssize_t CallerConnection::write(const char *ptr, std::size_t size)
{
    m_output.append(ptr, size);
    if (m_output.size() >= flushSize && !flush())
        return -1;
    return static_cast<ssize_t>(size);
}

bool CallerConnection::flush()
{
    std::size_t sent = 0;
    while (sent < m_output.size()) {
        const ssize_t n
                = ::send(m_socket, m_output.data() + sent, m_output.size() - sent, MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    m_output.clear();
    return true;
}

void CallerConnection::get_remote_ip_and_port(std::string &ip, int &port) const
{
    ip.clear();
    port = 0; // Not used; reading it would cost a system call per request.
}

void CallerConnection::get_local_ip_and_port(std::string &ip, int &port) const
{
    ip.clear();
    port = 0;
}

} // namespace dragonflysill
