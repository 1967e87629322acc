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
     * Takes a pass into account. A rollout ends for this process with the first pass after a new
     * ticket in which none of its pools has a move that is not complete.
     * @param ticket number of the newest ticket that the pass saw
     */
    void note(const FleetReport &report, std::int64_t ticket, std::int64_t nowMs);

    /** Returns the moves that this process completed. */
    [[nodiscard]] std::int64_t moves() const { return static_cast<std::int64_t>(m_moves.Value()); }

private:
    void noteRollout(const FleetReport &report, std::int64_t ticket, std::int64_t nowMs);

    prometheus::Counter &m_moves;
    prometheus::Counter &m_passErrors;
    prometheus::Gauge &m_bufferIdle;
    prometheus::Gauge &m_bufferRequired;
    prometheus::Gauge &m_bufferBaseline;
    prometheus::Histogram &m_rollout;
    std::int64_t m_ticket = 0;
    std::int64_t m_ticketSeenMs = 0; ///< 0 unless a rollout is going on.
};

} // namespace dragonflysill
