#include "dragonflysill/links/pooldispatcher.h"

#include <algorithm>
#include <utility>

namespace dragonflysill {

namespace internal {

// With an exponential service time 1 % of the responses take longer. With 2 deviations 8 % did, and
// under overload each of them is a slot's work without a good response.
constexpr int requiredDeviations = 5;
// Leaves time for the queue if the deadline is short compared with the service time.
constexpr double largestRequiredShare = 0.75;
// Beyond this, a missing response points to the connection rather than to a slow request.
constexpr int silenceDeviations = 8;
constexpr Duration shortestSilence = std::chrono::milliseconds(50);

} // namespace internal

PoolDispatcher::PoolDispatcher(AdmissionPolicy policy, BackendPool backends)
    : m_policy(policy)
    , m_backends(std::move(backends))
{
}

PoolDispatcher::ServiceState &PoolDispatcher::stateOf(std::string_view service)
{
    auto it = m_services.find(service);
    if (it == m_services.end()) {
        ServiceState state{AdmissionQueue(m_policy.order, m_policy.queueCapacity), {}};
        it = m_services.emplace(std::string(service), std::move(state)).first;
    }
    return it->second;
}

const PoolDispatcher::ServiceState *PoolDispatcher::findState(std::string_view service) const
{
    const auto it = m_services.find(service);
    return it == m_services.end() ? nullptr : &it->second;
}

Duration PoolDispatcher::requiredTime(const ServiceState &state, Duration remaining) const
{
    if (!m_policy.shedEarly)
        return Duration(0);
    const auto largest
            = std::chrono::duration_cast<Duration>(remaining * internal::largestRequiredShare);
    return std::min(largest, state.latency.bound(internal::requiredDeviations));
}

DispatchActions PoolDispatcher::update(std::span<const InstanceRecord *const> records,
                                       const BackendLimits &limits, TimePoint now)
{
    m_backends.update(records, limits, now);
    return tick(now);
}

DispatchActions PoolDispatcher::submit(std::string_view service, const PendingRequest &request,
                                       TimePoint now)
{
    DispatchActions actions;
    if (m_backends.accepting() == 0) {
        actions.emplace_back(Rejection{request.key, Failure::NoBackend});
        return actions;
    }
    ServiceState &state = stateOf(service);
    if (queued() == 0) {
        if (auto assignment = m_backends.assign(request.exclude, request.repeatable, now)) {
            actions.emplace_back(Grant{request.key, std::move(*assignment)});
            return actions;
        }
    }
    PendingRequest waiting = request;
    waiting.required = requiredTime(state, request.deadline - now);
    if (cannotMeet(state, waiting, now) || !state.queue.push(waiting))
        actions.emplace_back(Rejection{request.key, Failure::Shed});
    serveQueues(now, actions);
    return actions;
}

bool PoolDispatcher::cannotMeet(const ServiceState &state, const PendingRequest &request,
                                TimePoint now)
{
    if (!m_policy.shedEarly)
        return false;
    std::size_t ahead = 0;
    for (const auto &it : m_services)
        ahead += it.second.queue.ahead(request.deadline);
    const auto turns = static_cast<double>(ahead + 1) / std::max(1, m_backends.concurrency(now));
    const auto wait = std::chrono::duration_cast<Duration>(turns * state.latency.mean());
    return now + wait + request.required > request.deadline;
}

DispatchActions PoolDispatcher::finish(std::string_view service, const Assignment &assignment,
                                       const AttemptReport &end, TimePoint now)
{
    if (end.result == AttemptResult::Success)
        noteServiceTime(stateOf(service), end.took);
    if (auto event = m_backends.finish(assignment, end.result, end.freshConnection, now))
        m_healthEvents.push_back(std::move(*event));
    return tick(now);
}

void PoolDispatcher::noteServiceTime(ServiceState &state, Duration took)
{
    state.latency.add(took);
    m_backends.setServiceTime(state.latency.mean());
}

DispatchActions PoolDispatcher::tick(TimePoint now)
{
    DispatchActions actions;
    if (m_backends.accepting() == 0)
        rejectAll(Failure::NoBackend, actions);
    serveQueues(now, actions);
    return actions;
}

void PoolDispatcher::rejectAll(Failure failure, DispatchActions &actions)
{
    for (auto &it : m_services) {
        while (const PendingRequest *request = it.second.queue.front()) {
            actions.emplace_back(Rejection{request->key, failure});
            it.second.queue.popFront();
        }
    }
}

PoolDispatcher::ServiceState *PoolDispatcher::nextToServe()
{
    ServiceState *best = nullptr;
    for (auto &it : m_services) {
        const PendingRequest *front = it.second.queue.front();
        if (front == nullptr)
            continue;
        if (best == nullptr || front->deadline < best->queue.front()->deadline)
            best = &it.second;
    }
    return best;
}

void PoolDispatcher::serveQueues(TimePoint now, DispatchActions &actions)
{
    while (ServiceState *state = nextToServe()) {
        if (!serveFront(*state, now, actions))
            return;
    }
}

bool PoolDispatcher::serveFront(ServiceState &state, TimePoint now, DispatchActions &actions)
{
    const PendingRequest request = *state.queue.front();
    if (request.deadline <= now) {
        actions.emplace_back(Rejection{request.key, Failure::QueueDeadline});
    } else if (request.deadline < now + request.required) {
        actions.emplace_back(Rejection{request.key, Failure::Shed});
    } else {
        auto assignment = m_backends.assign(request.exclude, request.repeatable, now);
        if (!assignment)
            return false;
        actions.emplace_back(Grant{request.key, std::move(*assignment)});
    }
    state.queue.popFront();
    return true;
}

bool PoolDispatcher::cancel(std::string_view service, RequestKey key, TimePoint deadline)
{
    return stateOf(service).queue.remove(key, deadline);
}

Duration PoolDispatcher::silenceLimit(std::string_view service) const
{
    const ServiceState *state = findState(service);
    if (state == nullptr)
        return internal::shortestSilence;
    return std::max(internal::shortestSilence, state->latency.bound(internal::silenceDeviations));
}

Duration PoolDispatcher::attemptTime(std::string_view service, const Assignment &assignment,
                                     Duration remaining, bool repeatable) const
{
    if (!repeatable)
        return remaining;
    const Duration silence = silenceLimit(service);
    if (assignment.checking)
        return std::min(remaining / 2, silence);
    return std::min(remaining, std::max(remaining / 2, silence));
}

std::vector<HealthEvent> PoolDispatcher::takeHealthEvents()
{
    return std::exchange(m_healthEvents, {});
}

std::size_t PoolDispatcher::queued() const
{
    std::size_t sum = 0;
    for (const auto &it : m_services)
        sum += it.second.queue.size();
    return sum;
}

} // namespace dragonflysill
