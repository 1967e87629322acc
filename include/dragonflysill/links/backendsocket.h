#pragma once

#include "dragonflysill/base/time.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace dragonflysill {

/** The result of a socket operation. */
enum class SocketStatus {
    Ok,
    TimedOut,
    Closed, ///< The peer closed the connection gracefully.
    Failed, ///< The connection was reset or could not be opened.
};

/**
 * A TCP connection to a backend server with absolute deadlines. The HTTP library's client is not
 * used because its timeouts restart with every received byte, and because it does not report
 * whether a byte of a request was sent. The outcome "not run" depends on the latter.
 */
class BackendSocket
{
public:
    BackendSocket() = default;
    ~BackendSocket();
    BackendSocket(const BackendSocket &) = delete;
    BackendSocket &operator=(const BackendSocket &) = delete;

    /** Connects to "IP:PORT". */
    SocketStatus connect(const std::string &address, TimePoint until);

    /** Returns true if the connection is open and has no unread bytes, so that it can be reused. */
    [[nodiscard]] bool isIdle() const;

    /**
     * Sends two parts in order; returns when all bytes are sent, or on an error or timeout.
     * @param sent receives the number of bytes handed to the kernel
     */
    SocketStatus send(std::string_view head, std::string_view body, std::size_t &sent,
                      TimePoint until);

    /** Receives at least one byte; @p received views a buffer that the next call overwrites. */
    SocketStatus receive(std::string_view &received, TimePoint until);

private:
    SocketStatus waitForEvent(short events, TimePoint until) const;

    static constexpr std::size_t bufferSize = 16UL * 1024;

    int m_socket = -1;
    char m_buffer[bufferSize]{};
};

} // namespace dragonflysill
