#include "dragonflysill/jobs/holdschedule.h"

namespace dragonflysill {

void HoldSchedule::schedule(const std::string &worker, State &state, TimePoint at)
{
    m_waiting.erase({state.next, worker});
    state.next = at;
    m_waiting.emplace(at, worker);
}

void HoldSchedule::add(const std::string &worker, TimePoint now)
{
    if (const auto [it, added] = m_states.try_emplace(worker); added)
        schedule(worker, it->second, now);
}

std::vector<HoldSchedule::DueHold> HoldSchedule::takeDue(TimePoint now)
{
    std::vector<DueHold> due;
    while (!m_waiting.empty() && m_waiting.begin()->first <= now) {
        auto entry = m_waiting.extract(m_waiting.begin());
        m_states[entry.value().second].inFlight = true;
        due.push_back({std::move(entry.value().second), entry.value().first});
    }
    return due;
}

void HoldSchedule::answered(const std::string &worker, TimePoint next)
{
    const auto it = m_states.find(worker);
    if (it == m_states.end())
        return;
    it->second.inFlight = false;
    schedule(worker, it->second, next);
}

void HoldSchedule::bringForward(const std::string &worker, TimePoint at)
{
    const auto it = m_states.find(worker);
    if (it != m_states.end() && !it->second.inFlight && at < it->second.next)
        schedule(worker, it->second, at);
}

void HoldSchedule::remove(const std::string &worker)
{
    const auto it = m_states.find(worker);
    if (it == m_states.end())
        return;
    m_waiting.erase({it->second.next, worker});
    m_states.erase(it);
}

} // namespace dragonflysill
