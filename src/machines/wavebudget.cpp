#include "dragonflysill/machines/wavebudget.h"

#include <algorithm>
#include <set>

namespace dragonflysill {

namespace internal {

std::string rackName(const DeclaredInstance &instance)
{
    return instance.declaration.zone + "/" + instance.declaration.rack;
}

std::set<std::string_view> admittedInstances(const ByName<WaveProgress> &waves)
{
    std::set<std::string_view> names;
    for (const auto &wave : waves) {
        for (const auto &it : wave.second.active)
            names.insert(it.first);
    }
    return names;
}

} // namespace internal

WaveBudget::WaveBudget(const FleetInputs &inputs, const ByName<DeclaredInstance> &declared,
                       const ByName<WaveProgress> &waves, const SharedBuffer &buffer)
    : m_idleSpares(buffer.idleInstances(inputs.records))
{
    const auto spare = inputs.configuration.pools.find(buffer.sparePool());
    const int spareSize = spare == inputs.configuration.pools.end()
                                  ? 0
                                  : static_cast<int>(spare->second.instances.size())
                                            - spare->second.maxUnavailable;
    for (const auto &it : inputs.configuration.pools) {
        Count &count = m_counts[it.first];
        count.budget = it.second.maxUnavailable;
        count.spare = it.second.spare;
        count.burstExcess = std::max(0, std::min(buffer.burstExcess(it.first), spareSize));
    }
    const auto admitted = internal::admittedInstances(waves);
    for (const auto &it : declared) {
        Count &count = m_counts[it.second.pool];
        ++count.declared;
        const auto record = inputs.records.find(it.first);
        const bool own = record != inputs.records.end() && record->second.pool == it.second.pool;
        if (own && record->second.phase == InstancePhase::Failed)
            ++count.failed;
        if (!own || record->second.phase != InstancePhase::Serving || admitted.contains(it.first))
            ++count.unavailable;
        else
            ++count.servingByRack[internal::rackName(it.second)];
    }
}

bool WaveBudget::canTakeOutOfService(const DeclaredInstance &instance) const
{
    const auto it = m_counts.find(instance.pool);
    if (it == m_counts.end())
        return false;
    const Count &count = it->second;
    if (count.unavailable + 1 > count.budget || !coversBurst(count))
        return false;
    if (count.unavailable == 0)
        return true;
    const auto rack = internal::rackName(instance);
    int worstRack = 0;
    for (const auto &n : count.servingByRack)
        worstRack = std::max(worstRack, n.second - (n.first == rack ? 1 : 0));
    return count.unavailable + 1 + worstRack <= count.budget;
}

bool WaveBudget::coversBurst(const Count &count) const
{
    if (count.spare)
        return true;
    const int serving = count.declared - count.unavailable - 1;
    return serving + m_idleSpares >= count.declared - count.budget + count.burstExcess;
}

void WaveBudget::takeOutOfService(const DeclaredInstance &instance)
{
    const auto it = m_counts.find(instance.pool);
    if (it == m_counts.end())
        return;
    ++it->second.unavailable;
    --it->second.servingByRack[internal::rackName(instance)];
    if (it->second.spare)
        --m_idleSpares;
}

int WaveBudget::failedInstances(std::string_view pool) const
{
    const auto it = m_counts.find(pool);
    return it == m_counts.end() ? 0 : it->second.failed;
}

std::string WaveBudget::describeLimit(std::string_view pool) const
{
    const auto it = m_counts.find(pool);
    if (it == m_counts.end())
        return "pool " + std::string(pool) + " is not declared";
    const Count &count = it->second;
    if (count.unavailable + 1 <= count.budget && !coversBurst(count))
        return "pool " + std::string(pool) + " needs its instances and the idle spares for a burst";
    return "pool " + std::string(pool) + " has " + std::to_string(count.unavailable)
           + " of at most " + std::to_string(count.budget) + " instances unavailable, "
           + std::to_string(count.failed) + " of them failed";
}

} // namespace dragonflysill
