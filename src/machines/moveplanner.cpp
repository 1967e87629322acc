#include "dragonflysill/machines/moveplanner.h"

#include <utility>

namespace dragonflysill {

namespace internal {

MoveVerdict replaceRecord(const InstanceRecord &before, InstanceRecord after)
{
    MoveVerdict verdict;
    verdict.change = RecordChange{before, std::move(after)};
    return verdict;
}

MoveVerdict waitFor(std::string reason, std::string remedy)
{
    MoveVerdict verdict;
    verdict.reason = std::move(reason);
    verdict.remedy = std::move(remedy);
    return verdict;
}

bool sameMachine(const InstanceRecord &record, const InstanceDeclaration &declaration)
{
    return record.address == declaration.address && record.zone == declaration.zone
           && record.rack == declaration.rack;
}

std::string joinNames(const std::vector<std::string> &names)
{
    std::string text;
    for (const auto &it : names)
        text += (text.empty() ? "" : ", ") + it;
    return text;
}

} // namespace internal

MovePlanner::MovePlanner(const FleetInputs &inputs, PoolCapacity &capacity, MoveSettings settings)
    : m_inputs(inputs)
    , m_capacity(capacity)
    , m_settings(settings)
{
}

MoveVerdict MovePlanner::decide(std::string_view name, const DeclaredInstance *declared,
                                MaintenanceNeed need)
{
    const auto it = m_inputs.records.find(name);
    if (it == m_inputs.records.end())
        return declared != nullptr ? create(name, *declared) : MoveVerdict();
    const InstanceRecord &record = it->second;
    switch (record.phase) {
    case InstancePhase::Serving:
        return decideServing(record, declared, need);
    case InstancePhase::Leaving:
        return decideLeaving(record, declared, need);
    case InstancePhase::Warming:
        return decideWarming(record, declared, need);
    case InstancePhase::Maintenance:
        return decideMaintenance(record, declared, need);
    case InstancePhase::Failed:
        return decideFailed(record, declared);
    }
    return {};
}

MoveVerdict MovePlanner::create(std::string_view name, const DeclaredInstance &declared) const
{
    InstanceRecord record;
    record.name = std::string(name);
    record.address = declared.declaration.address;
    record.zone = declared.declaration.zone;
    record.rack = declared.declaration.rack;
    record.pool = declared.pool;
    record.epoch = m_inputs.revision;
    record.phase = InstancePhase::Warming;
    record.sinceMs = m_inputs.nowMs;
    MoveVerdict verdict;
    verdict.change = RecordChange{std::nullopt, std::move(record)};
    return verdict;
}

MoveVerdict MovePlanner::decideServing(const InstanceRecord &record,
                                       const DeclaredInstance *declared, MaintenanceNeed need)
{
    if (declared == nullptr)
        return startLeaving(record, {});
    if (declared->pool != record.pool || !internal::sameMachine(record, declared->declaration))
        return startLeaving(record, declared->pool);
    if (platformState(record.name) == PlatformState::Terminated) {
        InstanceRecord after = record;
        after.phase = InstancePhase::Failed;
        after.sinceMs = m_inputs.nowMs;
        return internal::replaceRecord(record, std::move(after));
    }
    if (need == MaintenanceNeed::Start)
        return startLeaving(record, record.pool);
    return {};
}

MoveVerdict MovePlanner::decideLeaving(const InstanceRecord &record,
                                       const DeclaredInstance *declared, MaintenanceNeed need) const
{
    const bool unchanged = declared != nullptr && declared->pool == record.pool
                           && internal::sameMachine(record, declared->declaration);
    if (unchanged && need != MaintenanceNeed::Start)
        return join(record, *declared);
    auto missing = missingAcknowledgements(record);
    if (!missing.empty()) {
        MoveVerdict verdict;
        if (m_inputs.nowMs - record.sinceMs >= m_settings.drainDeadline.count()) {
            verdict = internal::waitFor(
                    "no acknowledgement from " + internal::joinNames(missing)
                            + " since the drain deadline",
                    "restart or reconnect the entry process, or terminate its instance");
        }
        verdict.waitingFor = std::move(missing);
        return verdict;
    }
    if (declared == nullptr) {
        MoveVerdict verdict;
        verdict.change = RecordChange{record, std::nullopt};
        return verdict;
    }
    if (!unchanged)
        return join(record, *declared);
    InstanceRecord after = record;
    after.phase = InstancePhase::Maintenance;
    after.targetPool.clear();
    after.sinceMs = m_inputs.nowMs;
    return internal::replaceRecord(record, std::move(after));
}

MoveVerdict MovePlanner::decideWarming(const InstanceRecord &record,
                                       const DeclaredInstance *declared, MaintenanceNeed need)
{
    const bool unchanged = declared != nullptr && declared->pool == record.pool
                           && internal::sameMachine(record, declared->declaration);
    const bool down = platformState(record.name) == PlatformState::Terminated;
    if (!unchanged || down)
        return decideServing(record, declared, need);
    if (m_inputs.nowMs - record.sinceMs < m_settings.warmUp.count())
        return {};
    InstanceRecord after = record;
    after.phase = InstancePhase::Serving;
    after.sinceMs = m_inputs.nowMs;
    return internal::replaceRecord(record, std::move(after));
}

MoveVerdict MovePlanner::decideMaintenance(const InstanceRecord &record,
                                           const DeclaredInstance *declared,
                                           MaintenanceNeed need) const
{
    if (declared == nullptr) {
        MoveVerdict verdict;
        verdict.change = RecordChange{record, std::nullopt};
        return verdict;
    }
    if (need == MaintenanceNeed::Start)
        return {};
    return join(record, *declared);
}

MoveVerdict MovePlanner::decideFailed(const InstanceRecord &record,
                                      const DeclaredInstance *declared) const
{
    if (declared == nullptr || declared->pool != record.pool
        || !internal::sameMachine(record, declared->declaration)) {
        InstanceRecord after = record;
        after.phase = InstancePhase::Leaving;
        after.targetPool = declared == nullptr ? std::string() : declared->pool;
        after.sinceMs = m_inputs.nowMs;
        return internal::replaceRecord(record, std::move(after));
    }
    if (platformState(record.name) == PlatformState::Live)
        return join(record, *declared);
    return internal::waitFor("the platform reports the instance as terminated",
                             "repair or replace the instance, or remove it with a ticket");
}

MoveVerdict MovePlanner::startLeaving(const InstanceRecord &record, std::string targetPool)
{
    const bool serving = record.phase == InstancePhase::Serving;
    // No caller uses a spare instance, so lending it needs no budget; its maintenance does.
    const auto pool = m_inputs.configuration.pools.find(record.pool);
    const bool spare = pool != m_inputs.configuration.pools.end() && pool->second.spare;
    const bool lends = spare && targetPool != record.pool;
    if (serving && !lends && m_capacity.headroom(record.pool) < 1) {
        return internal::waitFor("the availability budget of pool " + record.pool + " is used up",
                                 "raise max_unavailable, or repair the pool's instances");
    }
    if (serving)
        m_capacity.takeOut(record.pool);
    InstanceRecord after = record;
    after.phase = InstancePhase::Leaving;
    after.targetPool = std::move(targetPool);
    after.sinceMs = m_inputs.nowMs;
    return internal::replaceRecord(record, std::move(after));
}

MoveVerdict MovePlanner::join(const InstanceRecord &record, const DeclaredInstance &declared) const
{
    InstanceRecord after = record;
    after.address = declared.declaration.address;
    after.zone = declared.declaration.zone;
    after.rack = declared.declaration.rack;
    after.pool = declared.pool;
    after.epoch = record.epoch + 1;
    after.phase = InstancePhase::Warming;
    after.targetPool.clear();
    after.sinceMs = m_inputs.nowMs;
    return internal::replaceRecord(record, std::move(after));
}

std::vector<std::string> MovePlanner::missingAcknowledgements(const InstanceRecord &r) const
{
    std::vector<std::string> missing;
    for (const auto &it : m_inputs.entries) {
        if (m_inputs.acknowledgements.has(it, r.name, r.epoch))
            continue;
        if (platformState(it) != PlatformState::Terminated)
            missing.push_back(it);
    }
    return missing;
}

std::optional<PlatformState> MovePlanner::platformState(std::string_view name) const
{
    const auto it = m_inputs.platform.find(name);
    if (it == m_inputs.platform.end())
        return std::nullopt;
    return it->second;
}

} // namespace dragonflysill
