#pragma once

#include <httplib.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace dragonflysill::internal {

/** Keep-alive connections to one HTTP endpoint; each carries one call at a time. Thread-safe. */
class ConnectionPool
{
public:
    struct Limits
    {
        std::chrono::milliseconds connectTimeout{0};
        std::chrono::milliseconds callTimeout{0};
        std::size_t maxIdle = 0;
    };

    ConnectionPool(std::string endpoint, Limits limits)
        : m_endpoint(std::move(endpoint))
        , m_limits(limits)
    {
    }

    /** Returns an idle connection or a new one; the caller owns it. */
    std::unique_ptr<httplib::Client> take();

    /** Gives back a connection whose last answer was read completely. */
    void giveBack(std::unique_ptr<httplib::Client> connection);

    /** Closes the idle connections, because one to this endpoint stopped responding. */
    void closeIdle();

    /** Returns a new connection that does not belong to the pool. */
    [[nodiscard]] std::unique_ptr<httplib::Client>
    open(std::chrono::milliseconds readTimeout) const;

private:
    const std::string m_endpoint;
    const Limits m_limits;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<httplib::Client>> m_idle;
};

} // namespace dragonflysill::internal
