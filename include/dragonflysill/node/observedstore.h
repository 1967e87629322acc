#pragma once

#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/node/answerpatience.h"
#include "dragonflysill/node/storecontact.h"
#include "dragonflysill/store/asyncstore.h"

#include <memory>

namespace dragonflysill {

/**
 * Passes calls on to another store, notes which of them are served, and gives up those that get no
 * answer in time with OutcomeUnknown.
 */
class ObservedStore : public AsyncStore
{
public:
    ObservedStore(EventLoop &loop, AsyncStore &store, StoreContact contact, AnswerPatience patience)
        : m_loop(loop)
        , m_store(store)
        , m_contact(contact)
        , m_patience(patience)
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

    [[nodiscard]] const StoreContact &contact() const { return m_contact; }

private:
    /**
     * Counts a call that is about to be sent and returns a callback that counts its outcome.
     * @param callback receives the outcome once, also if there is none in time
     */
    template <typename T>
    Callback<T> observe(Callback<T> callback);

    EventLoop &m_loop;
    AsyncStore &m_store;
    StoreContact m_contact;
    AnswerPatience m_patience;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dragonflysill
