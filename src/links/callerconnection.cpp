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

// Interval at which an idle connection checks for a stop and for waiting connections.
constexpr std::chrono::milliseconds idlePollInterval{200};

timeval toTimeval(std::chrono::milliseconds limit)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(limit);
    return {seconds.count(), std::chrono::microseconds(limit - seconds).count()};
}

bool receiveTimedOut()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

} // namespace internal

CallerConnection::CallerConnection(socket_t socket)
    : m_socket(socket)
{
    const int on = 1;
    ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const timeval limit = internal::toTimeval(transferTimeout);
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
        return true; // The caller pipelined the next request.
    for (auto waited = internal::idlePollInterval; waited <= idleTimeout;
         waited += internal::idlePollInterval) {
        const ssize_t n = receive(internal::idlePollInterval);
        if (n > 0)
            return true;
        if (n == 0 || !internal::receiveTimedOut() || stopping)
            return false;
        if (waiting > 0 && waited >= contendedIdleTimeout)
            return false;
    }
    return false;
}

ssize_t CallerConnection::receive(std::chrono::milliseconds limit)
{
    setReceiveTimeout(limit);
    const ssize_t n = ::recv(m_socket, m_buffer.data(), m_buffer.size(), 0);
    m_begin = 0;
    m_end = n > 0 ? static_cast<std::size_t>(n) : 0;
    return n;
}

void CallerConnection::setReceiveTimeout(std::chrono::milliseconds limit)
{
    if (limit == m_receiveTimeout)
        return;
    m_receiveTimeout = limit;
    const timeval value = internal::toTimeval(limit);
    ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
}

ssize_t CallerConnection::read(char *ptr, std::size_t size)
{
    if (m_begin == m_end) {
        // A caller that waits for "100 Continue" sends the body only after it has received that.
        if (!flush())
            return -1;
        const ssize_t n = receive(transferTimeout);
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
    port = 0; // Not used; querying it would cost a system call per request.
}

void CallerConnection::get_local_ip_and_port(std::string &ip, int &port) const
{
    ip.clear();
    port = 0;
}

} // namespace dragonflysill
