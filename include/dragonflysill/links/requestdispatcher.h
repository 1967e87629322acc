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

/** Permission to send a request to a backend server once. */
struct GrantedAttempt
{
    Assignment assignment;
    TimePoint grantedAt{};
    TimePoint until{}; ///< Time at which the attempt times out.
    Duration silenceLimit{0}; ///< Shorter attempts do not count as Silent.
};

/** A request together with its pool and service. */
struct DispatchRequest
{
    std::string_view pool;
    std::string_view service;
    PendingRequest pending;
};

/** Settings of the dispatch of requests in an entry process. */
struct DispatchSettings
{
    std::string zone; ///< Availability zone of this entry process.
    Selector selector;
    AdmissionPolicy admission;
    std::uint64_t seed = 1;
};

/**
 * Dispatches the requests of all request threads: passes each request to the PoolDispatcher of its
 * pool under the slots lock, and blocks the calling thread until the request is granted or
 * rejected. Thread-safe.
 */
class RequestDispatcher
{
public:
    RequestDispatcher(DispatchSettings settings, Timeline &timeline);

    /** Installs a view; backend servers that it does not list as usable get no new requests. */
    void install(const ViewPointer &view);

    /** Returns the routes of the newest view, or null before the first one. */
    [[nodiscard]] std::shared_ptr<const RouteTable> routes() const { return m_routes.load(); }

    /** Adds a new request to the retry budget. */
    void requestArrived();

    /** Blocks until the request may be sent, is rejected, or its deadline passes. */
    std::variant<GrantedAttempt, Failure> acquire(const DispatchRequest &request);

    /** Ends an attempt and frees its slot. */
    void release(const DispatchRequest &request, const Assignment &assignment,
                 const AttemptReport &end);

    /** Decides whether to retry; see RetryPolicy::nextAttempt(). */
    std::optional<Duration> nextAttempt(const AttemptHistory &history);

    /** Rejects waiting requests that have expired and serves others; called at intervals. */
    void tick();

    /** Returns the leaving instances of the newest view that have no request in flight. */
    [[nodiscard]] std::vector<DrainedInstance> drained() const;

    /** Returns the number of requests in flight on backend servers. */
    [[nodiscard]] int inFlight() const;

    /** Returns the number of requests that wait for a backend server. */
    [[nodiscard]] std::size_t queued() const;

private:
    /** A request thread that is blocked in acquire(). */
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
    /** The lock "slots" of the lock order; guards the members below. */
    mutable std::mutex m_slotsMutex;
    Dispatchers m_dispatchers;
    std::map<RequestKey, Waiter *> m_waiters;
    RetryPolicy m_retries;
    ViewPointer m_view;
};

} // namespace dragonflysill
