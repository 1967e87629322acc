#pragma once

#include "dragonflysill/links/admissionqueue.h"
#include "dragonflysill/links/backendpool.h"
#include "dragonflysill/links/latencyestimate.h"
#include "dragonflysill/links/outcome.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dragonflysill {

/** Action: send the request to a backend server. */
struct Grant
{
    RequestKey key = 0;
    Assignment assignment;
};

/** Action: fail the request without sending it. */
struct Rejection
{
    RequestKey key = 0;
    Failure failure = Failure::Shed;
};

using DispatchAction = std::variant<Grant, Rejection>;
using DispatchActions = std::vector<DispatchAction>;

/** Settings of the admission queues of a pool. */
struct AdmissionPolicy
{
    QueueOrder order = QueueOrder::Deadline;
    bool shedEarly = true; ///< Reject requests that would be late; not in the baseline.
    std::size_t queueCapacity = 1000; ///< Largest number of waiting requests per service.
};

/** The result of an attempt. */
struct AttemptReport
{
    AttemptResult result = AttemptResult::Success;
    bool freshConnection = false;
    Duration duration{0}; ///< From the grant to the complete response.
};

/**
 * Admission and backend server selection for all services of one pool. Each event returns the
 * actions to carry out. Uses no lock, clock or socket: the owner serializes the calls and passes
 * the time.
 */
class PoolDispatcher
{
public:
    PoolDispatcher(AdmissionPolicy policy, BackendPool backends);

    /** Installs the pool's records from a view and serves waiting requests. */
    DispatchActions update(std::span<const InstanceRecord *const> records,
                           const BackendLimits &limits, TimePoint now);

    /** Admits a request of a service: grants, queues or rejects it. */
    DispatchActions submit(std::string_view service, const PendingRequest &request, TimePoint now);

    /** Ends an attempt of a request of a service and serves waiting requests. */
    DispatchActions finish(std::string_view service, const Assignment &assignment,
                           const AttemptReport &end, TimePoint now);

    /** Rejects waiting requests that have expired and serves others. */
    DispatchActions tick(TimePoint now);

    /** Removes a waiting request; returns false if it was already granted or rejected. */
    bool cancel(std::string_view service, RequestKey key, TimePoint deadline);

    /** Returns the time without a response after which a connection counts as unresponsive. */
    [[nodiscard]] Duration silenceLimit(std::string_view service) const;

    /** Returns the timeout of an attempt; it leaves a repeatable request time for a retry. */
    [[nodiscard]] Duration attemptTimeout(std::string_view service, const Assignment &assignment,
                                          Duration remaining, bool repeatable) const;

    /** Returns the ejections and restorations since the last call. */
    std::vector<HealthEvent> takeHealthEvents();

    [[nodiscard]] const BackendPool &backends() const { return m_backends; }
    /** Returns the number of waiting requests of all services. */
    [[nodiscard]] std::size_t queued() const;

private:
    struct ServiceState
    {
        AdmissionQueue queue;
        LatencyEstimate latency;
    };

    using Services = std::map<std::string, ServiceState, std::less<>>;

    ServiceState &findOrAddState(std::string_view service);
    const ServiceState *findState(std::string_view service) const;
    void recordServiceTime(ServiceState &state, Duration duration);
    ServiceState *nextService();
    [[nodiscard]] Duration minAttemptTime(const ServiceState &state, Duration remaining) const;
    bool willMissDeadline(const ServiceState &state, const PendingRequest &request, TimePoint now);
    bool serveFront(ServiceState &state, TimePoint now, DispatchActions &actions);
    void serveQueues(TimePoint now, DispatchActions &actions);
    void rejectAll(Failure failure, DispatchActions &actions);

    AdmissionPolicy m_policy;
    BackendPool m_backends;
    Services m_services;
    std::vector<HealthEvent> m_healthEvents;
};

} // namespace dragonflysill
