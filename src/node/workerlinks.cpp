#include "dragonflysill/node/workerlinks.h"

#include "adviceformat.h"
#include "dragonflysill/telemetry/log.h"
#include "workercalls.h"

#include <algorithm>
#include <utility>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** How long a worker with runs may wait for an end before it answers a hold. */
constexpr Milliseconds holdWait = 800ms;
/** Time beyond the wait after which a worker counts as unreachable. */
constexpr Duration holdTimeout = 500ms;
/** Time for the answer to an order. */
constexpr Duration orderTimeout = 500ms;
/** Time for the answer about the workers that a policy admits; it takes time for each of them. */
constexpr Duration adviceTimeout = 3000ms;
/** Least time between two holds of one worker, so that several ends share one answer. */
constexpr Duration holdSpacing = 25ms;
/** The same while ends wait to be saved, since such a hold is answered at once. */
constexpr Duration unsavedSpacing = 80ms;
/** Time between two looks at a worker without runs. */
constexpr Duration idleSpacing = 2000ms;
/** Time between two tries to reach a worker that did not answer. */
constexpr Duration retrySpacing = 250ms;

} // namespace internal

WorkerLinks::WorkerLinks(HttpClient &client, Scheduler &scheduler, std::int64_t fence,
                         std::string adviceAddress, std::function<bool()> mayOrder,
                         std::function<void()> changed)
    : m_client(client)
    , m_adviceAddress(std::move(adviceAddress))
    , m_scheduler(scheduler)
    , m_calls(std::make_unique<platform::WorkerCalls>(client, fence))
    , m_mayOrder(std::move(mayOrder))
    , m_changed(std::move(changed))
{
}

WorkerLinks::~WorkerLinks()
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

std::string outcomeName(const platform::OrderOutcome &outcome)
{
    if (const auto *it = std::get_if<StartRefusal>(&outcome))
        return "refused-" + std::to_string(static_cast<int>(*it));
    return std::holds_alternative<platform::OrderConfirmed>(outcome) ? "confirmed" : "unanswered";
}

} // namespace internal

void WorkerLinks::execute(const SchedulerAction &action)
{
    if (m_mayOrder())
        std::visit([this](const auto &order) { send(order); }, action);
}

template <typename Order>
void WorkerLinks::send(const Order &order)
{
    if (const auto *worker = m_scheduler.worker(order.worker))
        carry(order, worker->description.address);
}

void WorkerLinks::send(const RequestAdmission &question)
{
    ++m_counts.questions;
    if (m_adviceAddress.empty()) {
        m_scheduler.admissionUnanswered(question, EventLoop::now());
        return;
    }
    m_client.call(
            m_adviceAddress,
            platform::askAdvice(question.job, question.occurrence, question.step, question.workers),
            internal::adviceTimeout,
            [this, alive = m_alive, question](const Result<HttpResponse> &response) {
                if (!*alive)
                    return;
                const auto now = EventLoop::now();
                const auto tickets = response && response->status == 200
                                             ? platform::decodeAdvice(response->body)
                                             : Result<platform::AdmissionTickets>(
                                                     Error(ErrorKind::Unreachable, "no advice"));
                if (tickets)
                    m_scheduler.admissionAnswered(question, *tickets, now);
                else
                    m_scheduler.admissionUnanswered(question, now);
                m_changed();
            });
}

void WorkerLinks::carry(const StartTask &start, const std::string &address)
{
    ++m_counts.starts;
    internal::logOrder("task-start", start);
    m_calls->start(address, start, internal::orderTimeout,
                   [this, alive = m_alive, start](const platform::OrderOutcome &outcome) {
                       if (!*alive)
                           return;
                       internal::logOrder("task-start-answer", start,
                                          internal::outcomeName(outcome));
                       const auto now = EventLoop::now();
                       auto &link = m_links[start.worker];
                       link.nextHold = std::min(link.nextHold, now + internal::holdSpacing);
                       if (const auto *it = std::get_if<platform::OrderConfirmed>(&outcome)) {
                           m_scheduler.startConfirmed(start, it->clock, now);
                       } else if (const auto *it = std::get_if<StartRefusal>(&outcome)) {
                           ++m_counts.startsRefused;
                           m_scheduler.startRefused(start, *it, now);
                       } else {
                           ++m_counts.startsUnanswered;
                           logInfo("start-unanswered", {{"job", start.task.job},
                                                        {"task", start.task.position()},
                                                        {"run", std::to_string(start.run)},
                                                        {"worker", start.worker}});
                           m_scheduler.startUnanswered(start, now);
                       }
                       m_changed();
                   });
}

