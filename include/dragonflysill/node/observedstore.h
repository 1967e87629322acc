#pragma once

#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/node/adaptivetimeout.h"
#include "dragonflysill/node/storereachability.h"
#include "dragonflysill/store/asyncstore.h"

#include <memory>

namespace dragonflysill {

/**
 * Forwards calls to another store, records from their results whether that store is reachable, and
 * completes calls that time out with OutcomeUnknown.
 */
class ObservedStore : public AsyncStore
{
public:
    ObservedStore(EventLoop &loop, AsyncStore &store, StoreReachability reachability,
                  AdaptiveTimeout timeout)
        : m_loop(loop)
        , m_store(store)
        , m_reachability(reachability)
        , m_timeout(timeout)
    {
    }
    ~ObservedStore() override { *m_alive = false; }
    ObservedStore(const ObservedStore &) = delete;
    ObservedStore &operator=(const ObservedStore &) = delete;

    void get(const std::string &key, Callback<KeyValue> callback) override;
    void list(const std::string &prefix, const std::string &after,
              Callback<StorePage> callback) override;
    void watch(const std::string &prefix, std::int64_t after, std::chrono::milliseconds wait,
               Callback<StoreChanges> callback) override;
    void write(const ConditionalWrite &write, Callback<WriteOutcome> callback) override;
    void grantLease(std::chrono::milliseconds length, Callback<GrantedLease> callback) override;
    void renewLease(LeaseId id, Callback<Done> callback) override;
    void endLease(LeaseId id, Callback<Done> callback) override;

    [[nodiscard]] const StoreReachability &reachability() const { return m_reachability; }

private:
    /**
     * Records a call that is about to be sent and returns a callback that records its result.
     * @param callback called exactly once, with the result or with OutcomeUnknown after the timeout
     */
    template <typename T>
    Callback<T> observe(Callback<T> callback);

    EventLoop &m_loop;
    AsyncStore &m_store;
    StoreReachability m_reachability;
    AdaptiveTimeout m_timeout;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dragonflysill
