#pragma once

#include "dragonflysill/jobs/loadgovernor.h"
#include "dragonflysill/jobs/orderattempts.h"
#include "dragonflysill/jobs/scheduler.h"
#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/net/httpclient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace dragonflysill {

namespace platform {
class WorkerCalls;
}

/**
 * Sends orders and holds to workers, and sends them again while they are not answered. Single calls
 * get lost or are held up while the worker is well; waiting for their timeout would leave the
 * worker's capacity unused and its ended runs unnoticed.
 */
class WorkerOrders
{
public:
    using OrderCallback = std::function<void(const OrderOutcome &)>;
    using ReportCallback = std::function<void(const Result<WorkerReport> &)>;

    /**
     * @param holdClient client for holds, so that they do not wait for orders
     * @param fence fencing token of the owner that gives the orders
     */
    WorkerOrders(EventLoop &loop, HttpClient &holdClient, HttpClient &orderClient,
                 const LoadGovernor &governor, std::int64_t fence);
    ~WorkerOrders();
    WorkerOrders(const WorkerOrders &) = delete;
    WorkerOrders &operator=(const WorkerOrders &) = delete;

    /** @param timeout time for the answer to each copy of the order */
    void start(const std::string &address, const StartTask &order, Duration timeout,
               OrderCallback callback);
    void stop(const std::string &address, const StopTask &order, Duration timeout,
              OrderCallback callback);
    void pace(const std::string &address, const PaceTask &order, Duration timeout,
              OrderCallback callback);

    /**
     * Extends the hold of a worker's runs and reads its report; the first answer to a copy counts.
     * @param wait time for which the worker may wait for a run to end before it answers
     * @param timeout time for the response after @p wait
     */
    void hold(const std::string &address, const std::string &worker, const HoldRequest &request,
              Milliseconds wait, Duration timeout, ReportCallback callback);

    /** Returns the number of calls that were sent again. */
    [[nodiscard]] std::uint64_t repeated() const { return m_repeated; }

private:
    struct PendingOrder;
    struct PendingHold;

    /** Sends a copy of an order and decides when to send the next one. */
    void sendCopy(const std::shared_ptr<PendingOrder> &order);
    void sendCopy(const std::shared_ptr<PendingHold> &hold);
    /** Runs an action unless this object has been destroyed by then. */
    void after(Duration delay, std::function<void()> action);
    void runDue();
    [[nodiscard]] Duration repeatDelay() const;

    EventLoop &m_loop;
    const LoadGovernor &m_governor;
    std::unique_ptr<platform::WorkerCalls> m_calls;
    std::multimap<TimePoint, std::function<void()>> m_due;
    bool m_timerRuns = false;
    std::uint64_t m_repeated = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dragonflysill
