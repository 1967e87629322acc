#include "dragonflysill/machines/rebootplanner.h"

namespace dragonflysill {

std::vector<PlatformRequest>
RebootPlanner::decide(const FleetInputs &inputs, const ByName<WaveProgress> &waves,
                      const std::set<std::string, std::less<>> &ownedPools)
{
    std::vector<PlatformRequest> requests;
    ByName<bool> active;
    for (const auto &wave : waves) {
        for (const auto &it : wave.second.active) {
            const auto record = inputs.records.find(it.first);
            if (record == inputs.records.end() || !ownedPools.contains(record->second.pool)
                || record->second.phase != InstancePhase::Maintenance
                || record->second.epoch > it.second.epoch)
                continue;
            active[it.first] = it.second.drained;
        }
    }
    std::erase_if(m_sent, [&](const auto &it) { return !active.contains(it.first); });
    for (const auto &it : active)
        decideInstance(inputs, it.first, it.second, requests);
    return requests;
}

void RebootPlanner::decideInstance(const FleetInputs &inputs, const std::string &name, bool drained,
                                   std::vector<PlatformRequest> &requests)
{
    const auto state = inputs.platform.find(name);
    if (state == inputs.platform.end())
        return;
    const auto epoch = inputs.records.find(name)->second.epoch;
    const auto known = m_sent.find(name);
    Sent &sent = m_sent[name];
    if (known == m_sent.end() || sent.epoch != epoch) {
        sent = {epoch, 0, 0};
        // Without an own drain request, a previous owner may already have requested the reboot.
        if (drained)
            sent.rebootMs = inputs.nowMs - repeatInterval.count() + takeoverWait.count();
    }
    const auto isDue = [&](std::int64_t sentMs) {
        return sentMs == 0 || inputs.nowMs - sentMs >= repeatInterval.count();
    };
    if (!drained && state->second == PlatformState::Live && isDue(sent.drainMs)) {
        sent.drainMs = inputs.nowMs;
        requests.push_back({PlatformRequest::Kind::Drain, name});
    }
    if (drained && state->second == PlatformState::Leaving && isDue(sent.rebootMs)) {
        sent.rebootMs = inputs.nowMs;
        requests.push_back({PlatformRequest::Kind::Reboot, name});
    }
}

void RebootPlanner::failed(const PlatformRequest &request)
{
    const auto it = m_sent.find(request.instance);
    if (it == m_sent.end())
        return;
    if (request.kind == PlatformRequest::Kind::Drain)
        it->second.drainMs = 0;
    else
        it->second.rebootMs = 0;
}

} // namespace dragonflysill
