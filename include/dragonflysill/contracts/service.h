#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace dragonflysill {

/** A route of a service: the settings for requests with a path prefix. */
struct Route
{
    std::string pathPrefix;
    std::chrono::milliseconds deadline{1000};
    bool repeatable = true; ///< False if a request must run at most once.

    bool operator==(const Route &) const = default;
};

/** A service for callers and the pool whose instances run it. */
struct Service
{
    std::string name;
    std::int64_t ticket = 0; ///< Number of the ticket that last changed the service.
    std::string pool;
    int slotsPerInstance = 8; ///< Maximum number of concurrent requests for each backend server.
    int connectionsPerInstance = 64; ///< Maximum number of connections for each backend server.
    double meanRatePerSecond = 0; ///< Expected mean rate; used to size the buffer.
    double burstFactor = 5; ///< Peak rate as a multiple of the mean.
    std::vector<Route> routes;

    bool operator==(const Service &) const = default;
};

} // namespace dragonflysill
