#include "dragonflysill/machines/fleetrunner.h"

#include "dragonflysill/base/storekeys.h"

#include <algorithm>
#include <utility>

namespace dragonflysill {

namespace internal {

std::vector<std::string> allPools(const FleetInputs &inputs)
{
    std::set<std::string> pools;
    for (const auto &it : inputs.configuration.pools)
        pools.insert(it.first);
    for (const auto &it : inputs.records)
        pools.insert(it.second.pool);
    return {pools.begin(), pools.end()};
}

std::vector<std::string> namesOf(const ByName<KeyValue> &keys)
{
    std::vector<std::string> names;
    names.reserve(keys.size());
    for (const auto &it : keys)
        names.push_back(it.first);
    return names;
}

const InstanceRecord &subjectOf(const RecordChange &change)
{
    return change.before ? *change.before : *change.after;
}

FleetEvent phaseEvent(const RecordChange &change)
{
    const auto &subject = subjectOf(change);
    if (!change.after)
        return {FleetEvent::Kind::PhaseChanged, subject.name, "removed"};
    return {FleetEvent::Kind::PhaseChanged, subject.name,
            std::string(toText(change.after->phase)) + " in " + change.after->pool + " epoch "
                    + std::to_string(change.after->epoch)};
}

std::optional<FleetEvent> moveEvent(const RecordChange &change)
{
    if (!change.before)
        return std::nullopt;
    const auto &before = *change.before;
    if (change.after && before.pool != change.after->pool)
        return FleetEvent{FleetEvent::Kind::MoveFinished, before.name,
                          before.pool + " to " + change.after->pool};
    if (!change.after)
        return FleetEvent{FleetEvent::Kind::MoveFinished, before.name, before.pool + " to none"};
    const bool leaves = before.phase != InstancePhase::Leaving
                        && change.after->phase == InstancePhase::Leaving;
    if (!leaves || change.after->targetPool == before.pool)
        return std::nullopt;
    return FleetEvent{
            FleetEvent::Kind::MoveStarted, before.name,
            before.pool + " to "
                    + (change.after->targetPool.empty() ? "none" : change.after->targetPool)};
}

/** Returns the status of an instance that is moving, joining or unavailable. */
std::optional<MoveStatus> moveStatus(const FleetInputs &inputs, const InstanceRecord &record,
                                     const DeclaredInstance *declared, const MoveVerdict &verdict)
{
    const bool moves = declared == nullptr || declared->pool != record.pool;
    const bool joins = record.phase == InstancePhase::Warming;
    if (!moves && !joins && verdict.reason.empty() && verdict.waitingFor.empty())
        return std::nullopt;
    MoveStatus status;
    status.instance = record.name;
    status.fromPool = joins ? std::string() : record.pool;
    status.toPool = declared == nullptr ? std::string() : declared->pool;
    status.phase = record.phase;
    status.epoch = record.epoch;
    const auto pool = inputs.configuration.pools.find(status.toPool);
    status.ticket = pool == inputs.configuration.pools.end() ? 0 : pool->second.ticket;
    status.sinceMs = record.sinceMs;
    status.waitingFor = verdict.waitingFor;
    status.reason = verdict.reason;
    status.remedy = verdict.remedy;
    return status;
}

} // namespace internal

FleetRunner::FleetRunner(std::string self, Store &store, const Fence &fence,
                         FleetPlatform &platform, MoveSettings settings)
    : m_self(std::move(self))
    , m_store(store)
    , m_fence(fence)
    , m_platform(platform)
    , m_settings(settings)
    , m_writer(store, fence)
    , m_leases(m_self, m_writer)
    , m_waves(m_writer)
{
}

FleetReport FleetRunner::runPass(FleetInputs inputs)
{
    FleetReport report;
    report.status.revision = inputs.revision;
    report.status.atMs = inputs.nowMs;
    auto overview = readOverview(m_store, m_fence, m_self);
    if (!overview) {
        report.error = overview.error();
        return report;
    }
    updateOwnership(inputs, *overview, report);
    removeTerminatedEntries(inputs, *overview, report);
    inputs.entries = internal::namesOf(overview->entries);
    auto declared = declaredInstances(inputs.configuration);
    const SharedBuffer buffer(inputs.configuration);
    if (report.ownedPools.contains(buffer.sparePool()))
        report.status.buffer = buffer.status(inputs.records);
    const auto waves = runWaves(inputs, declared, buffer, *overview, report);
    assignSpares(inputs, buffer.sparePool(), declared);
    decideInstances(inputs, declared, waves, report);
    requestReboots(inputs, waves, report);
    runPlacement(inputs, report);
    return report;
}

void FleetRunner::updateOwnership(const FleetInputs &inputs, StoreOverview &overview,
                                  FleetReport &report)
{
    const auto pools = internal::allPools(inputs);
    const auto taken = m_leases.update(inputs.members, pools, overview, report.events);
    for (const auto &it : pools) {
        if (m_leases.owns(overview, it))
            report.ownedPools.insert(it);
    }
    if (taken.empty())
        return;
    const auto records = m_store.range(
            {std::string(storekeys::instances), storekeys::rangeEnd(storekeys::instances)});
    for (const auto &it : taken) {
        if (!records) {
            // Without the newest records the pool cannot be run; the next pass reads them again.
            m_unknownKeys[it].insert(std::string(storekeys::instances));
            continue;
        }
        for (const auto &n : records->keyValues) {
            const auto record = decodeRecord(n.value);
            if (record && record->pool == it)
                requireRevision(it, n.modRevision);
        }
    }
}

void FleetRunner::removeTerminatedEntries(const FleetInputs &inputs, StoreOverview &overview,
                                          FleetReport &report)
{
    for (const auto &it : internal::namesOf(overview.entries)) {
        const auto fact = inputs.platform.find(it);
        if (fact == inputs.platform.end() || fact->second != PlatformState::Terminated)
            continue;
        const auto &entry = overview.entries.at(it);
        const auto outcome = m_writer.write({entry.key, entry.value, std::nullopt, 0, {}});
        if (outcome.kind != WriteOutcome::Kind::Written)
            continue;
        overview.entries.erase(it);
        report.events.push_back(
                {FleetEvent::Kind::EntryRemoved, it, "terminated in the platform's list"});
    }
}

bool FleetRunner::resolveUnknown(const std::string &pool)
{
    const auto unknown = m_unknownKeys.find(pool);
    if (unknown == m_unknownKeys.end())
        return true;
    auto &keys = unknown->second;
    while (!keys.empty()) {
        const auto &key = *keys.begin();
        const auto range = m_store.range(
                {key, key.ends_with('/') ? storekeys::rangeEnd(key) : std::string()});
        if (!range)
            return false;
        for (const auto &it : range->keyValues) {
            const auto record = decodeRecord(it.value);
            if (!record || record->pool == pool)
                requireRevision(pool, it.modRevision);
        }
        keys.erase(keys.begin());
    }
    m_unknownKeys.erase(unknown);
    return true;
}

bool FleetRunner::mayDecide(const FleetInputs &inputs, const std::string &pool)
{
    if (!resolveUnknown(pool))
        return false;
    const auto it = m_requiredRevision.find(pool);
    return it == m_requiredRevision.end() || inputs.revision >= it->second;
}

ByName<WaveProgress> FleetRunner::runWaves(const FleetInputs &inputs,
                                           const ByName<DeclaredInstance> &declared,
                                           const SharedBuffer &buffer,
                                           const StoreOverview &overview, FleetReport &report)
{
    auto waves = WaveRunner::stored(overview);
    if (inputs.configuration.pools.empty())
        return waves;
    const auto &first = inputs.configuration.pools.begin()->first;
    if (report.ownedPools.contains(first) && mayDecide(inputs, first))
        report.status.waves = m_waves.run(inputs, declared, buffer, m_leases.condition(first),
                                          waves, report.events);
    return waves;
}

void FleetRunner::addPlacement(TaskPlatform &tasks)
{
    m_placement = std::make_unique<PlacementRunner>(m_store, m_fence, tasks);
}

void FleetRunner::runPlacement(const FleetInputs &inputs, FleetReport &report)
{
    if (!m_placement || inputs.configuration.pools.empty())
        return;
    const auto &first = inputs.configuration.pools.begin()->first;
    if (!report.ownedPools.contains(first)) {
        m_placement->drop();
        return;
    }
    if (inputs.configuration.jobs.empty() && inputs.configuration.quotas.empty()
        && !m_placement->active())
        return;
    auto jobs = m_placement->step(inputs, m_leases.condition(first), report.events);
    if (jobs)
        report.status.jobs = std::move(*jobs);
    else
        report.placementError = jobs.error();
}

void FleetRunner::requestReboots(const FleetInputs &inputs, const ByName<WaveProgress> &waves,
                                 const FleetReport &report)
{
    for (const auto &it : m_reboots.decide(inputs, waves, report.ownedPools)) {
        const auto result = it.kind == PlatformRequest::Kind::Drain
                                    ? m_platform.drain(it.instance)
                                    : m_platform.reboot(it.instance);
        if (!result && result.error().is(ErrorKind::Unreachable))
            m_reboots.failed(it);
    }
}

void FleetRunner::decideInstances(const FleetInputs &inputs,
                                  const ByName<DeclaredInstance> &declared,
                                  const ByName<WaveProgress> &waves, FleetReport &report)
{
    std::set<std::string, std::less<>> ready;
    for (const auto &it : report.ownedPools) {
        if (mayDecide(inputs, it))
            ready.insert(it);
    }
    std::set<std::string_view> names;
    for (const auto &it : inputs.records)
        names.insert(it.first);
    for (const auto &it : declared)
        names.insert(it.first);
    PoolCapacity capacity(inputs.configuration, inputs.records);
    MovePlanner decision(inputs, capacity, m_settings);
    for (const auto &it : names) {
        const auto record = inputs.records.find(it);
        const auto declaration = declared.find(it);
        const auto &pool
                = record != inputs.records.end() ? record->second.pool : declaration->second.pool;
        if (!ready.contains(pool))
            continue;
        auto verdict = decision.decide(
                it, declaration == declared.end() ? nullptr : &declaration->second,
                maintenanceNeed(inputs, waves, it));
        if (record != inputs.records.end()) {
            const auto *target = declaration == declared.end() ? nullptr : &declaration->second;
            if (auto status = internal::moveStatus(inputs, record->second, target, verdict))
                report.status.moves.push_back(std::move(*status));
        }
        if (verdict.change && report.writes < maxWritesPerPass)
            apply(*verdict.change, report);
    }
}

void FleetRunner::apply(const RecordChange &change, FleetReport &report)
{
    const auto &subject = internal::subjectOf(change);
    FencedWrite write;
    write.key = storekeys::join(storekeys::instances, subject.name);
    if (change.before)
        write.before = encodeRecord(*change.before);
    if (change.after)
        write.after = encodeRecord(*change.after);
    write.conditions.push_back(m_leases.condition(subject.pool));
    ++report.writes;
    noteOutcome(change, m_writer.write(write), report);
}

void FleetRunner::noteOutcome(const RecordChange &change, const WriteOutcome &outcome,
                              FleetReport &report)
{
    const auto &subject = internal::subjectOf(change);
    requireRevision(subject.pool, outcome.modRevision);
    if (change.after)
        requireRevision(change.after->pool, outcome.modRevision);
    if (outcome.kind == WriteOutcome::Kind::Unknown)
        m_unknownKeys[subject.pool].insert(storekeys::join(storekeys::instances, subject.name));
    if (outcome.kind != WriteOutcome::Kind::Written)
        return;
    report.events.push_back(internal::phaseEvent(change));
    if (auto move = internal::moveEvent(change))
        report.events.push_back(std::move(*move));
}

void FleetRunner::requireRevision(const std::string &pool, std::int64_t revision)
{
    auto &required = m_requiredRevision[pool];
    required = std::max(required, revision);
}

} // namespace dragonflysill
