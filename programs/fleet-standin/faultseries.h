#pragma once

#include "daylog.h"
#include "dragonflysill/base/random.h"
#include "dragonflysill/net/eventloop.h"
#include "faultlinks.h"
#include "fleetstandin.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dragonflysill {

/**
 * A seeded series of faults of the simulated platform: its store is away, slow, loses answers or
 * drops its history, links are slow, cut, reset or silent, backend servers crash once or
 * repeatedly, tasks crash them, their capacity shrinks and grows again, instances come and go, and
 * the configuration changes. Faults overlap.
 */
class FaultSeries
{
public:
    FaultSeries(EventLoop &loop, platform::FleetStandin &fleet, FaultLinks &links,
                const DayLog &log, std::uint64_t seed);

    /** Starts the series; no fault begins after @p length, so that all jobs can end. */
    void start(Duration length);

    /**
     * Starts another series beside the first one, with random numbers of its own: some backend
     * servers restart under their ids, the owner of the schedule is killed soon after, and then the
     * links to these servers lose everything for a while. No links fail in it after @p length.
     */
    void startRestarts(Duration length);

    /** Restarts some backend servers at once; the other faults of the series follow. */
    void restartWorkers();

    /** Causes the next fault at once. */
    void cause();

private:
    void scheduleNext();
    void scheduleRestarts(Duration pause);
    /** Asks the script that started the nodes to kill the owner of the schedule. */
    void killOwner();
    void cutOff(const std::vector<std::string> &workers);
    void failStore();
    void failLink();
    void changeFleet();
    void disturbWork();
    /** Returns a random time between two bounds. */
    [[nodiscard]] Duration between(Duration shortest, Duration longest);
    [[nodiscard]] static Duration between(Random &random, Duration shortest, Duration longest);

    EventLoop &m_loop;
    platform::FleetStandin &m_fleet;
    FaultLinks &m_links;
    const DayLog &m_log;
    Random m_random;
    Random m_restartRandom;
    TimePoint m_endsAt{};
    TimePoint m_restartsEndAt{};
};

} // namespace dragonflysill
