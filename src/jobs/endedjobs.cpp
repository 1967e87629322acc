#include "dragonflysill/jobs/endedjobs.h"

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** Minimum interval between two batches, so that removals leave room for other writes. */
constexpr Duration batchInterval = 50ms;

} // namespace internal

void EndedJobs::add(const std::string &id, TimePoint now)
{
    const auto [it, isNew] = m_endedAt.emplace(id, now);
    if (isNew)
        m_order.emplace(now, &it->first);
}

std::vector<std::string> EndedJobs::takeBatch(std::size_t limit, TimePoint now)
{
    std::vector<std::string> batch;
    if (m_inFlight || now - m_takenAt < internal::batchInterval)
        return batch;
    for (const auto &[endedAt, id] : m_order) {
        if (batch.size() >= limit || now - endedAt < m_retention)
            break;
        batch.push_back(*id);
    }
    if (!batch.empty()) {
        m_takenAt = now;
        m_inFlight = true;
    }
    return batch;
}

void EndedJobs::forget(const std::string &id)
{
    const auto it = m_endedAt.find(id);
    if (it == m_endedAt.end())
        return;
    m_order.erase({it->second, &it->first});
    m_endedAt.erase(it);
}

} // namespace dragonflysill
