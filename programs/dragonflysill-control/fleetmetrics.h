#pragma once

#include "dragonflysill/machines/fleetrunner.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>

namespace dragonflysill {

/**
 * The metrics of the fleet decisions: buffer cost, rollout time, moves. Used by one thread; the
 * registry must outlive it.
 */
class FleetMetrics
{
public:
    explicit FleetMetrics(prometheus::Registry &registry);

    /**
     * Updates the metrics from the report of a pass. For this process, a rollout ends with the
     * first pass after a new ticket in which none of its pools has an incomplete move.
     * @param ticket number of the newest ticket in the view of the pass
     * @param nowMs Unix time of the pass in milliseconds
     */
    void update(const FleetReport &report, std::int64_t ticket, std::int64_t nowMs);

    /** Returns the number of moves that this process completed. */
    [[nodiscard]] std::int64_t moves() const { return static_cast<std::int64_t>(m_moves.Value()); }

private:
    void updateRollout(const FleetReport &report, std::int64_t ticket, std::int64_t nowMs);

    prometheus::Counter &m_moves;
    prometheus::Counter &m_passErrors;
    prometheus::Gauge &m_bufferIdle;
    prometheus::Gauge &m_bufferRequired;
    prometheus::Gauge &m_bufferBaseline;
    prometheus::Histogram &m_rollout;
    std::int64_t m_ticket = 0;
    /** Unix time at which m_ticket arrived; 0 if no rollout is open. */
    std::int64_t m_ticketArrivedMs = 0;
};

} // namespace dragonflysill
