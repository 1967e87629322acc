#pragma once

#include "dragonflysill/base/latencyhistogram.h"
#include "dragonflysill/jobs/holdschedule.h"
#include "dragonflysill/jobs/loadgovernor.h"
#include "dragonflysill/jobs/scheduler.h"
#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/net/httpclient.h"
#include "dragonflysill/node/workerorders.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace dragonflysill {

/** Counters of the calls to workers. */
struct WorkerControllerCounts
{
    std::uint64_t holds = 0;
    std::uint64_t holdsUnanswered = 0;
    LatencyHistogram holdDelay; ///< Time from when a hold was due until it was sent.
    std::uint64_t starts = 0;
    std::uint64_t startsRefused = 0;
    std::uint64_t startsUnanswered = 0;
    std::uint64_t startsNotSent = 0;
    std::uint64_t stops = 0;
    std::uint64_t paces = 0;
    std::uint64_t admissionRequests = 0; ///< Requests to the admission service.
};

/** Clients for the calls of a WorkerController, which do not wait for each other. */
struct WorkerClients
{
    HttpClient &holds;
    HttpClient &orders;
    HttpClient &admission;
};

/**
 * Sends the scheduler's orders to the workers and passes their responses to the scheduler. While a
 * worker has runs, a hold request to it is always in flight: it extends the hold of the runs and
 * returns as soon as one of them ends.
 */
class WorkerController
{
public:
    /**
     * @param admissionAddress address of the admission service, which knows the workers that a
     * queue's policy admits; empty for none
     * @param routing chooses whether delegates make the calls
     * @param mayGiveOrders returns whether this node still owns the schedule
     * @param onChange called when a response may allow new scheduling decisions
     */
    WorkerController(EventLoop &loop, const WorkerClients &clients, Scheduler &scheduler,
                     LoadGovernor &governor, std::int64_t fence, std::string admissionAddress,
                     WorkerOrders::Routing routing, std::function<bool()> mayGiveOrders,
                     std::function<void()> onChange);
    ~WorkerController();
    WorkerController(const WorkerController &) = delete;
    WorkerController &operator=(const WorkerController &) = delete;

    /**
     * Sends the order of one decision. If this node does not own the schedule any more, the
     * scheduler is told that the order was not sent.
     */
    void execute(const SchedulerAction &action);

    /** Includes workers that the scheduler has learned of since the last call. */
    void addNewWorkers(TimePoint now);

    /** Sends the hold requests that are due. */
    void sendDueHolds(TimePoint now);

    [[nodiscard]] const WorkerControllerCounts &counts() const { return m_counts; }

    [[nodiscard]] const WorkerOrderCounts &orderCounts() const { return m_orders.counts(); }

    /** Returns the longest delay of a hold since the last call. */
    Duration takeMaxHoldDelay() { return std::exchange(m_maxHoldDelay, Duration{0}); }

private:
    template <typename Order>
    void send(const Order &order);
    void send(const RequestAdmission &request);
    void reportNotSent(const StartTask &start);
    void reportNotSent(const StopTask &stop);
    void reportNotSent(const PaceTask &pace);
    void reportNotSent(const RequestAdmission &request);
    void deliver(const StartTask &start, const std::string &address);
    void deliver(const StopTask &stop, const std::string &address);
    void deliver(const PaceTask &pace, const std::string &address);
    void hold(const std::string &id, const WorkerState &worker, TimePoint now);
    [[nodiscard]] Duration minHoldInterval() const;
    [[nodiscard]] Milliseconds orderTimeout() const;
    /** Returns whether a persistent task of a worker runs, but does not serve yet. */
    [[nodiscard]] static bool startsPersistentTask(const WorkerState &worker);
    /** Returns whether the next report of a worker must list its running tasks. */
    [[nodiscard]] static bool needsRunningList(const WorkerState &worker, TimePoint now);
    void logUnreachable(const std::string &id, const Error &error);
    void holdAnswered(const std::string &id, const Result<WorkerReport> &report, TimePoint sentAt);

    HttpClient &m_admissionClient;
    std::string m_admissionAddress;
    Scheduler &m_scheduler;
    LoadGovernor &m_governor;
    WorkerOrders m_orders;
    std::function<bool()> m_mayGiveOrders;
    std::function<void()> m_onChange;
    HoldSchedule m_holds;
    WorkerControllerCounts m_counts;
    Duration m_maxHoldDelay{0};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dragonflysill
