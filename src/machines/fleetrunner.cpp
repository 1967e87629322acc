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

const InstanceRecord &changedRecord(const RecordChange &change)
{
    return change.before ? *change.before : *change.after;
}

FleetEvent phaseEvent(const RecordChange &change)
{
    const auto &record = changedRecord(change);
    if (!change.after)
        return {FleetEvent::Kind::PhaseChanged, record.name, "removed"};
    return {FleetEvent::Kind::PhaseChanged, record.name,
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

/** Returns the status of an instance that moves, joins or waits; nothing for any other. */
std::optional<MoveStatus> moveStatus(const FleetInputs &inputs, const InstanceRecord &record,
                                     const DeclaredInstance *declared, const MovePlan &plan)
{
    const bool moves = declared == nullptr || declared->pool != record.pool;
    const bool joins = record.phase == InstancePhase::Warming;
    if (!moves && !joins && plan.reason.empty() && plan.waitingFor.empty())
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
    status.waitingFor = plan.waitingFor;
    status.reason = plan.reason;
    status.remedy = plan.remedy;
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
            // The required revision of the pool is unknown; the next pass reads the records again.
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
        const auto state = inputs.platform.find(it);
        if (state == inputs.platform.end() || state->second != PlatformState::Terminated)
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

bool FleetRunner::resolveUnknownWrites(const std::string &pool)
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

bool FleetRunner::isViewCurrent(const FleetInputs &inputs, const std::string &pool)
{
    if (!resolveUnknownWrites(pool))
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
    // The owner of the first pool runs the waves of the whole fleet.
    const auto &coordinatingPool = inputs.configuration.pools.begin()->first;
    if (report.ownedPools.contains(coordinatingPool) && isViewCurrent(inputs, coordinatingPool))
        report.status.waves
                = m_waves.run(inputs, declared, buffer, m_leases.condition(coordinatingPool), waves,
                              report.events);
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
    // The owner of the first pool places the tasks of the whole fleet.
    const auto &coordinatingPool = inputs.configuration.pools.begin()->first;
    if (!report.ownedPools.contains(coordinatingPool)) {
        m_placement->reset();
        return;
    }
    if (inputs.configuration.jobs.empty() && inputs.configuration.quotas.empty()
        && !m_placement->hasState())
        return;
    auto jobs = m_placement->runPass(inputs, m_leases.condition(coordinatingPool), report.events);
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
            m_reboots.requestFailed(it);
    }
}

void FleetRunner::decideInstances(const FleetInputs &inputs,
                                  const ByName<DeclaredInstance> &declared,
                                  const ByName<WaveProgress> &waves, FleetReport &report)
{
    std::set<std::string, std::less<>> ready;
    for (const auto &it : report.ownedPools) {
        if (isViewCurrent(inputs, it))
            ready.insert(it);
    }
    std::set<std::string_view> names;
    for (const auto &it : inputs.records)
        names.insert(it.first);
    for (const auto &it : declared)
        names.insert(it.first);
    PoolCapacity capacity(inputs.configuration, inputs.records);
    MovePlanner planner(inputs, capacity, m_settings);
    for (const auto &it : names) {
        const auto record = inputs.records.find(it);
        const auto declaration = declared.find(it);
        const auto &pool
                = record != inputs.records.end() ? record->second.pool : declaration->second.pool;
        if (!ready.contains(pool))
            continue;
        auto plan
                = planner.decide(it, declaration == declared.end() ? nullptr : &declaration->second,
                                 maintenanceNeed(inputs, waves, it));
        if (record != inputs.records.end()) {
            const auto *target = declaration == declared.end() ? nullptr : &declaration->second;
            if (auto status = internal::moveStatus(inputs, record->second, target, plan))
                report.status.moves.push_back(std::move(*status));
        }
        if (plan.change && report.writes < maxWritesPerPass)
            writeChange(*plan.change, report);
    }
}

void FleetRunner::writeChange(const RecordChange &change, FleetReport &report)
{
    const auto &record = internal::changedRecord(change);
    FencedWrite write;
    write.key = storekeys::join(storekeys::instances, record.name);
    if (change.before)
        write.before = encodeRecord(*change.before);
    if (change.after)
        write.after = encodeRecord(*change.after);
    write.conditions.push_back(m_leases.condition(record.pool));
    ++report.writes;
    recordOutcome(change, m_writer.write(write), report);
}

void FleetRunner::recordOutcome(const RecordChange &change, const WriteOutcome &outcome,
                                FleetReport &report)
{
    const auto &record = internal::changedRecord(change);
    requireRevision(record.pool, outcome.modRevision);
    if (change.after)
        requireRevision(change.after->pool, outcome.modRevision);
    if (outcome.kind == WriteOutcome::Kind::Unknown)
        m_unknownKeys[record.pool].insert(storekeys::join(storekeys::instances, record.name));
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
