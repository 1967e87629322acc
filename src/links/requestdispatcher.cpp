#include "dragonflysill/links/requestdispatcher.h"

#include "dragonflysill/base/hash.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace dragonflysill {

namespace internal {

RequestKey keyOf(const DispatchAction &action)
{
    return std::visit([](const auto &it) { return it.key; }, action);
}

/** Returns the limits of the service that uses the pool; services of one pool share them. */
BackendLimits limitsOf(const View &view, std::string_view pool)
{
    BackendLimits limits;
    for (const auto &it : view.configuration.services) {
        if (it.second.pool != pool)
            continue;
        limits.slots = it.second.slotsPerInstance;
        limits.connections = it.second.connectionsPerInstance;
    }
    limits.entries = std::max(1, static_cast<int>(view.entries.size()));
    return limits;
}

std::vector<const InstanceRecord *> recordsOf(const View &view, std::string_view pool)
{
    std::vector<const InstanceRecord *> records;
    for (const auto &it : view.instances) {
        if (it.second.pool == pool)
            records.push_back(&it.second);
    }
    return records;
}

/** Converts a decision time for a condition variable; both clocks are the monotonic clock. */
std::chrono::steady_clock::time_point toSteady(TimePoint time)
{
    const Duration wait = std::max(Duration(0), time - steadyNow());
    return std::chrono::steady_clock::now() + wait;
}

} // namespace internal

RequestDispatcher::RequestDispatcher(DispatchSettings settings, Timeline &timeline)
    : m_settings(std::move(settings))
    , m_timeline(timeline)
    , m_retries(m_settings.seed)
    , m_view(std::make_shared<View>())
{
}

void RequestDispatcher::install(const ViewPointer &view)
{
    const auto routes = std::make_shared<const RouteTable>(view);
    const std::lock_guard lock(m_slotsMutex);
    if (view->revision < m_view->revision)
        return;
    m_view = view;
    for (const auto &it : view->configuration.services) {
        const std::string &pool = it.second.pool;
        const std::uint64_t seed = m_settings.seed ^ stableHash(pool);
        m_dispatchers.try_emplace(pool, m_settings.admission,
                                  BackendPool(m_settings.selector, m_settings.zone, seed));
    }
    for (auto &it : m_dispatchers)
        updatePool(it.second, it.first, *view);
    m_routes.store(routes);
}

void RequestDispatcher::updatePool(PoolDispatcher &dispatcher, const std::string &pool,
                                   const View &view)
{
    const auto records = internal::recordsOf(view, pool);
    apply(dispatcher.update(records, internal::limitsOf(view, pool), steadyNow()));
}

PoolDispatcher *RequestDispatcher::findDispatcher(std::string_view pool)
{
    const auto it = m_dispatchers.find(pool);
    return it == m_dispatchers.end() ? nullptr : &it->second;
}

void RequestDispatcher::requestArrived()
{
    const std::lock_guard lock(m_slotsMutex);
    m_retries.requestArrived();
}

std::variant<GrantedAttempt, Failure> RequestDispatcher::acquire(const DispatchRequest &request)
{
    std::unique_lock lock(m_slotsMutex);
    PoolDispatcher *dispatcher = findDispatcher(request.pool);
    if (dispatcher == nullptr)
        return Failure::NoBackend;
    const auto action = waitForAction(lock, *dispatcher, request);
    if (!action)
        return Failure::QueueDeadline;
    if (const auto *rejection = std::get_if<Rejection>(&*action))
        return rejection->failure;
    GrantedAttempt granted;
    granted.assignment = std::get<Grant>(*action).assignment;
    granted.grantedAt = steadyNow();
    const Duration remaining = request.pending.deadline - granted.grantedAt;
    granted.until = granted.grantedAt
                    + dispatcher->attemptTime(request.service, granted.assignment, remaining,
                                              request.pending.repeatable);
    granted.silenceLimit = dispatcher->silenceLimit(request.service);
    return granted;
}

std::optional<DispatchAction> RequestDispatcher::waitForAction(std::unique_lock<std::mutex> &lock,
                                                               PoolDispatcher &dispatcher,
                                                               const DispatchRequest &request)
{
    Waiter waiter;
    const RequestKey key = request.pending.key;
    m_waiters[key] = &waiter;
    apply(dispatcher.submit(request.service, request.pending, steadyNow()));
    if (!waiter.action) {
        waiter.wake.wait_until(lock, internal::toSteady(request.pending.deadline),
                               [&waiter] { return waiter.action.has_value(); });
    }
    m_waiters.erase(key);
    if (!waiter.action)
        dispatcher.cancel(request.service, key, request.pending.deadline);
    return std::move(waiter.action);
}

void RequestDispatcher::apply(DispatchActions actions)
{
    for (DispatchAction &it : actions) {
        const auto waiter = m_waiters.find(internal::keyOf(it));
        if (waiter == m_waiters.end())
            continue;
        waiter->second->action = std::move(it);
        waiter->second->wake.notify_one();
    }
}

void RequestDispatcher::release(const DispatchRequest &request, const Assignment &assignment,
                                const AttemptReport &end)
{
    std::vector<HealthEvent> events;
    {
        const std::lock_guard lock(m_slotsMutex);
        PoolDispatcher *dispatcher = findDispatcher(request.pool);
        if (dispatcher == nullptr)
            return;
        apply(dispatcher->finish(request.service, assignment, end, steadyNow()));
        events = dispatcher->takeHealthEvents();
    }
    recordHealth(std::move(events));
}

void RequestDispatcher::recordHealth(std::vector<HealthEvent> events)
{
    for (const HealthEvent &it : events)
        m_timeline.record(it.ejected ? EventKind::BackendEjected : EventKind::BackendRestored,
                          it.name);
}

std::optional<Duration> RequestDispatcher::nextAttempt(const AttemptHistory &history)
{
    const std::lock_guard lock(m_slotsMutex);
    return m_retries.nextAttempt(history);
}

void RequestDispatcher::tick()
{
    const std::lock_guard lock(m_slotsMutex);
    for (auto &it : m_dispatchers)
        apply(it.second.tick(steadyNow()));
}

std::vector<DrainedInstance> RequestDispatcher::drained() const
{
    const std::lock_guard lock(m_slotsMutex);
    std::vector<DrainedInstance> result;
    for (const auto &it : m_view->instances) {
        const InstanceRecord &record = it.second;
        if (record.phase == InstancePhase::Leaving && inFlightOn(record.name) == 0)
            result.push_back({record.name, record.epoch});
    }
    return result;
}

int RequestDispatcher::inFlightOn(std::string_view name) const
{
    int sum = 0;
    for (const auto &it : m_dispatchers)
        sum += it.second.backends().inFlightOn(name);
    return sum;
}

int RequestDispatcher::inFlight() const
{
    const std::lock_guard lock(m_slotsMutex);
    int sum = 0;
    for (const auto &it : m_dispatchers)
        sum += it.second.backends().inFlight();
    return sum;
}

std::size_t RequestDispatcher::queued() const
{
    const std::lock_guard lock(m_slotsMutex);
    std::size_t sum = 0;
    for (const auto &it : m_dispatchers)
        sum += it.second.queued();
    return sum;
}

} // namespace dragonflysill
