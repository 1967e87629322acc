#include "fleetloop.h"

#include "dragonflysill/base/time.h"

#include <utility>

namespace dragonflysill {

namespace internal {

EventKind timelineKind(FleetEvent::Kind kind)
{
    switch (kind) {
    case FleetEvent::Kind::OwnerChanged:
        return EventKind::PoolOwnerChanged;
    case FleetEvent::Kind::PhaseChanged:
        return EventKind::InstancePhaseChanged;
    case FleetEvent::Kind::MoveStarted:
        return EventKind::MoveStarted;
    case FleetEvent::Kind::MoveFinished:
        return EventKind::MoveFinished;
    case FleetEvent::Kind::EntryRemoved:
        return EventKind::MemberLeft;
    case FleetEvent::Kind::WaveStarted:
        return EventKind::WaveStarted;
    case FleetEvent::Kind::WavePaused:
        return EventKind::WavePaused;
    case FleetEvent::Kind::WaveResumed:
        return EventKind::WaveResumed;
    case FleetEvent::Kind::WaveFinished:
        return EventKind::WaveFinished;
    case FleetEvent::Kind::TaskPlaced:
        return EventKind::TaskPlaced;
    case FleetEvent::Kind::TaskRefused:
        return EventKind::TaskRefused;
    case FleetEvent::Kind::WorkerQuarantined:
        return EventKind::WorkerQuarantined;
    case FleetEvent::Kind::LeaseLost:
        return EventKind::LeaseLost;
    }
    return EventKind::LeaseLost;
}

} // namespace internal

FleetLoop::FleetLoop(ControlContext &context)
    : m_context(context)
    , m_platform(context.platformAddress)
    , m_workers({context.platformAddress, context.name})
    , m_runner(context.name, context.store, context.fence, m_platform)
    , m_metrics(*context.registry)
{
    if (!context.platformAddress.empty())
        m_runner.addPlacement(m_workers);
    m_context.view.onChange([this](const ViewPointer &) { m_wake.notify_one(); });
}

FleetLoop::~FleetLoop()
{
    stop();
}

void FleetLoop::start()
{
    m_thread = std::thread([this] { run(); });
}

void FleetLoop::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_one();
    if (m_thread.joinable())
        m_thread.join();
}

void FleetLoop::run()
{
    do
        pass();
    while (waitForNextPass());
}

bool FleetLoop::waitForNextPass()
{
    std::unique_lock lock(m_mutex);
    if (m_wake.wait_for(lock, minPassInterval, [this] { return m_stopping; }))
        return false;
    m_wake.wait_for(lock, passInterval - minPassInterval);
    return !m_stopping;
}

void FleetLoop::pass()
{
    const auto view = m_context.view.get();
    PassTrigger trigger = collectTrigger(view->revision);
    const std::int64_t nowMs = unixMilliseconds();
    if (!m_gate.isPassNeeded(trigger, nowMs))
        return;
    const FleetReport report = m_runner.runPass(collectInputs(*view, trigger, nowMs));
    publish(report, view->configuration.ticket);
    m_gate.recordPass(std::move(trigger), report, nowMs);
}

PassTrigger FleetLoop::collectTrigger(std::int64_t revision)
{
    PassTrigger trigger;
    trigger.revision = revision;
    for (const auto &it : m_context.reports.snapshot()) {
        for (const auto &n : it.drained)
            trigger.acknowledgements.add(it.name, n.name, n.epoch);
    }
    if (auto platform = m_platform.instances())
        trigger.platform = std::move(*platform);
    return trigger;
}

FleetInputs FleetLoop::collectInputs(const View &view, const PassTrigger &trigger,
                                     std::int64_t nowMs)
{
    FleetInputs inputs;
    inputs.revision = view.revision;
    inputs.nowMs = nowMs;
    inputs.configuration = view.configuration;
    inputs.records = view.instances;
    for (const auto &it : view.members)
        inputs.members.push_back(it.first);
    inputs.acknowledgements = trigger.acknowledgements;
    inputs.platform = trigger.platform;
    return inputs;
}

void FleetLoop::publish(const FleetReport &report, std::int64_t ticket)
{
    m_metrics.note(report, ticket, unixMilliseconds());
    for (const auto &it : report.events)
        m_context.timeline.record(internal::timelineKind(it.kind), it.subject, it.detail);
    if (report.error) {
        publishError(*report.error);
        return;
    }
    FleetStatus status = report.status;
    status.movesFinished = m_metrics.moves();
    if (report.placementError) {
        status.jobs = m_context.fleetStatus->get().jobs;
        for (auto &it : status.jobs) {
            it.reason = report.placementError->text();
            it.remedy = "no task is started until store and platform answer";
        }
    }
    m_context.fleetStatus->set(std::move(status));
}

void FleetLoop::publishError(const Error &error)
{
    FleetStatus status = m_context.fleetStatus->get();
    for (auto &it : status.moves) {
        it.reason = error.text();
        it.remedy = "no change is made until the store answers; restore the store";
    }
    m_context.fleetStatus->set(std::move(status));
}

} // namespace dragonflysill
