#include "runlog.h"

#include <algorithm>

namespace dragonflysill {

namespace internal {

std::int64_t countRepeated(const std::map<std::string, std::int64_t> &counts)
{
    return std::count_if(counts.begin(), counts.end(),
                         [](const auto &it) { return it.second > 1; });
}

} // namespace internal

std::int64_t RunLog::started(const RequestIdentity &identity)
{
    const std::lock_guard lock(m_mutex);
    ++m_started;
    if (!identity.idempotencyKey.empty())
        ++m_byIdempotencyKey[identity.idempotencyKey];
    if (!identity.pool.empty()) {
        ++m_byPool[identity.pool];
        ++m_inFlightByPool[identity.pool];
        if (m_inFlightByPool.size() > 1)
            ++m_mixedPools;
        if (identity.epoch < m_newestEpoch)
            ++m_lowerEpochs;
        m_newestEpoch = std::max(m_newestEpoch, identity.epoch);
    }
    return identity.requestId.empty() ? 1 : ++m_byRequestId[identity.requestId];
}

void RunLog::finished(const RequestIdentity &identity)
{
    const std::lock_guard lock(m_mutex);
    ++m_finished;
    const auto it = m_inFlightByPool.find(identity.pool);
    if (it != m_inFlightByPool.end() && --it->second == 0)
        m_inFlightByPool.erase(it);
}

void RunLog::refused()
{
    const std::lock_guard lock(m_mutex);
    ++m_refused;
}

nlohmann::json RunLog::toJson(bool withIds) const
{
    const std::lock_guard lock(m_mutex);
    nlohmann::json json{{"started", m_started},
                        {"finished", m_finished},
                        {"refused", m_refused},
                        {"request_ids_run_twice", internal::countRepeated(m_byRequestId)},
                        {"idempotency_keys_run_twice", internal::countRepeated(m_byIdempotencyKey)},
                        {"started_with_lower_epoch", m_lowerEpochs},
                        {"started_with_mixed_pools", m_mixedPools},
                        {"by_pool", m_byPool}};
    if (withIds) {
        json["by_request_id"] = m_byRequestId;
        json["by_idempotency_key"] = m_byIdempotencyKey;
    }
    return json;
}

} // namespace dragonflysill
