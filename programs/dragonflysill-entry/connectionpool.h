#pragma once

#include "dragonflysill/base/time.h"

#include <httplib.h>

#include <cstddef>
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
    explicit BackendConnection(const std::string &address);

    std::string address;
    httplib::Client client;
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

    /** Returns an idle connection, or a new one that connects when it is used. */
    ConnectionPointer take(const std::string &address, bool fresh);

    /** Keeps a connection whose response was complete. */
    void putBack(ConnectionPointer connection, TimePoint now);

    /** Closes the idle connections to all other addresses, and those that were idle too long. */
    void retain(const std::set<std::string> &addresses, TimePoint now);

    /** Closes the idle connections to one address. */
    void closeIdle(const std::string &address);

private:
    std::mutex m_mutex;
    std::map<std::string, std::vector<ConnectionPointer>> m_idle;
};

} // namespace dragonflysill
