#pragma once

#include "storebackoff.h"

#include "dragonflysill/base/result.h"
#include "dragonflysill/store/fence.h"
#include "dragonflysill/store/store.h"
#include "dragonflysill/telemetry/timeline.h"
#include "dragonflysill/zones/member.h"

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

namespace dragonflysill::internal {

/** The functions that a Registrar calls, in its thread. */
struct RegistrarHandlers
{
    std::function<void(std::int64_t incarnation, std::int64_t revision, std::vector<Member>)>
            registered;
    std::function<void(bool ok)> storeAnswered;
};

/**
 * Keeps the registration of this process in the store: the member key with its lease, and the key
 * of the entry process without a lease. Owns its thread.
 */
class Registrar
{
public:
    Registrar(Member self, std::int64_t leaseSeconds, Store &store, Fence &fence,
              Timeline &timeline, RegistrarHandlers handlers);
    ~Registrar();

    void start();

    /** Revokes the lease, which deletes the member key, and joins the thread. */
    void stop();

    /** Sets whether the entry process is to be registered. */
    void setEntry(bool present);

    [[nodiscard]] std::int64_t registrations() const { return m_registrations; }

private:
    enum class EntryWish { None, Present, Absent };

    void run();
    bool registerMember();
    bool renew();
    bool writeEntry(EntryWish wish);
    bool answered(const Error *error);

    Member m_self;
    const std::int64_t m_leaseSeconds;
    Store &m_store;
    Fence &m_fence;
    Timeline &m_timeline;
    RegistrarHandlers m_handlers;
    StoreBackoff m_backoff;
    Wakeup m_wakeup;
    std::atomic<bool> m_stopping = false;
    std::atomic<EntryWish> m_entryWish = EntryWish::None;
    std::atomic<std::int64_t> m_registrations = 0;
    LeaseId m_lease = 0;
    std::thread m_thread;
};

} // namespace dragonflysill::internal
