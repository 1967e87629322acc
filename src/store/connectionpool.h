#pragma once

#include <httplib.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace dragonflysill::internal {

/** Pool of keep-alive connections to one HTTP endpoint, one call at a time on each. Thread-safe. */
class ConnectionPool
{
public:
    struct Limits
    {
        std::chrono::milliseconds connectTimeout{0};
        std::chrono::milliseconds callTimeout{0};
        std::size_t maxIdle = 0; ///< Idle connections that are kept.
    };

    ConnectionPool(std::string endpoint, Limits limits)
        : m_endpoint(std::move(endpoint))
        , m_limits(limits)
    {
    }

    /** Returns an idle connection, or a new one if none is idle. The caller owns it. */
    std::unique_ptr<httplib::Client> acquire();

    /** Returns a connection to the pool; its last response must have been read completely. */
    void release(std::unique_ptr<httplib::Client> connection);

    /** Closes all idle connections; called after a connection to this endpoint has failed. */
    void closeIdle();

    /** Opens a connection outside the pool. */
    [[nodiscard]] std::unique_ptr<httplib::Client>
    open(std::chrono::milliseconds readTimeout) const;

private:
    const std::string m_endpoint;
    const Limits m_limits;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<httplib::Client>> m_idle;
};

} // namespace dragonflysill::internal
