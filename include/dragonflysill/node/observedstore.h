#pragma once

#include "dragonflysill/node/storecontact.h"
#include "dragonflysill/store/asyncstore.h"

#include <memory>

namespace dragonflysill {

/** Passes calls on to another store and notes which of them are served. */
class ObservedStore : public AsyncStore
{
public:
    ObservedStore(AsyncStore &store, Duration patience)
        : m_store(store)
        , m_contact(patience)
    {
    }

    void get(const std::string &key, Callback<KeyValue> callback) override;
    void list(const std::string &prefix, const std::string &after,
              Callback<StorePage> callback) override;
    void watch(const std::string &prefix, std::int64_t after, std::chrono::milliseconds wait,
               Callback<StoreChanges> callback) override;
    void write(const ConditionalWrite &write, Callback<WriteOutcome> callback) override;
    void grantLease(std::chrono::milliseconds length, Callback<GrantedLease> callback) override;
    void renewLease(LeaseId id, Callback<Done> callback) override;
    void endLease(LeaseId id, Callback<Done> callback) override;

    [[nodiscard]] const StoreContact &contact() const { return m_contact; }

private:
    /** Counts a call that is about to be sent and returns a callback that counts its outcome. */
    template <typename T>
    Callback<T> observe(Callback<T> callback);

    AsyncStore &m_store;
    StoreContact m_contact;
};

} // namespace dragonflysill
