#include "dragonflysill/machines/waverunner.h"

#include "dragonflysill/base/storekeys.h"

#include <optional>
#include <set>
#include <utility>

namespace dragonflysill {

namespace internal {

std::set<std::string> waveNames(const Configuration &configuration,
                                const ByName<WaveProgress> &waves)
{
    std::set<std::string> names;
    for (const auto &it : configuration.maintenance)
        names.insert(it.first);
    for (const auto &it : waves)
        names.insert(it.first);
    return names;
}

std::optional<FleetEvent> waveEvent(const WaveProgress *before, const WaveProgress &after,
                                    const std::string &reason)
{
    const bool started = before == nullptr || before->ticket != after.ticket;
    if (!started && before->state == after.state)
        return std::nullopt;
    if (after.state == WaveState::Finished || after.state == WaveState::Cancelled)
        return FleetEvent{FleetEvent::Kind::WaveFinished, after.name,
                          std::string(toText(after.state))};
    if (after.state == WaveState::Paused)
        return FleetEvent{FleetEvent::Kind::WavePaused, after.name, reason};
    return FleetEvent{started ? FleetEvent::Kind::WaveStarted : FleetEvent::Kind::WaveResumed,
                      after.name,
                      {}};
}

WaveStatus waveStatus(const WaveProgress &progress, const WavePlan &plan)
{
    WaveStatus status;
    status.name = progress.name;
    status.ticket = progress.ticket;
    status.state = progress.state;
    status.total = plan.total;
    status.done = static_cast<int>(progress.done.size());
    for (const auto &it : progress.active)
        status.active.push_back(it.first);
    status.sinceMs = progress.sinceMs;
    status.reason = plan.reason;
    status.remedy = plan.remedy;
    return status;
}

} // namespace internal

ByName<WaveProgress> WaveRunner::stored(const StoreOverview &overview)
{
    ByName<WaveProgress> waves;
    for (const auto &it : overview.waves) {
        auto progress = decodeWave(it.second.value);
        if (progress)
            waves.emplace(it.first, std::move(*progress));
    }
    return waves;
}

std::vector<WaveStatus> WaveRunner::run(const FleetInputs &inputs,
                                        const ByName<DeclaredInstance> &declared,
                                        const SharedBuffer &buffer, const Compare &condition,
                                        ByName<WaveProgress> &waves,
                                        std::vector<FleetEvent> &events)
{
    WaveBudget budget(inputs, declared, waves, buffer);
    WavePlanner planner(inputs, declared, budget);
    std::vector<WaveStatus> statuses;
    for (const auto &name : internal::waveNames(inputs.configuration, waves)) {
        const auto order = inputs.configuration.maintenance.find(name);
        const auto before = waves.find(name);
        const WaveProgress *stored = before == waves.end() ? nullptr : &before->second;
        const auto plan = planner.decide(
                order == inputs.configuration.maintenance.end() ? nullptr : &order->second, stored);
        const WaveProgress *next = plan.progress ? &*plan.progress : nullptr;
        const bool changed = next == nullptr || stored == nullptr || !(*next == *stored);
        if (changed && !write(condition, stored, next))
            continue;
        if (next == nullptr) {
            waves.erase(before);
            continue;
        }
        if (auto event = internal::waveEvent(stored, *next, plan.reason))
            events.push_back(std::move(*event));
        statuses.push_back(internal::waveStatus(*next, plan));
        waves.insert_or_assign(name, *next);
    }
    return statuses;
}

bool WaveRunner::write(const Compare &condition, const WaveProgress *before,
                       const WaveProgress *after)
{
    FencedWrite write;
    write.key = storekeys::join(storekeys::waves, before != nullptr ? before->name : after->name);
    if (before != nullptr)
        write.before = encodeWave(*before);
    if (after != nullptr)
        write.after = encodeWave(*after);
    write.conditions.push_back(condition);
    return m_writer.write(write).kind == WriteOutcome::Kind::Written;
}

} // namespace dragonflysill
