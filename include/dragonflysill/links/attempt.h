#pragma once

#include <cstdint>
#include <string>

namespace dragonflysill {

/** How one attempt on a backend server ended. */
enum class AttemptResult {
    Success, ///< A complete response that is not a server error.
    Refused, ///< Refused before starting; the request did not run there.
    ConnectFailed, ///< No connection could be opened; no byte was sent.
    Failed, ///< Server error, or the connection was lost after a byte was sent.
    Silent, ///< No response within the attempt's time, on an open connection.
    Abandoned, ///< Given up for a reason that says nothing about the backend server.
};

/** A backend server chosen for one attempt; its slot is counted until the attempt finishes. */
struct Assignment
{
    int backend = -1; ///< Identifies the backend server within its BackendPool.
    std::string name;
    std::string address; ///< IP and port.
    std::int64_t epoch = 0;
    bool checking = false; ///< Must use a new connection and a short attempt time.
    bool limitTrial = false; ///< Tries whether the backend server accepts more at once.
};

} // namespace dragonflysill
