#include "dragonflysill/machines/waveplanner.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace dragonflysill {

namespace internal {

/** A reboot that takes longer is reported to operators. */
constexpr std::int64_t rebootDeadlineMs = 600'000;

void changeState(WaveProgress &progress, WaveState state, std::int64_t nowMs)
{
    if (progress.state == state)
        return;
    progress.state = state;
    progress.sinceMs = nowMs;
}

WaveProgress startRound(const Maintenance &order, std::int64_t nowMs)
{
    WaveProgress progress;
    progress.name = order.name;
    progress.ticket = order.ticket;
    progress.sinceMs = nowMs;
    return progress;
}

} // namespace internal

WavePlanner::WavePlanner(const FleetInputs &inputs, const ByName<DeclaredInstance> &declared,
                         WaveBudget &budget)
    : m_inputs(inputs)
    , m_declared(declared)
    , m_budget(budget)
{
}

WavePlan WavePlanner::decide(const Maintenance *order, const WaveProgress *stored)
{
    if (order == nullptr)
        return cancel(*stored, true);
    const bool restart
            = stored != nullptr && order->ticket > stored->ticket
              && (stored->state == WaveState::Finished || stored->state == WaveState::Cancelled)
              && order->state == MaintenanceState::Running;
    WaveProgress progress
            = stored == nullptr || restart ? internal::startRound(*order, m_inputs.nowMs) : *stored;
    progress.pools = order->pools;
    if (order->state == MaintenanceState::Cancelled)
        return cancel(std::move(progress), false);
    WavePlan plan;
    plan.total = total(progress);
    if (progress.state == WaveState::Finished) {
        plan.progress = std::move(progress);
        return plan;
    }
    updateActiveInstances(progress);
    const auto names = candidates(progress);
    const bool admitted
            = order->state == MaintenanceState::Running && admit(*order, names, progress);
    updateState(*order, progress, !names.empty(), admitted, plan);
    plan.progress = std::move(progress);
    return plan;
}

WavePlan WavePlanner::cancel(WaveProgress progress, bool deleted) const
{
    updateActiveInstances(progress);
    std::erase_if(progress.active, [this](const auto &it) {
        const auto *record = findRecord(it.first);
        return record == nullptr || record->phase != InstancePhase::Maintenance;
    });
    internal::changeState(progress, WaveState::Cancelled, m_inputs.nowMs);
    WavePlan plan;
    plan.total = total(progress);
    if (!progress.active.empty())
        plan.reason = "cancelled; the instances that reboot now finish first";
    if (!deleted || !progress.active.empty())
        plan.progress = std::move(progress);
    return plan;
}

void WavePlanner::updateActiveInstances(WaveProgress &progress) const
{
    for (auto it = progress.active.begin(); it != progress.active.end();) {
        const auto *record = findRecord(it->first);
        const auto declared = m_declared.find(it->first);
        const bool covered
                = declared != m_declared.end()
                  && std::count(progress.pools.begin(), progress.pools.end(), declared->second.pool)
                             > 0;
        const bool rejoined = record != nullptr && record->epoch > it->second.epoch;
        const bool inMaintenance = record != nullptr && record->phase == InstancePhase::Maintenance;
        if (inMaintenance && platformState(it->first) == PlatformState::Leaving)
            it->second.drained = true;
        const bool rebooted = it->second.drained;
        const bool finished
                = rejoined && rebooted && record->phase == InstancePhase::Serving && covered;
        if (finished)
            progress.done.insert(it->first);
        // An instance that rejoined its pool without a reboot becomes a candidate again.
        const bool remove = record == nullptr || !covered || finished || (rejoined && !rebooted);
        it = remove ? progress.active.erase(it) : std::next(it);
    }
}

std::vector<std::string> WavePlanner::candidates(const WaveProgress &progress) const
{
    using Position = std::tuple<std::string_view, std::string_view, std::string_view>;
    std::vector<Position> positions;
    for (const auto &pool : progress.pools) {
        const auto declared = m_inputs.configuration.pools.find(pool);
        if (declared == m_inputs.configuration.pools.end())
            continue;
        for (const auto &it : declared->second.instances) {
            if (!progress.done.contains(it.name) && !progress.active.contains(it.name))
                positions.emplace_back(it.zone, it.rack, it.name);
        }
    }
    std::sort(positions.begin(), positions.end());
    std::vector<std::string> names;
    names.reserve(positions.size());
    for (const auto &it : positions)
        names.emplace_back(std::get<2>(it));
    return names;
}

