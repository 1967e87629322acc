#include "fleetmetrics.h"

#include <algorithm>
#include <string>

namespace dragonflysill {

namespace internal {

prometheus::Counter &addCounter(prometheus::Registry &registry, const std::string &name,
                                const std::string &help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
}

prometheus::Gauge &addBufferGauge(prometheus::Registry &registry, const std::string &kind)
{
    return prometheus::BuildGauge()
            .Name("dragonflysill_buffer_instances")
            .Help("Instances of the shared buffer: idle now (the buffer cost), required, and "
                  "required with a separate buffer for each pool (baseline).")
            .Register(registry)
            .Add({{"kind", kind}});
}

prometheus::Histogram &addRolloutHistogram(prometheus::Registry &registry)
{
    return prometheus::BuildHistogram()
            .Name("dragonflysill_rollout_seconds")
            .Help("Time from the arrival of a ticket in this process until the moves of its pools "
                  "are complete.")
            .Register(registry)
            .Add({}, prometheus::Histogram::BucketBoundaries{1, 2, 5, 10, 20, 60, 300, 3600});
}

bool isMoving(const MoveStatus &status)
{
    return status.phase == InstancePhase::Warming || status.fromPool != status.toPool;
}

} // namespace internal

FleetMetrics::FleetMetrics(prometheus::Registry &registry)
    : m_moves(internal::addCounter(registry, "dragonflysill_moves_total",
                                   "Instances moved between pools by this process."))
    , m_passErrors(internal::addCounter(registry, "dragonflysill_fleet_pass_errors_total",
                                        "Fleet passes that ended early."))
    , m_bufferIdle(internal::addBufferGauge(registry, "idle"))
    , m_bufferRequired(internal::addBufferGauge(registry, "required"))
    , m_bufferBaseline(internal::addBufferGauge(registry, "baseline"))
    , m_rollout(internal::addRolloutHistogram(registry))
{
}

void FleetMetrics::update(const FleetReport &report, std::int64_t ticket, std::int64_t nowMs)
{
    if (report.error)
        m_passErrors.Increment();
    for (const auto &it : report.events) {
        if (it.kind == FleetEvent::Kind::MoveFinished)
            m_moves.Increment();
    }
    if (report.error)
        return;
    m_bufferIdle.Set(report.status.buffer.idleInstances);
    m_bufferRequired.Set(report.status.buffer.requiredInstances);
    m_bufferBaseline.Set(report.status.buffer.baselineInstances);
    updateRollout(report, ticket, nowMs);
}

void FleetMetrics::updateRollout(const FleetReport &report, std::int64_t ticket, std::int64_t nowMs)
{
    if (ticket != m_ticket) {
        m_ticket = ticket;
        m_ticketArrivedMs = nowMs;
    }
    const auto &moves = report.status.moves;
    // The status of a pass does not yet contain the records that the pass created.
    const bool hasOpenMoves
            = report.writes > 0 || std::any_of(moves.begin(), moves.end(), internal::isMoving);
    if (m_ticketArrivedMs == 0 || hasOpenMoves)
        return;
    constexpr double msPerSecond = 1000;
    m_rollout.Observe(static_cast<double>(nowMs - m_ticketArrivedMs) / msPerSecond);
    m_ticketArrivedMs = 0;
}

} // namespace dragonflysill
