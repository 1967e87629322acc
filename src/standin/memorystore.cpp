#include "dragonflysill/standin/memorystore.h"

#include "dragonflysill/base/storekeys.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace dragonflysill {

namespace internal {

/** Longest wait between two handler calls; Store::watch requires at least one call a second. */
constexpr std::chrono::milliseconds watchPollInterval{100};

} // namespace internal

MemoryStore::MemoryStore(Clock clock)
    : m_clock(std::move(clock))
{
}

MemoryStore::~MemoryStore() = default;

MemoryStore::InjectedFault MemoryStore::takeFault(bool isWrite)
{
    const auto take = [](int &counter) { return counter > 0 && counter-- > 0; };
    if (m_faults.down || take(m_faults.reject))
        return InjectedFault::Unavailable;
    if (isWrite && take(m_faults.loseAnswers))
        return InjectedFault::LoseAnswer;
    if (isWrite && take(m_faults.loseRequests))
        return InjectedFault::LoseRequest;
    if (take(m_faults.corruptAnswers))
        return InjectedFault::CorruptAnswer;
    return InjectedFault::None;
}

template <typename T, typename Function>
Result<T> MemoryStore::execute(bool isWrite, std::int64_t StoreCalls::*counter, Function function)
{
    std::unique_lock lock(m_mutex);
    ++(m_calls.*counter);
    if (const auto delay = m_faults.delay; delay.count() > 0) {
        lock.unlock();
        std::this_thread::sleep_for(delay);
        lock.lock();
    }
    const InjectedFault fault = takeFault(isWrite);
    if (fault == InjectedFault::Unavailable)
        return Error(ErrorKind::StoreUnavailable, "injected");
    if (fault == InjectedFault::LoseRequest)
        return Error(ErrorKind::OutcomeUnknown, "injected");
    const std::int64_t revision = m_engine.revision();
    m_engine.expireLeases(m_clock());
    Result<T> result = function();
    if (m_engine.revision() != revision)
        m_changed.notify_all();
    if (fault == InjectedFault::LoseAnswer)
        return Error(ErrorKind::OutcomeUnknown, "injected");
    if (fault == InjectedFault::CorruptAnswer)
        return Error(ErrorKind::Corrupt, "injected");
    return result;
}

Result<RangeResult> MemoryStore::range(const RangeOperation &operation)
{
    return execute<RangeResult>(false, &StoreCalls::ranges,
                                [&] { return Result<RangeResult>(m_engine.range(operation)); });
}

Result<TransactionResult> MemoryStore::commit(const Transaction &transaction)
{
    return execute<TransactionResult>(true, &StoreCalls::commits,
                                      [&] { return m_engine.commit(transaction); });
}

Result<Lease> MemoryStore::grantLease(std::int64_t ttlSeconds)
{
    return execute<Lease>(true, &StoreCalls::leaseCalls,
                          [&] { return m_engine.grantLease(ttlSeconds, m_clock()); });
}

Result<Lease> MemoryStore::renewLease(LeaseId id)
{
    return execute<Lease>(true, &StoreCalls::leaseCalls,
                          [&] { return m_engine.renewLease(id, m_clock()); });
}

Result<Done> MemoryStore::revokeLease(LeaseId id)
{
    return execute<Done>(true, &StoreCalls::leaseCalls, [&] { return m_engine.revokeLease(id); });
}

Result<Done> MemoryStore::watch(std::string_view prefix, std::int64_t startRevision,
                                const WatchHandler &handler)
{
    return watchRange({std::string(prefix), storekeys::rangeEnd(prefix)}, startRevision, handler);
}

Result<Done> MemoryStore::watchRange(const RangeOperation &keys, std::int64_t startRevision,
                                     const WatchHandler &handler)
{
    std::unique_lock lock(m_mutex);
    ++m_calls.watches;
    const std::int64_t generation = m_generation;
    std::int64_t next = startRevision;
    for (;;) {
        if (m_faults.down || m_generation != generation)
            return Error(ErrorKind::StoreUnavailable, "injected");
        m_engine.expireLeases(m_clock());
        const auto batch = m_engine.changes(keys, next);
        if (!batch)
            return batch.error();
        next = std::max(next, batch->revision + 1);
        lock.unlock();
        const bool more = handler(batch->updates, batch->revision);
        lock.lock();
        if (!more)
            return Done{};
        if (m_engine.revision() < next && m_generation == generation)
            m_changed.wait_for(lock, internal::watchPollInterval);
    }
}

void MemoryStore::setFaults(const StoreFaults &faults)
{
    const std::lock_guard lock(m_mutex);
    if (faults.down && !m_faults.down)
        ++m_generation;
    m_faults = faults;
    m_changed.notify_all();
}

StoreFaults MemoryStore::faults() const
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

StoreCalls MemoryStore::calls() const
{
    const std::lock_guard lock(m_mutex);
    return m_calls;
}

std::int64_t MemoryStore::revision() const
{
    const std::lock_guard lock(m_mutex);
    return m_engine.revision();
}

void MemoryStore::endWatches()
{
    const std::lock_guard lock(m_mutex);
    ++m_generation;
    m_changed.notify_all();
}

void MemoryStore::compactHistory()
{
    const std::lock_guard lock(m_mutex);
    m_engine.compact(m_engine.revision());
}

Result<Done> MemoryStore::compact(std::int64_t revision)
{
    return execute<Done>(true, &StoreCalls::commits, [&] { return m_engine.compact(revision); });
}

std::int64_t MemoryStore::compactedRevision() const
{
    const std::lock_guard lock(m_mutex);
    return m_engine.compactedRevision();
}

Result<Done> MemoryStore::lapseLeaseOf(std::string_view key)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_engine.range({std::string(key), {}}).keyValues;
    m_changed.notify_all();
    if (found.empty())
        return Error(ErrorKind::LeaseLost, "no key '" + std::string(key) + "'");
    return m_engine.revokeLease(found.front().lease);
}

Result<Done> MemoryStore::expireLease(LeaseId id)
{
    const std::lock_guard lock(m_mutex);
    m_changed.notify_all();
    return m_engine.revokeLease(id);
}

StoreEngine MemoryStore::snapshot() const
{
    const std::lock_guard lock(m_mutex);
    return m_engine;
}

void MemoryStore::restore(const StoreEngine &snapshot)
{
    const std::lock_guard lock(m_mutex);
    m_engine.restore(snapshot, m_clock());
    ++m_generation;
    m_changed.notify_all();
}

} // namespace dragonflysill
