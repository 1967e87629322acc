#include "dragonflysill/node/workercontroller.h"

#include "admissionformat.h"
#include "dragonflysill/telemetry/log.h"

#include <algorithm>
#include <utility>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** Maximum time for which a worker with runs waits for a run to end before it answers a hold. */
constexpr Milliseconds maxHoldWait = 800ms;
/** The same time for a worker with runs that end by themselves, so that a lost answer costs less.
 */
constexpr Milliseconds shortHoldWait = 250ms;
/** Time after that wait at which a worker that has not answered counts as unreachable. */
constexpr Duration holdAnswerTimeout = 500ms;
/** Timeout for an order. */
constexpr Duration orderTimeout = 500ms;
/** The same timeouts on an overloaded node, which reads an answer later than it arrived. */
constexpr Duration maxOrderTimeout = 1500ms;
constexpr Duration maxHoldAnswerTimeout = 1000ms;
/** Timeout for a request to the admission service, which needs time for each worker. */
constexpr Duration admissionTimeout = 3000ms;
/** Minimum interval between two holds of a worker, so that one response reports several ends. */
constexpr Duration minHoldInterval = 25ms;
/** The same interval on an overloaded node; two holds and a wait are shorter than a hold lasts. */
constexpr Duration maxHoldInterval = 400ms;
/** Interval while ended runs wait to be saved; holds are answered immediately in that state. */
constexpr Duration unsavedHoldInterval = 80ms;
/** Interval between two holds of a worker without runs. */
constexpr Duration idleHoldInterval = 2000ms;
/** The same interval on an overloaded node. */
constexpr Duration maxIdleHoldInterval = 4000ms;
/** Interval between two reports of a delegate that list the running tasks. */
constexpr Duration runningListInterval = 2000ms;
/** The same interval while a best-effort task must be paced. */
constexpr Duration shortRunningListInterval = 400ms;
/**
 * The same interval, and the maximum time for which the worker waits, while a persistent task
 * starts up. The next task of its job may leave its worker only once this one serves.
 */
constexpr Milliseconds startupReportInterval = 150ms;
/** Progress of a persistent task that is serving. */
constexpr int servingPercent = 100;
/** Interval between two attempts to reach a worker that did not answer. */
constexpr Duration retryInterval = 250ms;
/** The same interval for a worker without runs that the store does not list. */
constexpr Duration unlistedRetryInterval = 1000ms;

} // namespace internal

WorkerController::WorkerController(EventLoop &loop, const WorkerClients &clients,
                                   Scheduler &scheduler, LoadGovernor &governor, std::int64_t fence,
                                   std::string admissionAddress, WorkerOrders::Routing routing,
                                   std::function<bool()> mayGiveOrders,
                                   std::function<void()> onChange)
    : m_admissionClient(clients.admission)
    , m_admissionAddress(std::move(admissionAddress))
    , m_scheduler(scheduler)
    , m_governor(governor)
    , m_orders(loop, clients.holds, clients.orders, governor, fence, std::move(routing))
    , m_mayGiveOrders(std::move(mayGiveOrders))
    , m_onChange(std::move(onChange))
{
    m_orders.setMayGiveOrders(m_mayGiveOrders);
}

WorkerController::~WorkerController()
{
    *m_alive = false;
}

namespace internal {

template <typename Order>
void logOrder(std::string_view event, const Order &order, const std::string &outcome = {})
{
    if (!debugLogEnabled())
        return;
    logDebug(event, {{"job", order.task.job},
                     {"task", order.task.position()},
                     {"run", std::to_string(order.run)},
                     {"worker", order.worker},
                     {"outcome", outcome}});
}

std::string outcomeName(const OrderOutcome &outcome)
{
    if (const auto *it = std::get_if<StartRefusal>(&outcome))
        return "refused-" + std::to_string(static_cast<int>(*it));
    if (const auto *it = std::get_if<OrderUnanswered>(&outcome))
        return "unanswered: " + it->reason;
    return "confirmed";
}

} // namespace internal

void WorkerController::execute(const SchedulerAction &action)
{
    if (m_mayGiveOrders())
        std::visit([this](const auto &order) { send(order); }, action);
    else
        std::visit([this](const auto &order) { reportNotSent(order); }, action);
}

void WorkerController::reportNotSent(const StartTask &start)
{
    ++m_counts.startsNotSent;
    m_scheduler.startRefused(start, StartRefusal::NotSent, EventLoop::now());
}

void WorkerController::reportNotSent(const StopTask &stop)
{
    // The scheduler repeats a stop that is not answered.
    m_scheduler.stopUnanswered(stop, EventLoop::now());
}

void WorkerController::reportNotSent(const PaceTask &pace)
{
    m_scheduler.paceAnswered(pace, false);
}

void WorkerController::reportNotSent(const RequestAdmission &request)
{
    m_scheduler.admissionUnanswered(request, EventLoop::now());
}

template <typename Order>
void WorkerController::send(const Order &order)
{
    if (const auto *worker = m_scheduler.worker(order.worker))
        deliver(order, worker->description.address);
}

