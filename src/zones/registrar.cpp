#include "registrar.h"

#include "dragonflysill/base/hash.h"
#include "dragonflysill/base/storekeys.h"
#include "dragonflysill/base/time.h"
#include "dragonflysill/telemetry/log.h"

#include <pthread.h>

#include <algorithm>
#include <utility>

namespace dragonflysill::internal {

Registrar::Registrar(Member self, std::int64_t leaseSeconds, Store &store, Fence &fence,
                     Timeline &timeline, RegistrarHandlers handlers)
    : m_self(std::move(self))
    , m_leaseSeconds(leaseSeconds)
    , m_store(store)
    , m_fence(fence)
    , m_timeline(timeline)
    , m_handlers(std::move(handlers))
    , m_backoff(stableHash(m_self.name))
{
}

Registrar::~Registrar()
{
    stop();
}

void Registrar::start()
{
    m_thread = std::thread([this] { run(); });
}

void Registrar::stop()
{
    if (!m_thread.joinable())
        return;
    m_stopping = true;
    m_wakeup.notify();
    m_thread.join();
    m_fence.clear();
    if (m_lease != 0)
        m_store.revokeLease(m_lease);
}

void Registrar::setEntryRegistered(bool present)
{
    m_entryRequest = present ? EntryRequest::Present : EntryRequest::Absent;
    m_wakeup.notify();
}

void Registrar::run()
{
    pthread_setname_np(pthread_self(), "registrar");
    // Renewing at a third of the lease time leaves three attempts before the lease expires.
    const std::chrono::milliseconds renewInterval(m_leaseSeconds * 1000 / 3);
    TimePoint nextRenewal;
    while (!m_stopping) {
        const TimePoint now = steadyNow();
        const bool isRegistered = m_fence.compare().has_value();
        const EntryRequest request = m_entryRequest;
        if (isRegistered && now < nextRenewal && request == EntryRequest::None) {
            m_wakeup.waitFor(std::chrono::ceil<std::chrono::milliseconds>(nextRenewal - now));
            continue;
        }
        const bool leaseCall = !isRegistered || now >= nextRenewal;
        bool ok = false;
        if (leaseCall)
            ok = isRegistered ? renew() : registerMember();
        else
            ok = writeEntry(request);
        if (ok && leaseCall)
            nextRenewal = now + renewInterval;
        if (ok)
            m_backoff.reset();
        else
            m_wakeup.waitFor(m_backoff.next());
    }
}

bool Registrar::reportStoreCall(const Error *error)
{
    const bool reached = error == nullptr || error->is(ErrorKind::LeaseLost);
    m_handlers.storeCallEnded(reached);
    return error == nullptr;
}

bool Registrar::registerMember()
{
    const auto lease = m_store.grantLease(m_leaseSeconds);
    if (!lease)
        return reportStoreCall(&lease.error());
    const std::string key = storekeys::join(storekeys::members, m_self.name);
    m_self.incarnation = std::max(m_self.incarnation + 1, unixMilliseconds());
    // An existing key is deleted instead of overwritten. Overwriting keeps the create revision, so
    // the fence of a paused earlier process with the same name would still match.
    const Transaction transaction{
            {{key, CompareTarget::CreateRevision, CompareRelation::Equal, 0, {}}},
            {PutOperation{key, encodeMember(m_self), lease->id},
             RangeOperation{std::string(storekeys::members),
                            storekeys::rangeEnd(storekeys::members)}},
            {RangeOperation{key, {}}, DeleteOperation{key, {}}}};
    const auto result = m_store.commit(transaction);
    if (!result)
        return reportStoreCall(&result.error());
    if (!result->succeeded) {
        for (const auto &it : result->ranges.front().keyValues) {
            const auto previous = decodeMember(it.value);
            if (previous)
                m_self.incarnation = std::max(m_self.incarnation, previous->incarnation);
        }
        m_store.revokeLease(lease->id);
        return registerMember();
    }
    m_lease = lease->id;
    m_fence.set(key, result->revision);
    ++m_registrations;
    std::vector<Member> members;
    for (const auto &it : result->ranges.front().keyValues) {
        auto member = decodeMember(it.value);
        if (member)
            members.push_back(std::move(*member));
    }
    logInfo("registered", {{"incarnation", std::to_string(m_self.incarnation)},
                           {"revision", std::to_string(result->revision)}});
    m_handlers.registered(m_self.incarnation, result->revision, std::move(members));
    return reportStoreCall(nullptr);
}

bool Registrar::renew()
{
    const auto renewed = m_store.renewLease(m_lease);
    if (renewed)
        return reportStoreCall(nullptr);
    if (renewed.error().is(ErrorKind::LeaseLost)) {
        m_fence.clear();
        m_timeline.record(EventKind::LeaseLost, m_self.name, "registers again");
        logWarning("lease-lost", {{"member", m_self.name}});
    }
    return reportStoreCall(&renewed.error());
}

bool Registrar::writeEntry(EntryRequest request)
{
    const auto compare = m_fence.compare();
    if (!compare)
        return false;
    const std::string key = storekeys::join(storekeys::entries, m_self.name);
    Transaction transaction{{*compare}, {}, {}};
    if (request == EntryRequest::Present)
        transaction.success.emplace_back(PutOperation{key, encodeMember(m_self), 0});
    else
        transaction.success.emplace_back(DeleteOperation{key, {}});
    const auto result = m_store.commit(transaction);
    if (!result)
        return reportStoreCall(&result.error());
    if (!result->succeeded) {
        // The fence did not match: the member key was deleted because the lease expired.
        m_fence.clear();
        m_timeline.record(EventKind::LeaseLost, m_self.name, "registers again");
        return false;
    }
    // A request that was replaced during the write is handled in the next iteration.
    EntryRequest expected = request;
    m_entryRequest.compare_exchange_strong(expected, EntryRequest::None);
    return reportStoreCall(nullptr);
}

} // namespace dragonflysill::internal
