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

void Registrar::setEntry(bool present)
{
    m_entryWish = present ? EntryWish::Present : EntryWish::Absent;
    m_wakeup.notify();
}

void Registrar::run()
{
    pthread_setname_np(pthread_self(), "registrar");
    // Three attempts to renew fit into the time of a lease.
    const std::chrono::milliseconds renewInterval(m_leaseSeconds * 1000 / 3);
    TimePoint nextRenewal;
    while (!m_stopping) {
        const TimePoint now = steadyNow();
        const bool isRegistered = m_fence.compare().has_value();
        const EntryWish wish = m_entryWish;
        if (isRegistered && now < nextRenewal && wish == EntryWish::None) {
            m_wakeup.waitFor(std::chrono::ceil<std::chrono::milliseconds>(nextRenewal - now));
            continue;
        }
        const bool leaseCall = !isRegistered || now >= nextRenewal;
        bool ok = false;
        if (leaseCall)
            ok = isRegistered ? renew() : registerMember();
        else
            ok = writeEntry(wish);
        if (ok && leaseCall)
            nextRenewal = now + renewInterval;
        if (ok)
            m_backoff.reset();
        else
            m_wakeup.waitFor(m_backoff.next());
    }
}

bool Registrar::answered(const Error *error)
{
    const bool reached = error == nullptr || error->is(ErrorKind::LeaseLost);
    m_handlers.storeAnswered(reached);
    return error == nullptr;
}

bool Registrar::registerMember()
{
    const auto lease = m_store.grantLease(m_leaseSeconds);
    if (!lease)
        return answered(&lease.error());
    const std::string key = storekeys::join(storekeys::members, m_self.name);
    m_self.incarnation = std::max(m_self.incarnation + 1, unixMilliseconds());
    // An existing key is deleted and not overwritten: overwriting keeps the create revision, and a
    // paused predecessor of the same name would pass the comparison of its writes.
    const Transaction transaction{
            {{key, CompareTarget::CreateRevision, CompareRelation::Equal, 0, {}}},
            {PutOperation{key, encodeMember(m_self), lease->id},
             RangeOperation{std::string(storekeys::members),
                            storekeys::rangeEnd(storekeys::members)}},
            {RangeOperation{key, {}}, DeleteOperation{key, {}}}};
    const auto result = m_store.commit(transaction);
    if (!result)
        return answered(&result.error());
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
    return answered(nullptr);
}

bool Registrar::renew()
{
    const auto renewed = m_store.renewLease(m_lease);
    if (renewed)
        return answered(nullptr);
    if (renewed.error().is(ErrorKind::LeaseLost)) {
        m_fence.clear();
        m_timeline.record(EventKind::LeaseLost, m_self.name, "registers again");
        logWarning("lease-lost", {{"member", m_self.name}});
    }
    return answered(&renewed.error());
}

bool Registrar::writeEntry(EntryWish wish)
{
    const auto compare = m_fence.compare();
    if (!compare)
        return false;
    const std::string key = storekeys::join(storekeys::entries, m_self.name);
    Transaction transaction{{*compare}, {}, {}};
    if (wish == EntryWish::Present)
        transaction.success.emplace_back(PutOperation{key, encodeMember(m_self), 0});
    else
        transaction.success.emplace_back(DeleteOperation{key, {}});
    const auto result = m_store.commit(transaction);
    if (!result)
        return answered(&result.error());
    if (!result->succeeded) {
        // The member key is gone, so the lease has expired.
        m_fence.clear();
        m_timeline.record(EventKind::LeaseLost, m_self.name, "registers again");
        return false;
    }
    // A wish that changed during the write stays for the next round.
    EntryWish expected = wish;
    m_entryWish.compare_exchange_strong(expected, EntryWish::None);
    return answered(nullptr);
}

} // namespace dragonflysill::internal