void WorkerController::send(const RequestAdmission &request)
{
    ++m_counts.admissionRequests;
    if (m_admissionAddress.empty()) {
        m_scheduler.admissionUnanswered(request, EventLoop::now());
        return;
    }
    m_admissionClient.call(
            m_admissionAddress,
            platform::encodeAdmissionRequest(request.job, request.occurrence, request.step,
                                             request.workers),
            internal::admissionTimeout,
            [this, alive = m_alive, request](const Result<HttpResponse> &response) {
                if (!*alive)
                    return;
                const auto now = EventLoop::now();
                const auto tickets
                        = response && response->status == 200
                                  ? platform::decodeAdmissionResponse(response->body)
                                  : Result<platform::AdmissionTickets>(
                                          Error(ErrorKind::Unreachable,
                                                "no usable response from the admission service"));
                if (tickets)
                    m_scheduler.admissionAnswered(request, *tickets, now);
                else
                    m_scheduler.admissionUnanswered(request, now);
                m_onChange();
            });
}

void WorkerController::deliver(const StartTask &start, const std::string &address)
{
    ++m_counts.starts;
    internal::logOrder("task-start", start);
    m_orders.start(
            address, start, orderTimeout(),
            [this, alive = m_alive, start, sentAt = EventLoop::now()](const OrderOutcome &outcome) {
                if (!*alive)
                    return;
                internal::logOrder("task-start-answer", start, internal::outcomeName(outcome));
                const auto now = EventLoop::now();
                m_governor.recordResponseTime(now - sentAt, now);
                m_holds.bringForward(start.worker, now + minHoldInterval());
                if (const auto *it = std::get_if<OrderConfirmed>(&outcome)) {
                    m_scheduler.startConfirmed(start, it->clock, now, it->copies);
                } else if (const auto *it = std::get_if<StartRefusal>(&outcome)) {
                    ++(*it == StartRefusal::NotSent ? m_counts.startsNotSent
                                                    : m_counts.startsRefused);
                    m_scheduler.startRefused(start, *it, now);
                } else {
                    ++m_counts.startsUnanswered;
                    logInfo("start-unanswered",
                            {{"job", start.task.job},
                             {"task", start.task.position()},
                             {"run", std::to_string(start.run)},
                             {"worker", start.worker},
                             {"reason", std::get<OrderUnanswered>(outcome).reason}});
                    m_scheduler.startUnanswered(start, now);
                }
                m_onChange();
            },
            [this, start] { return m_scheduler.isStarting(start); });
}

void WorkerController::deliver(const StopTask &stop, const std::string &address)
{
    ++m_counts.stops;
    internal::logOrder("task-stop", stop);
    m_orders.stop(address, stop, orderTimeout(),
                  [this, alive = m_alive, stop](const OrderOutcome &outcome) {
                      if (!*alive)
                          return;
                      internal::logOrder("task-stop-answer", stop, internal::outcomeName(outcome));
                      if (std::holds_alternative<OrderConfirmed>(outcome))
                          m_scheduler.stopConfirmed(stop, EventLoop::now());
                      else
                          m_scheduler.stopUnanswered(stop, EventLoop::now());
                      m_onChange();
                  });
}

void WorkerController::deliver(const PaceTask &pace, const std::string &address)
{
    ++m_counts.paces;
    m_orders.pace(address, pace, orderTimeout(),
                  [this, alive = m_alive, pace](const OrderOutcome &outcome) {
                      if (*alive)
                          m_scheduler.paceAnswered(pace,
                                                   std::holds_alternative<OrderConfirmed>(outcome));
                  });
}

Duration WorkerController::minHoldInterval() const
{
    return m_governor.stretched(internal::minHoldInterval, internal::maxHoldInterval);
}

Milliseconds WorkerController::orderTimeout() const
{
    return std::chrono::duration_cast<Milliseconds>(
            m_governor.stretched(internal::orderTimeout, internal::maxOrderTimeout));
}

void WorkerController::addNewWorkers(TimePoint now)
{
    for (const auto &[id, worker] : m_scheduler.workers()) {
        if (!worker.retired)
            m_holds.add(id, now);
    }
}

void WorkerController::sendDueHolds(TimePoint now)
{
    for (const auto &[id, dueAt] : m_holds.takeDue(now)) {
        const auto *worker = m_scheduler.worker(id);
        if (worker == nullptr || worker->retired) {
            m_holds.remove(id);
            continue;
        }
        m_counts.holdDelay.observe(now - dueAt);
        m_maxHoldDelay = std::max(m_maxHoldDelay, now - dueAt);
        hold(id, *worker, now);
    }
}

