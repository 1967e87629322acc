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
    Closed, ///< The peer closed the connection in order.
    Failed, ///< The connection was reset or could not be opened.
};

/**
 * A TCP connection to a backend server with absolute deadlines. The HTTP library's client is not
 * used here because its timeouts restart with every received byte and it does not tell whether a
 * byte of a request was sent, on which the outcome "not run" depends.
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

    /** Returns true if the connection is open and has nothing to read, as an idle one must. */
    [[nodiscard]] bool idle() const;

    /**
     * Sends two parts in order.
     * @param sent receives the number of bytes handed to the kernel
     */
    SocketStatus send(std::string_view head, std::string_view body, std::size_t &sent,
                      TimePoint until);

    /** Receives at least one byte; `received` views an internal buffer until the next call. */
    SocketStatus receive(std::string_view &received, TimePoint until);

private:
    SocketStatus await(short events, TimePoint until) const;

    static constexpr std::size_t bufferSize = 16UL * 1024;

    int m_socket = -1;
    char m_buffer[bufferSize]{};
};

} // namespace dragonflysill
