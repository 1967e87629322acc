#include "dragonflysill/node/observedstore.h"

#include "dragonflysill/net/eventloop.h"

#include <utility>

namespace dragonflysill {

namespace internal {

/** Returns whether the store did its part, whatever the answer. */
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
    m_contact.sent(EventLoop::now());
    return [this, callback = std::move(callback)](Result<T> result) {
        if (internal::served(result))
            m_contact.answered(EventLoop::now());
        else
            m_contact.failed();
        callback(std::move(result));
    };
}

void ObservedStore::get(const std::string &key, Callback<KeyValue> callback)
{
    m_store.get(key, observe(std::move(callback)));
}

void ObservedStore::list(const std::string &prefix, const std::string &after,
                         Callback<StorePage> callback)
{
    m_store.list(prefix, after, observe(std::move(callback)));
}

void ObservedStore::watch(const std::string &prefix, std::int64_t after,
                          std::chrono::milliseconds wait, Callback<StoreChanges> callback)
{
    m_store.watch(prefix, after, wait,
                  [this, callback = std::move(callback)](Result<StoreChanges> result) {
                      if (internal::served(result))
                          m_contact.heard(EventLoop::now());
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