void WorkerController::hold(const std::string &id, const WorkerState &worker, TimePoint now)
{
    // A run that was stopped before it started reports no end, so waiting for one would be useless.
    const bool stopping = std::ranges::any_of(worker.runs, [](const auto &it) {
        return it.second.phase == TaskRun::Phase::Stopping;
    });
    const bool mayWait = worker.reachable && worker.busy() && worker.pendingEnds.empty()
                         && worker.time.known() && !stopping;
    const bool onlyPersistent = worker.persistentRuns == static_cast<int>(worker.runs.size());
    const auto wait = startsPersistentTask(worker) ? internal::startupReportInterval
                      : onlyPersistent             ? internal::maxHoldWait
                                                   : internal::shortHoldWait;
    DelegatedHold request;
    request.worker = {id, worker.description.address};
    request.request = m_scheduler.holdRequest(id, now);
    request.wait = mayWait ? wait : Milliseconds(0);
    request.timeout = std::chrono::duration_cast<Milliseconds>(
            m_governor.stretched(internal::holdAnswerTimeout, internal::maxHoldAnswerTimeout));
    request.listRunning = needsRunningList(worker, now);
    ++m_counts.holds;
    m_orders.hold(std::move(request),
                  [this, alive = m_alive, id, now](const Result<WorkerReport> &report) {
                      if (*alive)
                          holdAnswered(id, report, now);
                  });
}

bool WorkerController::startsPersistentTask(const WorkerState &worker)
{
    return worker.persistentRuns > 0 && std::ranges::any_of(worker.runs, [](const auto &it) {
               return it.second.persistent && it.second.phase == TaskRun::Phase::Running
                      && it.second.percent < internal::servingPercent;
           });
}

bool WorkerController::needsRunningList(const WorkerState &worker, TimePoint now)
{
    if (!worker.fenced || !worker.reachable || !worker.otherRuns.empty())
        return true;
    const auto age = now - worker.lastReport;
    if (age >= internal::runningListInterval
        || (age >= internal::startupReportInterval && startsPersistentTask(worker)))
        return true;
    return std::ranges::any_of(worker.runs, [age](const auto &it) {
        const auto &run = it.second;
        // Only a list shows that a stopped run is gone.
        const bool settling
                = run.phase == TaskRun::Phase::Stopping || run.phase == TaskRun::Phase::Unconfirmed;
        const bool paced = run.reserved.milliCores == 0;
        return settling || (paced && age >= internal::shortRunningListInterval);
    });
}

void WorkerController::logUnreachable(const std::string &id, const Error &error)
{
    const auto *worker = m_scheduler.worker(id);
    if (worker == nullptr || !worker->reachable)
        return;
    logInfo("worker-unreachable", {{"worker", id},
                                   {"runs", std::to_string(worker->runs.size())},
                                   {"held_ms", std::to_string((worker->heldUntil - EventLoop::now())
                                                              / std::chrono::milliseconds(1))},
                                   {"error", error.text()}});
}

void WorkerController::holdAnswered(const std::string &id, const Result<WorkerReport> &report,
                                    TimePoint sentAt)
{
    const auto now = EventLoop::now();
    if (report) {
        for (const auto &it : report->ended) {
            if (it.end == RunEnd::Failed)
                logInfo("task-failed", {{"job", it.task.job},
                                        {"task", it.task.position()},
                                        {"run", std::to_string(it.run)},
                                        {"worker", id}});
            if (debugLogEnabled())
                logDebug("task-end", {{"job", it.task.job},
                                      {"task", it.task.position()},
                                      {"run", std::to_string(it.run)},
                                      {"worker", id},
                                      {"how", std::to_string(static_cast<int>(it.end))}});
        }
        const auto *worker = m_scheduler.worker(id);
        if (worker != nullptr && worker->startedMs != report->startedMs) {
            auto dated = *report;
            dated.age = Milliseconds(unixMilliseconds() - report->startedMs);
            m_scheduler.holdAnswered(id, dated, sentAt, now);
        } else {
            m_scheduler.holdAnswered(id, *report, sentAt, now);
        }
        worker = m_scheduler.worker(id);
        const bool idle = worker == nullptr || !worker->busy();
        const bool unsaved = worker != nullptr
                             && (!worker->pendingEnds.empty()
                                 || std::ranges::any_of(worker->runs, [](const auto &it) {
                                        return it.second.phase == TaskRun::Phase::Stopping;
                                    }));
        m_holds.answered(id,
                         now
                                 + (unsaved ? m_governor.stretched(internal::unsavedHoldInterval,
                                                                   internal::maxHoldInterval)
                                    : idle  ? m_governor.stretched(internal::idleHoldInterval,
                                                                   internal::maxIdleHoldInterval)
                                            : minHoldInterval()));
    } else {
        ++m_counts.holdsUnanswered;
        if (report.error().is(ErrorKind::LeaseLost))
            m_scheduler.newerOwnerSeen();
        logUnreachable(id, report.error());
        m_scheduler.holdUnanswered(id, now);
        const auto *worker = m_scheduler.worker(id);
        const bool expected = worker == nullptr || worker->listed || worker->busy();
        m_holds.answered(
                id, now + (expected ? internal::retryInterval : internal::unlistedRetryInterval));
    }
    m_onChange();
}

} // namespace dragonflysill
