#include "dragonflysill/machines/poolleases.h"

#include "dragonflysill/base/storekeys.h"
#include "dragonflysill/machines/poolownership.h"

#include <utility>

namespace dragonflysill {

namespace internal {

ByName<KeyValue> byName(const RangeResult &range, std::string_view prefix)
{
    ByName<KeyValue> keys;
    for (const auto &it : range.keyValues)
        keys.insert_or_assign(it.key.substr(prefix.size()), it);
    return keys;
}

RangeOperation prefixRange(std::string_view prefix)
{
    return {std::string(prefix), storekeys::rangeEnd(prefix)};
}

} // namespace internal

Result<StoreOverview> readOverview(Store &store, const Fence &fence, std::string_view self)
{
    auto compare = fence.compare();
    if (!compare)
        return Error(ErrorKind::LeaseLost, std::string(self));
    constexpr std::size_t ranges = 4;
    Transaction transaction;
    transaction.compares.push_back(std::move(*compare));
    transaction.success.emplace_back(RangeOperation{storekeys::join(storekeys::members, self), {}});
    transaction.success.emplace_back(internal::prefixRange(storekeys::poolOwners));
    transaction.success.emplace_back(internal::prefixRange(storekeys::entries));
    transaction.success.emplace_back(internal::prefixRange(storekeys::waves));
    const auto result = store.commit(transaction);
    if (!result)
        return result.error();
    if (!result->succeeded)
        return Error(ErrorKind::LeaseLost, std::string(self));
    if (result->ranges.size() != ranges || result->ranges[0].keyValues.empty())
        return Error(ErrorKind::Corrupt, "incomplete result of the overview transaction");
    StoreOverview overview;
    overview.revision = result->revision;
    overview.lease = result->ranges[0].keyValues.front().lease;
    overview.owners = internal::byName(result->ranges[1], storekeys::poolOwners);
    overview.entries = internal::byName(result->ranges[2], storekeys::entries);
    overview.waves = internal::byName(result->ranges[3], storekeys::waves);
    return overview;
}

PoolLeases::PoolLeases(std::string self, FencedWriter &writer)
    : m_self(std::move(self))
    , m_writer(writer)
{
}

std::vector<std::string> PoolLeases::update(std::span<const std::string> members,
                                            std::span<const std::string> pools,
                                            StoreOverview &overview,
                                            std::vector<FleetEvent> &events)
{
    ByName<std::string> owners;
    for (const auto &it : overview.owners)
        owners.emplace(it.first, it.second.value);
    const auto change = decideOwnership(m_self, members, pools, owners);
    for (const auto &it : change.release) {
        const auto key = storekeys::join(storekeys::poolOwners, it);
        const auto outcome = m_writer.write({key, m_self, std::nullopt, 0, {}});
        overview.owners.erase(it);
        if (outcome.kind == WriteOutcome::Kind::Written)
            events.push_back({FleetEvent::Kind::OwnerChanged, it, "released by " + m_self});
    }
    std::vector<std::string> taken;
    for (const auto &it : change.take) {
        const auto key = storekeys::join(storekeys::poolOwners, it);
        const auto outcome = m_writer.write({key, std::nullopt, m_self, overview.lease, {}});
        if (outcome.kind != WriteOutcome::Kind::Written)
            continue;
        overview.owners[it]
                = {key, m_self, outcome.modRevision, outcome.modRevision, overview.lease};
        taken.push_back(it);
        events.push_back({FleetEvent::Kind::OwnerChanged, it, "taken by " + m_self});
    }
    return taken;
}

bool PoolLeases::owns(const StoreOverview &overview, std::string_view pool) const
{
    const auto it = overview.owners.find(pool);
    return it != overview.owners.end() && it->second.value == m_self;
}

Compare PoolLeases::condition(std::string_view pool) const
{
    return {storekeys::join(storekeys::poolOwners, pool), CompareTarget::Value,
            CompareRelation::Equal, 0, m_self};
}

} // namespace dragonflysill