void WorkerLinks::carry(const StopTask &stop, const std::string &address)
{
    ++m_counts.stops;
    internal::logOrder("task-stop", stop);
    m_calls->stop(address, stop, internal::orderTimeout,
                  [this, alive = m_alive, stop](const platform::OrderOutcome &outcome) {
                      if (!*alive)
                          return;
                      internal::logOrder("task-stop-answer", stop, internal::outcomeName(outcome));
                      if (std::holds_alternative<platform::OrderConfirmed>(outcome))
                          m_scheduler.stopConfirmed(stop, EventLoop::now());
                      else
                          m_scheduler.stopUnanswered(stop, EventLoop::now());
                      m_changed();
                  });
}

void WorkerLinks::carry(const PaceTask &pace, const std::string &address)
{
    ++m_counts.paces;
    m_calls->pace(address, pace, internal::orderTimeout,
                  [this, alive = m_alive, pace](const platform::OrderOutcome &outcome) {
                      if (*alive)
                          m_scheduler.paceAnswered(
                                  pace, std::holds_alternative<platform::OrderConfirmed>(outcome));
                  });
}

void WorkerLinks::pump(TimePoint now)
{
    for (const auto &[id, worker] : m_scheduler.workers()) {
        auto &link = m_links[id];
        if (link.holding || worker.retired || now < link.nextHold)
            continue;
        hold(id, worker, link, now);
    }
    if (m_links.size() > m_scheduler.workers().size())
        std::erase_if(m_links, [this](const auto &it) {
            return !it.second.holding && m_scheduler.worker(it.first) == nullptr;
        });
}

void WorkerLinks::hold(const std::string &id, const WorkerState &worker, Link &link, TimePoint now)
{
    // A run that was stopped before it began has no end to wait for.
    const bool stopping = std::ranges::any_of(worker.runs, [](const auto &it) {
        return it.second.phase == TaskRun::Phase::Stopping;
    });
    const bool waits = worker.reachable && worker.busy() && worker.pendingEnds.empty()
                       && worker.time.known() && !stopping;
    link.holding = true;
    ++m_counts.holds;
    m_calls->hold(worker.description.address, id, m_scheduler.holdRequest(id, now),
                  waits ? internal::holdWait : Milliseconds(0), internal::holdTimeout,
                  [this, alive = m_alive, id, now](const Result<WorkerReport> &report) {
                      if (*alive)
                          held(id, report, now);
                  });
}

void WorkerLinks::noteUnanswered(const std::string &id, const Error &error)
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

void WorkerLinks::held(const std::string &id, const Result<WorkerReport> &report, TimePoint sentAt)
{
    const auto now = EventLoop::now();
    auto &link = m_links[id];
    link.holding = false;
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
        m_scheduler.reported(id, *report, sentAt, now);
        const auto *worker = m_scheduler.worker(id);
        const bool idle = worker == nullptr || !worker->busy();
        const bool unsaved = worker != nullptr
                             && (!worker->pendingEnds.empty()
                                 || std::ranges::any_of(worker->runs, [](const auto &it) {
                                        return it.second.phase == TaskRun::Phase::Stopping;
                                    }));
        link.nextHold = now
                        + (unsaved ? internal::unsavedSpacing
                           : idle  ? internal::idleSpacing
                                   : internal::holdSpacing);
    } else {
        ++m_counts.holdsUnanswered;
        noteUnanswered(id, report.error());
        m_scheduler.holdUnanswered(id, now);
        link.nextHold = now + internal::retrySpacing;
    }
    m_changed();
}

} // namespace dragonflysill
