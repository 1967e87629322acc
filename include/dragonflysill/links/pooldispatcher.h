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

/** Lets a request start on a backend server. */
struct Grant
{
    RequestKey key = 0;
    Assignment assignment;
};

/** Ends a request that was not sent. */
struct Rejection
{
    RequestKey key = 0;
    Failure failure = Failure::Shed;
};

using DispatchAction = std::variant<Grant, Rejection>;
using DispatchActions = std::vector<DispatchAction>;

/** How requests are admitted. */
struct AdmissionPolicy
{
    QueueOrder order = QueueOrder::Deadline;
    bool shedEarly = true; ///< False only in the baseline.
    std::size_t queueCapacity = 1000; ///< Waiting requests per service.
};

/** The end of an attempt. */
struct AttemptReport
{
    AttemptResult result = AttemptResult::Success;
    bool freshConnection = false;
    Duration took{0}; ///< From the grant to the complete response.
};

/**
 * Admission and backend server selection for all services of one pool. Decision code: events go in,
 * actions come out; the owner guards it and passes the time.
 */
class PoolDispatcher
{
public:
    PoolDispatcher(AdmissionPolicy policy, BackendPool backends);

    /** Installs the pool's records from a view. */
    DispatchActions update(std::span<const InstanceRecord *const> records,
                           const BackendLimits &limits, TimePoint now);

    /** Admits a request of a service: grants, queues or rejects it. */
    DispatchActions submit(std::string_view service, const PendingRequest &request, TimePoint now);

    /** Ends an attempt of a request of a service and serves waiting requests. */
    DispatchActions finish(std::string_view service, const Assignment &assignment,
                           const AttemptReport &end, TimePoint now);

    /** Serves waiting requests after time has passed. */
    DispatchActions tick(TimePoint now);

    /** Removes a waiting request; returns false if it was already granted or rejected. */
    bool cancel(std::string_view service, RequestKey key, TimePoint deadline);

    /** Returns the time that an attempt may take before its connection counts as unresponsive. */
    [[nodiscard]] Duration silenceLimit(std::string_view service) const;

    /** Returns the time to give an attempt so that a repeatable request can be tried again. */
    [[nodiscard]] Duration attemptTime(std::string_view service, const Assignment &assignment,
                                       Duration remaining, bool repeatable) const;

    /** Returns the ejections and restorations since the last call. */
    std::vector<HealthEvent> takeHealthEvents();

    [[nodiscard]] const BackendPool &backends() const { return m_backends; }
    [[nodiscard]] std::size_t queued() const;

private:
    struct ServiceState
    {
        AdmissionQueue queue;
        LatencyEstimate latency;
    };

    using Services = std::map<std::string, ServiceState, std::less<>>;

    ServiceState &stateOf(std::string_view service);
    const ServiceState *findState(std::string_view service) const;
    void noteServiceTime(ServiceState &state, Duration took);
    ServiceState *nextToServe();
    [[nodiscard]] Duration requiredTime(const ServiceState &state, Duration remaining) const;
    bool cannotMeet(const ServiceState &state, const PendingRequest &request, TimePoint now);
    bool serveFront(ServiceState &state, TimePoint now, DispatchActions &actions);
    void serveQueues(TimePoint now, DispatchActions &actions);
    void rejectAll(Failure failure, DispatchActions &actions);

    AdmissionPolicy m_policy;
    BackendPool m_backends;
    Services m_services;
    std::vector<HealthEvent> m_healthEvents;
};

} // namespace dragonflysill
