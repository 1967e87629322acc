#pragma once

#include "dragonflysill/links/backendsocket.h"

#include <httplib.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace dragonflysill {

/**
 * Adapts a BackendSocket to the stream interface of the HTTP library, for one request. It applies
 * an absolute deadline, which the library's own timeouts do not support, buffers the request and
 * sends it at once, and records whether a byte was sent, on which the outcome "not run" depends.
 * The socket belongs to the caller and must outlive the stream.
 */
class BackendStream : public httplib::Stream
{
public:
    BackendStream(BackendSocket &socket, TimePoint until);

    bool is_readable() const override { return true; }
    bool is_writable() const override { return true; }
    ssize_t read(char *ptr, std::size_t size) override;
    ssize_t write(const char *ptr, std::size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    socket_t socket() const override { return INVALID_SOCKET; }

    /** Returns the status of the last operation on the socket. */
    [[nodiscard]] SocketStatus status() const { return m_status; }

    /** Returns true if a byte of the request may have left this process. */
    [[nodiscard]] bool byteSent() const { return m_bytesSent > 0; }

    /** Returns true if a byte of the response was received. */
    [[nodiscard]] bool byteReceived() const { return m_byteReceived; }

    /** Returns true if bytes were received that the library did not read. */
    [[nodiscard]] bool hasUnreadBytes() const { return !m_unread.empty(); }

private:
    static constexpr std::size_t flushSize = 256UL * 1024; ///< Buffered bytes that cause a flush.

    bool flush();

    BackendSocket &m_socket;
    TimePoint m_until;
    SocketStatus m_status = SocketStatus::Ok;
    std::string m_output;
    std::size_t m_bytesSent = 0;
    bool m_byteReceived = false;
    std::string_view m_unread; ///< Received bytes in the socket's buffer.
};

} // namespace dragonflysill
