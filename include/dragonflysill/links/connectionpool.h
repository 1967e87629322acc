#pragma once

#include "dragonflysill/base/time.h"
#include "dragonflysill/links/backendprotocol.h"
#include "dragonflysill/links/backendsocket.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace dragonflysill {

/** A connection to a backend server; used by one request at a time. */
struct BackendConnection
{
    std::string address;
    BackendSocket socket;
    BackendProtocol protocol;
    bool reused = false; ///< True if it was used by an earlier request.
    TimePoint idleSince{};
    Duration idleTimeout{0}; ///< From the Keep-Alive header or the default.
};

using ConnectionPointer = std::unique_ptr<BackendConnection>;

/**
 * Idle keep-alive connections to backend servers. A connection is taken for one request and put
 * back only after a complete response; otherwise the caller destroys it, which closes it.
 * Thread-safe.
 */
class ConnectionPool
{
public:
    /** Idle connections are closed after this time, or earlier if the backend server says so. */
    static constexpr std::chrono::seconds defaultIdleTimeout{4};

    /** Returns the most recently used idle connection, or null if there is none. */
    ConnectionPointer take(const std::string &address, TimePoint now);

    /** Returns a connection to the pool after a complete response. */
    void putBack(ConnectionPointer connection, TimePoint now);

    /** Closes idle connections whose timeout has passed or whose address is not in @p addresses. */
    void pruneIdle(const std::set<std::string> &addresses, TimePoint now);

private:
    std::mutex m_mutex; ///< The lock "connections" of the lock order.
    std::map<std::string, std::vector<ConnectionPointer>> m_idle;
};

} // namespace dragonflysill
