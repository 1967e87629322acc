#pragma once

#include "dragonflysill/node/statereplica.h"
#include "dragonflysill/store/asyncstore.h"

#include <cstddef>
#include <memory>
#include <string>

namespace dragonflysill {

/**
 * The store as the owner of the schedule uses it. It applies the owner's writes to the replica,
 * since the owner does not follow the keys that only it writes, and counts those whose outcome is
 * not known.
 */
class OwnerStore : public AsyncStore
{
public:
    /** Both must outlive the callbacks of all writes. */
    OwnerStore(AsyncStore &store, StateReplica &replica);

    /**
     * Returns the number of writes that are in flight or whose outcome was never learned. Each of
     * them may have been applied without being known to the replica.
     */
    [[nodiscard]] std::size_t unconfirmedWrites() const { return *m_unconfirmed; }

    void get(const std::string &key, Callback<KeyValue> callback) override;
    void list(const std::string &prefix, const std::string &after,
              Callback<StorePage> callback) override;
    void watch(const std::string &prefix, std::int64_t after, std::chrono::milliseconds wait,
               Callback<StoreChanges> callback) override;
    void write(const ConditionalWrite &write, Callback<WriteOutcome> callback) override;
    void grantLease(std::chrono::milliseconds length, Callback<GrantedLease> callback) override;
    void renewLease(LeaseId id, Callback<Done> callback) override;
    void endLease(LeaseId id, Callback<Done> callback) override;

private:
    AsyncStore &m_store;
    StateReplica &m_replica;
    std::shared_ptr<std::size_t> m_unconfirmed = std::make_shared<std::size_t>(0);
};

} // namespace dragonflysill
