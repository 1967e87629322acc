#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace dragonflysill {

/** A route of a service: how requests below a path prefix are treated. */
struct Route
{
    std::string pathPrefix;
    std::chrono::milliseconds deadline{1000};
    bool repeatable = true; ///< False if a request must run at most once.

    bool operator==(const Route &) const = default;
};

/** A service that callers use and the pool that carries it. */
struct Service
{
    std::string name;
    std::int64_t ticket = 0; ///< Number of the ticket that last changed the service.
    std::string pool;
    int slotsPerInstance = 8; ///< Requests that a backend server runs at once.
    int connectionsPerInstance = 64; ///< Connections that a backend server accepts at once.
    double meanRatePerSecond = 0; ///< Expected mean rate, for sizing the buffer.
    double burstFactor = 5; ///< Peak rate as a multiple of the mean.
    std::vector<Route> routes;

    bool operator==(const Service &) const = default;
};

} // namespace dragonflysill
