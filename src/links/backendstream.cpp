#include "dragonflysill/links/backendstream.h"

#include <algorithm>
#include <cstring>

namespace dragonflysill {

BackendStream::BackendStream(BackendSocket &socket, TimePoint until)
    : m_socket(socket)
    , m_until(until)
{
}

ssize_t BackendStream::read(char *ptr, std::size_t size)
{
    if (m_unread.empty()) {
        if (!flush())
            return -1;
        m_status = m_socket.receive(m_unread, m_until);
        if (m_status == SocketStatus::Closed)
            return 0;
        if (m_status != SocketStatus::Ok)
            return -1;
        m_byteReceived = true;
    }
    const std::size_t n = std::min(size, m_unread.size());
    std::memcpy(ptr, m_unread.data(), n);
    m_unread.remove_prefix(n);
    return static_cast<ssize_t>(n);
}

ssize_t BackendStream::write(const char *ptr, std::size_t size)
{
    m_output.append(ptr, size);
    if (m_output.size() >= flushSize && !flush())
        return -1;
    return static_cast<ssize_t>(size);
}

bool BackendStream::flush()
{
    if (m_output.empty())
        return true;
    std::size_t sent = 0;
    m_status = m_socket.send(m_output, {}, sent, m_until);
    m_bytesSent += sent;
    m_output.clear();
    return m_status == SocketStatus::Ok;
}

void BackendStream::get_remote_ip_and_port(std::string &ip, int &port) const
{
    ip.clear();
    port = 0;
}

void BackendStream::get_local_ip_and_port(std::string &ip, int &port) const
{
    ip.clear();
    port = 0;
}

} // namespace dragonflysill