bool WavePlanner::admit(const Maintenance &order, const std::vector<std::string> &names,
                        WaveProgress &progress)
{
    std::string zone;
    if (!progress.active.empty())
        zone = m_declared.find(progress.active.begin()->first)->second.declaration.zone;
    bool admitted = false;
    for (const auto &it : names) {
        if (static_cast<int>(progress.active.size()) >= order.maxParallel)
            return admitted;
        const auto &declared = m_declared.find(it)->second;
        const auto *record = findRecord(it);
        if (record == nullptr || record->phase != InstancePhase::Serving
            || record->pool != declared.pool || platformState(it) != PlatformState::Live)
            continue;
        if (!zone.empty() && declared.declaration.zone != zone)
            continue;
        if (!m_budget.canTakeOutOfService(declared))
            continue;
        m_budget.takeOutOfService(declared);
        progress.active[it] = {record->epoch, false};
        zone = declared.declaration.zone;
        admitted = true;
    }
    return admitted;
}

void WavePlanner::updateState(const Maintenance &order, WaveProgress &progress, bool remaining,
                              bool admitted, WavePlan &plan) const
{
    if (order.state == MaintenanceState::Paused) {
        internal::changeState(progress, WaveState::Paused, m_inputs.nowMs);
        plan.reason = "paused by ticket " + std::to_string(order.ticket);
        plan.remedy = "apply a ticket that sets the order's state to running";
        return;
    }
    if (!remaining && progress.active.empty()) {
        internal::changeState(progress, WaveState::Finished, m_inputs.nowMs);
        return;
    }
    const bool full = static_cast<int>(progress.active.size()) >= order.maxParallel;
    if (remaining && !admitted && !full)
        describeBlocked(progress, plan);
    const bool failures
            = std::any_of(progress.pools.begin(), progress.pools.end(),
                          [this](const auto &it) { return m_budget.failedInstances(it) > 0; });
    const bool paused = !plan.reason.empty() && (failures || progress.active.empty());
    internal::changeState(progress, paused ? WaveState::Paused : WaveState::Running,
                          m_inputs.nowMs);
    if (!paused)
        plan.reason.clear();
    for (const auto &it : progress.active) {
        const auto *record = findRecord(it.first);
        if (record->phase != InstancePhase::Maintenance
            || m_inputs.nowMs - record->sinceMs < internal::rebootDeadlineMs)
            continue;
        plan.reason = it.first + " has not returned from its reboot";
        plan.remedy = "repair the instance, or remove it from its pool with a ticket";
    }
}

void WavePlanner::describeBlocked(const WaveProgress &progress, WavePlan &plan) const
{
    for (const auto &it : progress.pools)
        plan.reason += (plan.reason.empty() ? "" : "; ") + m_budget.describeLimit(it);
    plan.remedy = "repair failed instances or raise max_unavailable of the pool";
}

const InstanceRecord *WavePlanner::findRecord(std::string_view name) const
{
    const auto it = m_inputs.records.find(name);
    return it == m_inputs.records.end() ? nullptr : &it->second;
}

std::optional<PlatformState> WavePlanner::platformState(std::string_view name) const
{
    const auto it = m_inputs.platform.find(name);
    if (it == m_inputs.platform.end())
        return std::nullopt;
    return it->second;
}

int WavePlanner::total(const WaveProgress &progress) const
{
    int sum = 0;
    for (const auto &it : progress.pools) {
        const auto pool = m_inputs.configuration.pools.find(it);
        if (pool != m_inputs.configuration.pools.end())
            sum += static_cast<int>(pool->second.instances.size());
    }
    return sum;
}

MaintenanceNeed maintenanceNeed(const FleetInputs &inputs, const ByName<WaveProgress> &waves,
                                std::string_view name)
{
    const auto record = inputs.records.find(name);
    if (record == inputs.records.end())
        return MaintenanceNeed::None;
    for (const auto &it : waves) {
        const auto admission = it.second.active.find(name);
        if (admission == it.second.active.end() || record->second.epoch > admission->second.epoch)
            continue;
        const auto state = inputs.platform.find(name);
        const bool rebooted = admission->second.drained && state != inputs.platform.end()
                              && state->second == PlatformState::Live;
        return rebooted ? MaintenanceNeed::Finished : MaintenanceNeed::Start;
    }
    return MaintenanceNeed::None;
}

} // namespace dragonflysill
