#include "dragonflysill/links/backendpool.h"

#include <algorithm>

namespace dragonflysill {

bool BackendPool::Backend::accepts() const
{
    return isListed && (phase == InstancePhase::Serving || phase == InstancePhase::Warming);
}

BackendPool::BackendPool(Selector selector, std::string zone, std::uint64_t seed)
    : m_selector(selector)
    , m_zone(std::move(zone))
    , m_random(seed)
{
}

void BackendPool::update(std::span<const InstanceRecord *const> records,
                         const BackendLimits &limits, TimePoint now)
{
    m_limits = limits;
    for (auto &it : m_backends) {
        it.second.isListed = false;
        it.second.limit.setMaximum(limits.slots);
    }
    for (const InstanceRecord *record : records)
        installRecord(*record, now);
    removeUnlisted();
}

void BackendPool::installRecord(const InstanceRecord &record, TimePoint now)
{
    Backend *backend = findBackend(record);
    if (backend == nullptr) {
        backend = &m_backends[m_nextId++];
        backend->name = record.name;
        backend->address = record.address;
        backend->epoch = record.epoch;
        backend->sameZone = record.zone == m_zone;
        const int share = (m_limits.slots + m_limits.entries - 1) / std::max(1, m_limits.entries);
        backend->limit = AdaptiveLimit(share, m_limits.slots);
        if (record.phase == InstancePhase::Warming)
            backend->slowStart.start(now);
    }
    backend->phase = record.phase;
    backend->isListed = true;
}

BackendPool::Backend *BackendPool::findBackend(const InstanceRecord &record)
{
    for (auto &it : m_backends) {
        Backend &backend = it.second;
        if (backend.name == record.name && backend.epoch == record.epoch
            && backend.address == record.address)
            return &backend;
    }
    return nullptr;
}

void BackendPool::removeUnlisted()
{
    std::erase_if(m_backends,
                  [](const auto &it) { return !it.second.isListed && it.second.inFlight == 0; });
}

int BackendPool::limitOf(Backend &backend, TimePoint now) const
{
    const HealthState state = backend.health.state(now);
    if (!backend.accepts() || state == HealthState::Ejected)
        return 0;
    if (state == HealthState::Probing)
        return 1;
    const int entries = std::max(1, m_limits.entries);
    int limit = m_limits.slots;
    if (limitKind(m_selector) == LimitKind::Share)
        limit = m_limits.slots / entries;
    else if (limitKind(m_selector) == LimitKind::Adaptive)
        limit = backend.limit.value(now);
    limit = std::min(limit, m_limits.connections / entries);
    if (limit == 0)
        return 0;
    const double share = backend.slowStart.share(now) / m_largestShare;
    return std::max(1, static_cast<int>(limit * share));
}

void BackendPool::updateLargestShare(TimePoint now)
{
    double largest = 0;
    for (const auto &it : m_backends) {
        if (it.second.accepts())
            largest = std::max(largest, it.second.slowStart.share(now));
    }
    m_largestShare = largest > 0 ? largest : 1;
}

void BackendPool::collectCandidates(int excludedBackend, bool repeatable, TimePoint now)
{
    m_candidates.clear();
    updateLargestShare(now);
    for (auto &it : m_backends) {
        Backend &backend = it.second;
        const int limit = limitOf(backend, now);
        const bool isProbe = backend.health.state(now) == HealthState::Probing;
        if (limit == 0 || it.first == excludedBackend || (isProbe && !repeatable))
            continue;
        m_candidates.push_back({it.first, backend.inFlight, limit, backend.sameZone});
    }
}

std::optional<Assignment> BackendPool::assign(int excludedBackend, bool repeatable, TimePoint now)
{
    collectCandidates(excludedBackend, repeatable, now);
    int chosen = choose(m_selector, m_candidates, m_random);
    if (chosen < 0 && excludedBackend >= 0) {
        collectCandidates(-1, repeatable, now);
        chosen = choose(m_selector, m_candidates, m_random);
    }
    if (chosen < 0)
        return std::nullopt;
    const int id = m_candidates[chosen].backend;
    Backend &backend = m_backends.at(id);
    ++backend.inFlight;
    const bool isLimitTrial = backend.limit.requestSent(backend.inFlight, now);
    const bool isProbe = backend.health.state(now) == HealthState::Probing;
    return Assignment{id, backend.name, backend.address, backend.epoch, isProbe, isLimitTrial};
}

std::optional<HealthEvent> BackendPool::finish(const Assignment &assignment, AttemptResult result,
                                               bool freshConnection, TimePoint now)
{
    const auto it = m_backends.find(assignment.backend);
    if (it == m_backends.end())
        return std::nullopt;
    Backend &backend = it->second;
    if (result == AttemptResult::Refused)
        backend.limit.requestRefused(backend.inFlight, refusalPause(), now);
    else if (result == AttemptResult::Success && assignment.isLimitTrial)
        backend.limit.trialSucceeded();
    --backend.inFlight;
    auto event = updateHealth(backend, result, freshConnection, now);
    if (!backend.isListed)
        removeUnlisted();
    return event;
}

Duration BackendPool::refusalPause()
{
    // Random, so that entry processes that were refused at the same time retry at different times.
    const double factor = 0.5 + m_random.unit();
    const Duration untilFreeSlot = m_serviceTime / std::max(1, m_limits.slots);
    return std::chrono::duration_cast<Duration>(untilFreeSlot * factor);
}

std::optional<HealthEvent> BackendPool::updateHealth(Backend &backend, AttemptResult result,
                                                     bool freshConnection, TimePoint now)
{
    const HealthChange change = backend.health.recordResult(result, freshConnection);
    if (change == HealthChange::Restored) {
        backend.slowStart.start(now);
        return HealthEvent{backend.name, false};
    }
    if (change != HealthChange::EjectionRequested || !canEject(now))
        return std::nullopt;
    backend.health.eject(now);
    return HealthEvent{backend.name, true};
}

bool BackendPool::canEject(TimePoint now)
{
    // If more than a third were ejected, the rest would be overloaded and fail as well.
    constexpr int ejectableDivisor = 3;
    int ejected = 0;
    for (auto &it : m_backends) {
        const bool counts = it.second.accepts();
        ejected += counts && it.second.health.state(now) == HealthState::Ejected ? 1 : 0;
    }
    return (ejected + 1) * ejectableDivisor <= acceptingCount();
}

int BackendPool::totalLimit(TimePoint now)
{
    updateLargestShare(now);
    int sum = 0;
    for (auto &it : m_backends)
        sum += limitOf(it.second, now);
    return sum;
}

int BackendPool::acceptingCount() const
{
    return static_cast<int>(std::count_if(m_backends.begin(), m_backends.end(),
                                          [](const auto &it) { return it.second.accepts(); }));
}

int BackendPool::inFlight() const
{
    int sum = 0;
    for (const auto &it : m_backends)
        sum += it.second.inFlight;
    return sum;
}

int BackendPool::inFlightOn(std::string_view name) const
{
    int sum = 0;
    for (const auto &it : m_backends)
        sum += it.second.name == name ? it.second.inFlight : 0;
    return sum;
}

} // namespace dragonflysill
