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

/** A connection to a backend server; carries one request at a time. */
struct BackendConnection
{
    std::string address;
    BackendSocket socket;
    BackendProtocol protocol;
    bool reused = false; ///< True if it already carried a request.
    TimePoint idleSince{};
    Duration idleLimit{0}; ///< From the backend server's Keep-Alive header.
};

using ConnectionPointer = std::unique_ptr<BackendConnection>;

/**
 * Idle keep-alive connections to backend servers. A connection is taken for one request and put
 * back only after a complete response; in every other case the taker destroys it, which closes it.
 * Thread-safe.
 */
class ConnectionPool
{
public:
    /** Idle connections are closed after this time unless the backend server states a shorter one.
     */
    static constexpr std::chrono::seconds defaultIdleLimit{4};

    /** Returns the idle connection that was used last, or null if there is none. */
    ConnectionPointer take(const std::string &address, TimePoint now);

    /** Keeps a connection whose response was complete. */
    void putBack(ConnectionPointer connection, TimePoint now);

    /** Closes the idle connections to all other addresses, and those that were idle too long. */
    void pruneIdle(const std::set<std::string> &addresses, TimePoint now);

private:
    std::mutex m_mutex; ///< "connections" in the lock order.
    std::map<std::string, std::vector<ConnectionPointer>> m_idle;
};

} // namespace dragonflysill
