#pragma once

#include "dragonflysill/jobs/loadgovernor.h"
#include "dragonflysill/jobs/orderattempts.h"
#include "dragonflysill/jobs/scheduler.h"
#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/net/httpclient.h"
#include "dragonflysill/peers/peerlink.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>

namespace dragonflysill {

namespace platform {
class WorkerCalls;
}

/** This node calls the worker itself. */
struct DirectChannel
{
};

/** Another node calls the worker for this one. */
struct DelegateChannel
{
    PeerLink *link = nullptr; ///< Never null.
};

/** How a call to a worker is sent. */
using WorkerChannel = std::variant<DirectChannel, DelegateChannel>;

/** How often calls to workers were sent. */
struct WorkerOrderCounts
{
    std::uint64_t delegated = 0; ///< Calls that a delegate was asked to make.
    std::uint64_t direct = 0; ///< Calls that this node made itself.
    std::uint64_t repeated = 0; ///< Copies that were sent for want of an answer.
};

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

    /** Chooses the channels of calls. */
    struct Routing
    {
        /** Returns the channel of a copy, counted from 0. */
        std::function<WorkerChannel(const WorkerTarget &worker, int copy)> route;
        /** Called when the link of a delegate has failed. */
        std::function<void(const WorkerChannel &channel)> failed;
    };

    /**
     * @param holdClient client for holds, so that they do not wait for orders
     * @param fence fencing token of the owner that gives the orders
     * @param routing empty functions to make all calls directly
     */
    WorkerOrders(EventLoop &loop, HttpClient &holdClient, HttpClient &orderClient,
                 const LoadGovernor &governor, std::int64_t fence, Routing routing = {});
    ~WorkerOrders();
    WorkerOrders(const WorkerOrders &) = delete;
    WorkerOrders &operator=(const WorkerOrders &) = delete;

    /**
     * @param timeout time for the worker's answer to each copy of the order
     * @param undecided returns whether it is not known otherwise what became of the order; if it
     * is, no further copy is sent. Empty if only answers tell.
     */
    void start(const std::string &address, const StartTask &order, Milliseconds timeout,
               OrderCallback callback, std::function<bool()> undecided = {});
    void stop(const std::string &address, const StopTask &order, Milliseconds timeout,
              OrderCallback callback);
    void pace(const std::string &address, const PaceTask &order, Milliseconds timeout,
              OrderCallback callback);

    /** Extends the hold of a worker's runs and reads its report; the first answer counts. */
    void hold(DelegatedHold hold, ReportCallback callback);

    /** Sets a function that returns whether the owner may give orders; asked for each copy. */
    void setMayGiveOrders(std::function<bool()> mayGiveOrders)
    {
        m_mayGiveOrders = std::move(mayGiveOrders);
    }

    /** Stops sending: what has not been written yet is withdrawn, and nothing is sent again. */
    void withdraw() { m_withdrawn = true; }

    [[nodiscard]] const WorkerOrderCounts &counts() const { return m_counts; }

private:
    /** Sends a copy over a channel. */
    template <typename Callback>
    using Send = std::function<void(const WorkerChannel &channel, Callback callback)>;

    struct PendingOrder;
    struct PendingHold;

    [[nodiscard]] WorkerChannel route(const WorkerTarget &worker, int copy);
    /** Sends an order with copies. */
    template <typename Delegated>
    void send(Delegated order);
    /** Sends a copy of an order and decides when to send the next one. */
    void sendCopy(const std::shared_ptr<PendingOrder> &order);
    void sendCopy(const std::shared_ptr<PendingHold> &hold);
    /** Sends another copy of an order that may have one. */
    void repeat(const std::shared_ptr<PendingOrder> &order);
    [[nodiscard]] bool mayRepeat(const PendingHold &hold) const;
    /** Returns whether copies of orders may still be sent. */
    [[nodiscard]] bool mayGiveOrders() const;
    void orderAnswered(const std::shared_ptr<PendingOrder> &order, const OrderOutcome &outcome);
    void holdAnswered(const std::shared_ptr<PendingHold> &hold, const Result<WorkerReport> &report);
    /** Runs an action unless this object has been destroyed by then. */
    void after(Duration delay, std::function<void()> action);
    void runDue();
    void runDueLater();
    [[nodiscard]] Duration repeatDelay(const WorkerChannel &channel) const;

    EventLoop &m_loop;
    const LoadGovernor &m_governor;
    Routing m_routing;
    std::function<bool()> m_mayGiveOrders;
    std::unique_ptr<platform::WorkerCalls> m_calls;
    std::multimap<TimePoint, std::function<void()>> m_due;
    bool m_timerRuns = false;
    bool m_withdrawn = false;
    WorkerOrderCounts m_counts;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dragonflysill
