#pragma once

#include "dragonflysill/links/pooldispatcher.h"
#include "dragonflysill/links/retrypolicy.h"
#include "dragonflysill/links/routetable.h"
#include "dragonflysill/telemetry/timeline.h"
#include "dragonflysill/zones/memberreport.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

namespace dragonflysill {

/** A granted attempt. */
struct GrantedAttempt
{
    Assignment assignment;
    TimePoint grantedAt{};
    TimePoint until{}; ///< When the attempt is given up.
    Duration silenceLimit{0}; ///< Shorter attempts without a response say nothing.
};

/** A request while it is dispatched. */
struct DispatchRequest
{
    std::string_view pool;
    std::string_view service;
    PendingRequest pending;
};

/** Settings of a RequestDispatcher. */
struct DispatchSettings
{
    std::string zone; ///< Availability zone of this entry process.
    Selector selector;
    AdmissionPolicy admission;
    std::uint64_t seed = 1;
};

/**
 * Connects request threads with the dispatch decisions: holds the slots lock around them and blocks
 * each thread until its request is granted or rejected. Thread-safe.
 */
class RequestDispatcher
{
public:
    RequestDispatcher(DispatchSettings settings, Timeline &timeline);

    /** Installs a view: new work stops on every backend server that it does not list as usable. */
    void install(const ViewPointer &view);

    /** Returns the routes of the newest view, or null before the first one. */
    [[nodiscard]] std::shared_ptr<const RouteTable> routes() const { return m_routes.load(); }

    /** Notes a new request for the retry budget. */
    void requestArrived();

    /** Waits until the request may start, is rejected, or its deadline passes. */
    std::variant<GrantedAttempt, Failure> acquire(const DispatchRequest &request);

    /** Ends an attempt. */
    void release(const DispatchRequest &request, const Assignment &assignment,
                 const AttemptReport &end);

    /** Decides about another attempt, see RetryPolicy::nextAttempt(). */
    std::optional<Duration> nextAttempt(const AttemptHistory &history);

    /** Serves waiting requests after time has passed. */
    void tick();

    /** Returns the leaving instances of the newest view without a request in flight. */
    [[nodiscard]] std::vector<DrainedInstance> drained() const;

    /** Returns the requests in flight on backend servers. */
    [[nodiscard]] int inFlight() const;

    /** Returns the requests that wait for a backend server. */
    [[nodiscard]] std::size_t queued() const;

private:
    struct Waiter
    {
        std::condition_variable wake;
        std::optional<DispatchAction> action;
    };

    using Dispatchers = std::map<std::string, PoolDispatcher, std::less<>>;

    PoolDispatcher *findDispatcher(std::string_view pool);
    void updatePool(PoolDispatcher &dispatcher, const std::string &pool, const View &view);
    std::optional<DispatchAction> waitForAction(std::unique_lock<std::mutex> &lock,
                                                PoolDispatcher &dispatcher,
                                                const DispatchRequest &request);
    void apply(DispatchActions actions);
    void recordHealth(std::vector<HealthEvent> events);
    [[nodiscard]] int inFlightOn(std::string_view name) const;

    const DispatchSettings m_settings;
    Timeline &m_timeline;
    std::atomic<std::shared_ptr<const RouteTable>> m_routes;
    mutable std::mutex m_slotsMutex; ///< "slots" in the lock order; guards what follows.
    Dispatchers m_dispatchers;
    std::map<RequestKey, Waiter *> m_waiters;
    RetryPolicy m_retries;
    ViewPointer m_view;
};

} // namespace dragonflysill
