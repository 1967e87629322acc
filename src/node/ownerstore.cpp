#include "dragonflysill/node/ownerstore.h"

#include <utility>

namespace dragonflysill {

OwnerStore::OwnerStore(AsyncStore &store, StateReplica &replica)
    : m_store(store)
    , m_replica(replica)
{
}

void OwnerStore::write(const ConditionalWrite &write, Callback<WriteOutcome> callback)
{
    ++*m_unconfirmed;
    m_store.write(write, [&replica = m_replica, unconfirmed = m_unconfirmed, items = write.writes,
                          callback = std::move(callback)](Result<WriteOutcome> outcome) {
        if (outcome || outcome.error().is(ErrorKind::StoreUnavailable))
            --*unconfirmed;
        if (outcome && outcome->applied) {
            for (const auto &it : items)
                replica.applyOwn(it.key, it.value, outcome->revision);
        }
        callback(std::move(outcome));
    });
}

void OwnerStore::get(const std::string &key, Callback<KeyValue> callback)
{
    m_store.get(key, std::move(callback));
}

void OwnerStore::list(const std::string &prefix, const std::string &after,
                      Callback<StorePage> callback)
{
    m_store.list(prefix, after, std::move(callback));
}

void OwnerStore::watch(const std::string &prefix, std::int64_t after,
                       std::chrono::milliseconds wait, Callback<StoreChanges> callback)
{
    m_store.watch(prefix, after, wait, std::move(callback));
}

void OwnerStore::grantLease(std::chrono::milliseconds length, Callback<GrantedLease> callback)
{
    m_store.grantLease(length, std::move(callback));
}

void OwnerStore::renewLease(LeaseId id, Callback<Done> callback)
{
    m_store.renewLease(id, std::move(callback));
}

void OwnerStore::endLease(LeaseId id, Callback<Done> callback)
{
    m_store.endLease(id, std::move(callback));
}

} // namespace dragonflysill
