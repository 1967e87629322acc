#include "dragonflysill/zones/rollout.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace dragonflysill {

namespace internal {

std::vector<std::string> membersBehind(const View &view, std::span<const MemberReport> reports,
                                       std::string_view self, std::int64_t revision)
{
    std::vector<std::string> behind;
    for (const auto &it : view.members) {
        const auto &name = it.first;
        const auto report = std::find_if(reports.begin(), reports.end(),
                                         [&](const MemberReport &r) { return r.name == name; });
        std::int64_t applied = 0;
        if (report != reports.end())
            applied = report->appliedRevision;
        else if (name == self)
            applied = view.revision;
        if (applied < revision)
            behind.push_back(name);
    }
    return behind;
}

/** Returns true if the instance is in the pool and not moving; it may have failed there. */
bool hasCompletedMove(const View &view, const std::string &instance, const std::string &pool)
{
    const auto record = view.instances.find(instance);
    if (record == view.instances.end() || record->second.pool != pool)
        return false;
    const InstancePhase phase = record->second.phase;
    return record->second.targetPool.empty() && phase != InstancePhase::Leaving
           && phase != InstancePhase::Warming;
}

std::vector<std::string> movingInstances(const View &view, std::int64_t ticket)
{
    std::vector<std::string> moving;
    for (const auto &[name, pool] : view.configuration.pools) {
        if (pool.ticket != ticket)
            continue;
        for (const auto &instance : pool.instances) {
            if (!hasCompletedMove(view, instance.name, name))
                moving.push_back(instance.name);
        }
    }
    return moving;
}

} // namespace internal

void RolloutTracker::accepted(std::int64_t ticket, std::int64_t revision, std::int64_t acceptedMs)
{
    if (find(ticket))
        return;
    Rollout rollout;
    rollout.ticket = ticket;
    rollout.revision = revision;
    rollout.acceptedMs = acceptedMs;
    m_rollouts.push_back(std::move(rollout));
    std::sort(m_rollouts.begin(), m_rollouts.end(),
              [](const Rollout &a, const Rollout &b) { return a.ticket < b.ticket; });
    if (m_rollouts.size() <= rolloutLimit)
        return;
    const auto oldest = std::find_if(m_rollouts.begin(), m_rollouts.end(),
                                     [](const Rollout &r) { return r.completeMs.has_value(); });
    m_rollouts.erase(oldest == m_rollouts.end() ? m_rollouts.begin() : oldest);
}

std::vector<Rollout> RolloutTracker::update(const View &view, std::span<const MemberReport> reports,
                                            std::string_view self, std::int64_t nowMs)
{
    std::vector<Rollout> completed;
    for (auto &it : m_rollouts) {
        if (it.completeMs)
            continue;
        it.waitingMembers = internal::membersBehind(view, reports, self, it.revision);
        if (view.revision < it.revision)
            continue;
        if (it.waitingMembers.empty() && !it.inEffectMs)
            it.inEffectMs = nowMs;
        it.waitingInstances = internal::movingInstances(view, it.ticket);
        if (!it.inEffectMs || !it.waitingInstances.empty())
            continue;
        it.waitingMembers.clear();
        it.completeMs = nowMs;
        completed.push_back(it);
    }
    return completed;
}

std::optional<Rollout> RolloutTracker::find(std::int64_t ticket) const
{
    for (const auto &it : m_rollouts) {
        if (it.ticket == ticket)
            return it;
    }
    return std::nullopt;
}

std::vector<Rollout> RolloutTracker::all() const
{
    return {m_rollouts.begin(), m_rollouts.end()};
}

std::size_t RolloutTracker::openCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_rollouts.begin(), m_rollouts.end(),
                          [](const Rollout &it) { return !it.completeMs; }));
}

std::string encodeRollout(const Rollout &rollout)
{
    nlohmann::json json{{"ticket", rollout.ticket},
                        {"revision", rollout.revision},
                        {"accepted_ms", rollout.acceptedMs},
                        {"in_effect_ms", nullptr},
                        {"complete_ms", nullptr},
                        {"waiting_members", rollout.waitingMembers},
                        {"waiting_instances", rollout.waitingInstances}};
    if (rollout.inEffectMs)
        json["in_effect_ms"] = *rollout.inEffectMs;
    if (rollout.completeMs)
        json["complete_ms"] = *rollout.completeMs;
    return json.dump();
}

Result<Rollout> decodeRollout(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object())
        return Error(ErrorKind::Corrupt, "roll-out is not a JSON object");
    try {
        Rollout rollout;
        json.at("ticket").get_to(rollout.ticket);
        json.at("revision").get_to(rollout.revision);
        json.at("accepted_ms").get_to(rollout.acceptedMs);
        if (!json.at("in_effect_ms").is_null())
            rollout.inEffectMs = json["in_effect_ms"].get<std::int64_t>();
        if (!json.at("complete_ms").is_null())
            rollout.completeMs = json["complete_ms"].get<std::int64_t>();
        json.at("waiting_members").get_to(rollout.waitingMembers);
        json.at("waiting_instances").get_to(rollout.waitingInstances);
        return rollout;
    } catch (const nlohmann::json::exception &e) {
        return Error(ErrorKind::Corrupt, e.what());
    }
}

} // namespace dragonflysill
