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
 * A caller's connection as the HTTP library reads and writes it. The library's own stream waits
 * before each call and sends the head and the body of a response separately, which took 15 system
 * calls per forwarded request instead of 7 and woke the caller twice. This one collects the whole
 * response and sends it at once. Owns the socket.
 */
class CallerConnection : public httplib::Stream
{
public:
    /** Longest wait for the rest of a request that began, and for the caller to read. */
    static constexpr std::chrono::seconds transferLimit{5};
    /** Longest time without a request. */
    static constexpr std::chrono::seconds idleLimit{30};

    /** Longest time without a request while other connections wait for a thread. */
    static constexpr std::chrono::seconds crowdedIdleLimit{1};

    explicit CallerConnection(socket_t socket);
    ~CallerConnection() override;
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /**
     * Waits for the first byte of the next request.
     * @param stopping ends the wait
     * @param waiting connections that wait for a thread; unless it is 0, an idle one is closed
     * early
     * @return false if the caller closed the connection, was idle too long, or the wait was ended
     */
    bool awaitRequest(const std::atomic<bool> &stopping, const std::atomic<std::size_t> &waiting);

    /** Sends what was written; returns false if the caller does not take it. */
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
    void setReceiveLimit(std::chrono::milliseconds limit);

    socket_t m_socket;
    std::chrono::milliseconds m_receiveLimit{0};
    std::array<char, bufferSize> m_buffer{};
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
    std::string m_output;
};

} // namespace dragonflysill
