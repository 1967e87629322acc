#include "dragonflysill/machines/poolcapacity.h"

namespace dragonflysill {

PoolCapacity::PoolCapacity(const Configuration &configuration,
                           const ByName<InstanceRecord> &records)
{
    for (const auto &it : configuration.pools) {
        Count &count = m_counts[it.first];
        count.declared = static_cast<int>(it.second.instances.size());
        count.budget = it.second.maxUnavailable;
    }
    for (const auto &it : records) {
        if (it.second.phase == InstancePhase::Serving)
            ++m_counts[it.second.pool].serving;
    }
}

int PoolCapacity::headroom(std::string_view pool) const
{
    const auto it = m_counts.find(pool);
    if (it == m_counts.end())
        return 0;
    return it->second.budget - unavailable(pool);
}

int PoolCapacity::unavailable(std::string_view pool) const
{
    const auto it = m_counts.find(pool);
    return it == m_counts.end() ? 0 : it->second.declared - it->second.serving;
}

void PoolCapacity::takeOutOfService(std::string_view pool)
{
    const auto it = m_counts.find(pool);
    if (it != m_counts.end())
        --it->second.serving;
}

} // namespace dragonflysill
