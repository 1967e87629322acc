#pragma once

#include "dragonflysill/base/latencyhistogram.h"

#include <cstdint>

namespace dragonflysill {

/** Traffic of an HTTP client or server since its construction. */
struct HttpTraffic
{
    std::uint64_t calls = 0; ///< Requests sent by a client or received by a server.
    std::uint64_t timeouts = 0; ///< Calls of a client without a response in time.
    std::uint64_t connectionsOpened = 0;
    std::uint64_t questions = 0; ///< Sent by a client before a request; see IntendedPeer.
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    /** Time from a client's call until its request was written, including the connection setup. */
    LatencyHistogram sendDelay;
};

} // namespace dragonflysill
