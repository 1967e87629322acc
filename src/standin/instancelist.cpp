#include "dragonflysill/standin/instancelist.h"

#include <algorithm>

namespace dragonflysill {

std::string_view toText(PlatformInstanceState state)
{
    switch (state) {
    case PlatformInstanceState::Live:
        return "live";
    case PlatformInstanceState::Leaving:
        return "leaving";
    case PlatformInstanceState::Terminated:
        return "terminated";
    }
    return "";
}

void InstanceList::record(TimePoint now)
{
    Snapshot snapshot{now, {}};
    for (const auto &[name, instance] : m_instances)
        snapshot.instances.push_back(instance);
    m_history.push_back(std::move(snapshot));
}

void InstanceList::finishReboots(TimePoint now)
{
    for (;;) {
        const auto first = std::min_element(
                m_rebooting.begin(), m_rebooting.end(),
                [](const auto &left, const auto &right) { return left.second < right.second; });
        if (first == m_rebooting.end() || first->second > now)
            return;
        const TimePoint end = first->second;
        const auto it = m_instances.find(first->first);
        if (it != m_instances.end() && it->second.state == PlatformInstanceState::Leaving)
            it->second.state = PlatformInstanceState::Live;
        m_rebooting.erase(first);
        record(end);
    }
}

void InstanceList::replace(const std::vector<PlatformInstance> &instances, TimePoint now)
{
    finishReboots(now);
    m_instances.clear();
    for (const PlatformInstance &it : instances)
        m_instances[it.name] = it;
    record(now);
}

void InstanceList::merge(const std::vector<PlatformInstance> &instances, TimePoint now)
{
    finishReboots(now);
    for (const PlatformInstance &it : instances)
        m_instances[it.name] = it;
    record(now);
}

Result<Done> InstanceList::drain(std::string_view name, TimePoint now)
{
    finishReboots(now);
    const auto it = m_instances.find(name);
    if (it == m_instances.end() || it->second.state == PlatformInstanceState::Terminated)
        return Error(ErrorKind::NotFound, "instance '" + std::string(name) + "'");
    it->second.state = PlatformInstanceState::Leaving;
    record(now);
    return Done{};
}

Result<Done> InstanceList::reboot(std::string_view name, TimePoint now)
{
    if (auto drained = drain(name, now); !drained)
        return drained;
    const TimePoint end = now + m_rebootTime;
    if (m_rebooting.emplace(std::string(name), end).second)
        m_reboots.push_back({std::string(name), now, end});
    return Done{};
}

std::vector<PlatformInstance> InstanceList::list(TimePoint now)
{
    finishReboots(now);
    const TimePoint visible = now - m_listLag;
    while (m_history.size() > 1 && m_history[1].time <= visible)
        m_history.pop_front();
    if (m_history.empty() || m_history.front().time > visible)
        return {};
    return m_history.front().instances;
}

std::vector<PlatformInstance> InstanceList::actual(TimePoint now)
{
    finishReboots(now);
    return m_history.empty() ? std::vector<PlatformInstance>{} : m_history.back().instances;
}

} // namespace dragonflysill
