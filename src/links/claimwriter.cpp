#include "dragonflysill/links/claimwriter.h"

#include "dragonflysill/store/confirmedwrite.h"

#include <algorithm>
#include <utility>

namespace dragonflysill {

namespace internal {

/** Bounds a wait, so that a decision that is due early for a reason unknown here is not missed. */
constexpr std::chrono::milliseconds longestWait{1000};
constexpr std::chrono::milliseconds shortestWait{1};

ClaimCallResult toClaimResult(const Result<TransactionResult> &result)
{
    using Kind = ClaimCallResult::Kind;
    if (result) {
        return {result->succeeded ? Kind::Succeeded : Kind::Failed, result->revision,
                claimValues(*result)};
    }
    if (mayTakeEffect(result.error()))
        return {Kind::Unknown, 0, {}};
    if (result.error().is(ErrorKind::LeaseLost))
        return {Kind::LeaseLost, 0, {}};
    return {Kind::Unavailable, 0, {}};
}

template <typename... Functions>
struct Overloaded : Functions...
{
    using Functions::operator()...;
};
template <typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace internal

ClaimWriter::ClaimWriter(Store &store, ClaimWriterSettings settings)
    : m_store(store)
    , m_settings(std::move(settings))
    , m_batcher(m_settings.claims)
{
    for (std::size_t n = 0; n < m_settings.threads; ++n)
        m_threads.emplace_back([this] { run(); });
}

ClaimWriter::~ClaimWriter()
{
    stop();
}

ClaimDecision ClaimWriter::claim(std::string_view service, std::string_view idempotencyKey,
                                 std::string_view requestId, TimePoint deadline)
{
    std::unique_lock lock(m_mutex);
    const ClaimId id = m_nextId++;
    ClaimEntry entry{
            claimKey(service, idempotencyKey),
            encodeClaim({m_settings.entry, m_settings.incarnation, id, std::string(requestId)})};
    Waiter waiter;
    m_waiters.emplace(id, &waiter);
    apply(m_batcher.add(id, entry, std::string(requestId), deadline, steadyNow()));
    while (!waiter.decision) {
        waiter.decided.wait_for(lock,
                                std::clamp<Duration>(deadline - steadyNow(), internal::shortestWait,
                                                     internal::longestWait));
        if (!waiter.decision && steadyNow() >= deadline)
            apply(m_batcher.tick(steadyNow()));
    }
    m_waiters.erase(id);
    waiter.decision->claim = std::move(entry);
    return std::move(*waiter.decision);
}

void ClaimWriter::abandon(const ClaimDecision &decision)
{
    if (decision.kind != ClaimDecision::Kind::Granted)
        return;
    const std::lock_guard lock(m_mutex);
    apply(m_batcher.release(decision.claim, steadyNow()));
}

void ClaimWriter::setEntryCount(int entryCount)
{
    const std::lock_guard lock(m_mutex);
    m_batcher.setEntryCount(entryCount, steadyNow());
}

void ClaimWriter::noteRevision(std::int64_t revision)
{
    const std::lock_guard lock(m_mutex);
    m_batcher.noteRevision(revision);
}

ClaimCounters ClaimWriter::counters() const
{
    const std::lock_guard lock(m_mutex);
    return m_batcher.counters();
}

void ClaimWriter::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        if (std::exchange(m_stopping, true))
            return;
        apply(m_batcher.stop(steadyNow()));
        m_work.notify_all();
    }
    for (std::thread &it : m_threads)
        it.join();
}

void ClaimWriter::decide(ClaimId id, ClaimDecision decision)
{
    const auto it = m_waiters.find(id);
    if (it == m_waiters.end())
        return;
    it->second->decision = std::move(decision);
    it->second->decided.notify_one();
}

void ClaimWriter::apply(ClaimActions actions)
{
    using Kind = ClaimDecision::Kind;
    const auto enqueue = [this](auto call) {
        m_calls.emplace_back(std::move(call));
        m_work.notify_one();
    };
    // A thread must wait no longer than until the next tick, which may have come closer.
    if (m_batcher.pending() > 0)
        m_work.notify_one();
    for (ClaimAction &action : actions) {
        std::visit(internal::Overloaded{
                           [&](ClaimGranted &it) {
                               decide(it.id, {Kind::Granted, {}, {}, {}, {}});
                           },
                           [&](ClaimDuplicate &it) {
                               decide(it.id, {Kind::Duplicate, {}, it.requestId, {}, {}});
                           },
                           [&](ClaimRefused &it) {
                               decide(it.id, {Kind::Refused, {}, {}, it.reason, it.retryAfter});
                           },
                           [&](auto &call) { enqueue(std::move(call)); }},
                   action);
    }
}

ClaimActions ClaimWriter::execute(const StoreCall &call, std::unique_lock<std::mutex> &lock)
{
    const auto commit = [&](ClaimCallId id, const Transaction &transaction) {
        lock.unlock();
        const auto result = internal::toClaimResult(m_store.commit(transaction));
        lock.lock();
        return m_batcher.callFinished(id, result, steadyNow());
    };
    return std::visit(
            internal::Overloaded{
                    [&](const CommitClaims &it) {
                        return commit(it.call, createClaims(it.claims, it.lease));
                    },
                    [&](const ReadClaims &it) { return commit(it.call, readClaims(it.claims)); },
                    [&](const DeleteClaims &it) {
                        return commit(it.call, deleteClaims(it.claims));
                    },
                    [&](const GrantClaimLease &it) {
                        lock.unlock();
                        const auto lease = m_store.grantLease(it.ttlSeconds);
                        lock.lock();
                        return m_batcher.leaseFinished(it.call, lease ? lease->id : 0, steadyNow());
                    }},
            call);
}

void ClaimWriter::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        if (!m_calls.empty()) {
            const StoreCall call = std::move(m_calls.front());
            m_calls.pop_front();
            apply(execute(call, lock));
            continue;
        }
        const TimePoint now = steadyNow();
        if (m_batcher.nextTick(now) <= now)
            apply(m_batcher.tick(now));
        if (!m_calls.empty())
            continue;
        const TimePoint next = m_batcher.nextTick(now);
        const Duration wait = next == TimePoint::max() ? internal::longestWait : next - now;
        m_work.wait_for(lock,
                        std::clamp<Duration>(wait, internal::shortestWait, internal::longestWait));
    }
}

} // namespace dragonflysill
