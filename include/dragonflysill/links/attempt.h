#pragma once

#include <cstdint>
#include <string>

namespace dragonflysill {

/** How one attempt on a backend server ended. */
enum class AttemptResult {
    Success, ///< A complete response that is not a server error.
    Refused, ///< Refused before the start; the backend server did not run the request.
    ConnectFailed, ///< No connection could be opened; no byte was sent.
    Failed, ///< Server error, or the connection was lost after a byte was sent.
    Silent, ///< The connection stayed open but no response arrived before the timeout.
    Abandoned, ///< Ended for a reason that does not affect the backend server's health.
};

/** A backend server chosen for one attempt; its slot is counted until the attempt finishes. */
struct Assignment
{
    int backend = -1; ///< Identifies the backend server within its BackendPool.
    std::string name;
    std::string address; ///< IP and port.
    std::int64_t epoch = 0;
    bool isProbe = false; ///< Health check: uses a new connection and a short timeout.
    bool isLimitTrial = false; ///< Exceeds the AdaptiveLimit to test whether more is accepted.
};

} // namespace dragonflysill
