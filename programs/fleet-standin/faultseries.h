#pragma once

#include "dragonflysill/base/random.h"
#include "dragonflysill/net/eventloop.h"
#include "fleetstandin.h"

#include <cstdint>
#include <string_view>

namespace dragonflysill {

/**
 * A seeded series of faults of the simulated platform: its store is away, slow, loses answers or
 * drops its history, backend servers crash, and the configuration changes. Faults overlap.
 */
class FaultSeries
{
public:
    FaultSeries(EventLoop &loop, platform::FleetStandin &fleet, std::uint64_t seed);

    /** Starts the series; no fault begins after @p length, so that all jobs can end. */
    void start(Duration length);

private:
    void scheduleNext();
    void cause();
    /** Returns a random time between two bounds. */
    [[nodiscard]] Duration between(Duration shortest, Duration longest);
    void log(std::string_view fault, Duration length);

    EventLoop &m_loop;
    platform::FleetStandin &m_fleet;
    Random m_random;
    TimePoint m_startedAt{};
    TimePoint m_endsAt{};
};

} // namespace dragonflysill
