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

/** Callbacks of a Registrar, called in its thread. */
struct RegistrarHandlers
{
    std::function<void(std::int64_t incarnation, std::int64_t revision, std::vector<Member>)>
            registered;
    std::function<void(bool ok)> storeCallEnded; ///< Called after each call to the store.
};

/**
 * Maintains the registration of this process in the store: the member key, which is bound to a
 * lease, and the key of the entry process, which is not. Owns its thread.
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

    /** Requests that the key of the entry process is written (true) or deleted (false). */
    void setEntryRegistered(bool present);

    [[nodiscard]] std::int64_t registrations() const { return m_registrations; }

private:
    enum class EntryRequest { None, Present, Absent };

    void run();
    bool registerMember();
    bool renew();
    bool writeEntry(EntryRequest request);
    /** Reports the end of a call to the store; returns true if there was no error. */
    bool reportStoreCall(const Error *error);

    Member m_self;
    const std::int64_t m_leaseSeconds;
    Store &m_store;
    Fence &m_fence;
    Timeline &m_timeline;
    RegistrarHandlers m_handlers;
    StoreBackoff m_backoff;
    Wakeup m_wakeup;
    std::atomic<bool> m_stopping = false;
    std::atomic<EntryRequest> m_entryRequest = EntryRequest::None;
    std::atomic<std::int64_t> m_registrations = 0;
    LeaseId m_lease = 0;
    std::thread m_thread;
};

} // namespace dragonflysill::internal
