#include "dragonflysill/node/observedstore.h"

#include <memory>
#include <utility>

namespace dragonflysill {

namespace internal {

/** Returns whether the store processed the call, even if the result is another error. */
template <typename T>
bool served(const Result<T> &result)
{
    return result
           || (!result.error().is(ErrorKind::StoreUnavailable)
               && !result.error().is(ErrorKind::OutcomeUnknown));
}

} // namespace internal

template <typename T>
AsyncStore::Callback<T> ObservedStore::observe(Callback<T> callback)
{
    const auto sentAt = EventLoop::now();
    m_reachability.callSent(sentAt);
    const auto waiting = std::make_shared<Callback<T>>(std::move(callback));
    m_loop.after(m_timeout.current(), [this, alive = m_alive, waiting, sentAt] {
        if (!*alive || !*waiting)
            return;
        m_reachability.callFailed();
        m_timeout.recordTimeout(sentAt);
        std::exchange(*waiting, nullptr)(Error(ErrorKind::OutcomeUnknown, "no answer in time"));
    });
    return [this, alive = m_alive, waiting, sentAt](Result<T> result) {
        if (!*alive)
            return;
        const auto now = EventLoop::now();
        const bool inTime = static_cast<bool>(*waiting);
        if (internal::served(result)) {
            m_timeout.recordResponse(now - sentAt, now);
            if (inTime)
                m_reachability.callServed(now);
            else
                m_reachability.responseReceived(now);
        } else if (inTime) {
            m_reachability.callFailed();
        }
        if (inTime)
            std::exchange(*waiting, nullptr)(std::move(result));
    };
}

void ObservedStore::get(const std::string &key, Callback<KeyValue> callback)
{
    m_store.get(key, observe(std::move(callback)));
}

void ObservedStore::list(const std::string &prefix, const std::string &after,
                         Callback<StorePage> callback)
{
    // A page may take long on a slow link, so that its time says little about the store.
    m_store.list(prefix, after, [this, callback = std::move(callback)](Result<StorePage> result) {
        if (internal::served(result))
            m_reachability.responseReceived(EventLoop::now());
        callback(std::move(result));
    });
}

void ObservedStore::watch(const std::string &prefix, std::int64_t after,
                          std::chrono::milliseconds wait, Callback<StoreChanges> callback)
{
    m_store.watch(prefix, after, wait,
                  [this, callback = std::move(callback)](Result<StoreChanges> result) {
                      if (internal::served(result))
                          m_reachability.responseReceived(EventLoop::now());
                      callback(std::move(result));
                  });
}

void ObservedStore::write(const ConditionalWrite &write, Callback<WriteOutcome> callback)
{
    m_store.write(write, observe(std::move(callback)));
}

void ObservedStore::grantLease(std::chrono::milliseconds length, Callback<GrantedLease> callback)
{
    m_store.grantLease(length, observe(std::move(callback)));
}

void ObservedStore::renewLease(LeaseId id, Callback<Done> callback)
{
    m_store.renewLease(id, observe(std::move(callback)));
}

void ObservedStore::endLease(LeaseId id, Callback<Done> callback)
{
    m_store.endLease(id, observe(std::move(callback)));
}

} // namespace dragonflysill
