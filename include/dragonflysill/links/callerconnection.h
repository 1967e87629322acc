#pragma once

#include <httplib.h>

#include <sys/types.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>

namespace dragonflysill {

/**
 * Adapts a caller's socket to the stream interface of the HTTP library, and owns it. The library's
 * own stream polls before each read and write and sends the headers and the body of a response
 * separately, which took 15 system calls per forwarded request instead of 7 and woke the caller
 * twice. This class buffers the whole response and sends it at once.
 */
class CallerConnection : public httplib::Stream
{
public:
    /** Timeout for each read of a request that has begun, and for each write of a response. */
    static constexpr std::chrono::seconds transferTimeout{5};
    /** Connections without a request for this time are closed. */
    static constexpr std::chrono::seconds idleTimeout{30};
    /** Replaces idleTimeout while other connections are waiting for a thread. */
    static constexpr std::chrono::seconds contendedIdleTimeout{1};

    explicit CallerConnection(socket_t socket);
    ~CallerConnection() override;
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /**
     * Waits for the first byte of the next request.
     * @param stopping ends the wait when it becomes true
     * @param waiting number of connections that are waiting for a thread; unless it is 0,
     * contendedIdleTimeout applies
     * @return false if the caller closed the connection, the timeout expired or @p stopping was set
     */
    bool awaitRequest(const std::atomic<bool> &stopping, const std::atomic<std::size_t> &waiting);

    /** Sends the buffered response; returns false on an error or timeout. */
    bool flush();

    bool is_readable() const override { return true; }
    bool is_writable() const override { return true; }
    ssize_t read(char *ptr, std::size_t size) override;
    ssize_t write(const char *ptr, std::size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    socket_t socket() const override { return m_socket; }

private:
    static constexpr std::size_t bufferSize = 16UL * 1024;
    static constexpr std::size_t flushSize = 256UL * 1024;

    ssize_t receive(std::chrono::milliseconds limit);
    void setReceiveTimeout(std::chrono::milliseconds limit);

    socket_t m_socket;
    std::chrono::milliseconds m_receiveTimeout{0};
    std::array<char, bufferSize> m_buffer{};
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
    std::string m_output;
};

} // namespace dragonflysill
