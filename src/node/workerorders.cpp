#include "dragonflysill/node/workerorders.h"

#include "dragonflysill/telemetry/log.h"
#include "workercalls.h"

#include <chrono>
#include <optional>
#include <utility>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** Time without an answer after which a call is sent again; workers answer within milliseconds. */
constexpr Duration repeatDelay = 80ms;
/** The same time on an overloaded node, which reads an answer later than it arrived. */
constexpr Duration maxRepeatDelay = 500ms;
/** The same times for a call by a delegate, which sends it again itself before. */
constexpr Duration delegateRepeatDelay = 300ms;
constexpr Duration maxDelegateRepeatDelay = 800ms;
/** Time for the way to a delegate and back, besides the timeouts of all copies of a call. */
constexpr Duration delegateMargin = 600ms;
/** Interval at which calls that are due to be sent again are looked for. */
constexpr Duration repeatCheckInterval = 20ms;
/** Maximum number of copies of a hold. */
constexpr int maxHoldCopies = 3;

/** Makes a call directly. */
struct DirectCall
{
    platform::WorkerCalls &calls;
    const WorkerOrders::OrderCallback &callback;
    const HttpClient::Wanted &wanted;

    void operator()(const DelegatedStart &it) const
    {
        calls.start(it.address, it.order, it.timeout, callback, wanted);
    }

    void operator()(const DelegatedStop &it) const
    {
        calls.stop(it.address, it.order, it.timeout, callback, wanted);
    }

    void operator()(const DelegatedPace &it) const
    {
        calls.pace(it.address, it.order, it.timeout, callback, wanted);
    }
};

using DelegatedOrder = std::variant<DelegatedStart, DelegatedStop, DelegatedPace>;

WorkerTarget targetOf(const DelegatedOrder &order)
{
    return std::visit(
            [](const auto &it) {
                return WorkerTarget{it.order.worker, it.address};
            },
            order);
}

/** Returns what an answer of a delegate means for an order. */
OrderOutcome outcomeOf(const Result<PeerAnswer> &answer)
{
    if (!answer)
        return answer.error().is(ErrorKind::Unreachable)
                       ? OrderOutcome(StartRefusal::NotSent)
                       : OrderOutcome(OrderUnanswered{answer.error().text()});
    if (const auto *it = std::get_if<OrderConfirmed>(&*answer))
        return *it;
    if (const auto *it = std::get_if<StartRefusal>(&*answer))
        return *it;
    const auto *error = std::get_if<Error>(&*answer);
    return OrderUnanswered{error == nullptr ? "unexpected answer" : error->text()};
}

/** Logs a hold for one incarnation of its worker that another one has answered. */
void logAnswerOfOtherIncarnation(const std::string &worker, const HoldRequest &request,
                                 const platform::HoldAnswer &answer)
{
    if (!request.isBound() || request.startedMs == 0
        || request.startedMs == answer.report.startedMs)
        return;
    logInfo(answer.withheld ? "hold-withheld-from-other-incarnation"
                            : "hold-reached-other-incarnation",
            {{"worker", worker},
             {"sent_to", std::to_string(request.startedMs)},
             {"answered_by", std::to_string(answer.report.startedMs)},
             {"clock_ms", std::to_string(answer.report.clock)},
             {"hold_until", std::to_string(request.holdUntil.value_or(0))},
             {"acknowledged", std::to_string(request.acknowledgedEnds)},
             {"connection_age_ms", std::to_string(answer.connection.age / 1ms)},
             {"earlier_answers", std::to_string(answer.connection.answers)},
             {"response_ms", std::to_string(answer.connection.responseTime / 1ms)}});
}

Result<WorkerReport> reportOf(const Result<PeerAnswer> &answer)
{
    if (!answer)
        return answer.error();
    if (const auto *it = std::get_if<WorkerReport>(&*answer))
        return *it;
    const auto *error = std::get_if<Error>(&*answer);
    return error == nullptr ? Error(ErrorKind::Corrupt, "unexpected answer of a delegate") : *error;
}

} // namespace internal

/** An order and its copies. */
struct WorkerOrders::PendingOrder
{
    internal::DelegatedOrder order;
    OrderCallback callback;
    OrderAttempts attempts;
    int sent = 0;
    std::function<bool()> undecided{}; ///< See start().
    TimePoint sendUntil{}; ///< Copies that are due later, after a pause, are not sent.
};

/** A hold and its copies. */
struct WorkerOrders::PendingHold
{
    DelegatedHold hold;
    ReportCallback callback;
    int sent = 0;
    int outstanding = 0;
};

WorkerOrders::WorkerOrders(EventLoop &loop, HttpClient &holdClient, HttpClient &orderClient,
                           const LoadGovernor &governor, std::int64_t fence, Routing routing)
    : m_loop(loop)
    , m_governor(governor)
    , m_routing(std::move(routing))
    , m_calls(std::make_unique<platform::WorkerCalls>(holdClient, orderClient, fence))
{
}

WorkerOrders::~WorkerOrders()
{
    *m_alive = false;
}

void WorkerOrders::start(const std::string &address, const StartTask &order, Milliseconds timeout,
                         OrderCallback callback, std::function<bool()> undecided)
{
    auto pending = std::make_shared<PendingOrder>(PendingOrder{
            DelegatedStart{order, address, timeout}, std::move(callback), OrderAttempts()});
    pending->undecided = std::move(undecided);
    sendCopy(pending);
}

void WorkerOrders::stop(const std::string &address, const StopTask &order, Milliseconds timeout,
                        OrderCallback callback)
{
    sendCopy(std::make_shared<PendingOrder>(PendingOrder{DelegatedStop{order, address, timeout},
                                                         std::move(callback), OrderAttempts()}));
}

void WorkerOrders::pace(const std::string &address, const PaceTask &order, Milliseconds timeout,
                        OrderCallback callback)
{
    // A copy that arrives late would undo a newer pace.
    sendCopy(std::make_shared<PendingOrder>(PendingOrder{DelegatedPace{order, address, timeout},
                                                         std::move(callback), OrderAttempts(1)}));
}

void WorkerOrders::hold(DelegatedHold hold, ReportCallback callback)
{
    sendCopy(std::make_shared<PendingHold>(PendingHold{std::move(hold), std::move(callback)}));
}

WorkerChannel WorkerOrders::route(const WorkerTarget &worker, int copy)
{
    const auto channel = m_routing.route ? m_routing.route(worker, copy) : DirectChannel{};
    ++(std::holds_alternative<DirectChannel>(channel) ? m_counts.direct : m_counts.delegated);
    m_counts.repeated += static_cast<std::uint64_t>(copy > 0);
    return channel;
}

Duration WorkerOrders::repeatDelay(const WorkerChannel &channel) const
{
    return std::holds_alternative<DirectChannel>(channel)
                   ? m_governor.stretched(internal::repeatDelay, internal::maxRepeatDelay)
                   : m_governor.stretched(internal::delegateRepeatDelay,
                                          internal::maxDelegateRepeatDelay);
}

void WorkerOrders::sendCopy(const std::shared_ptr<PendingOrder> &order)
{
    const auto channel = route(internal::targetOf(order->order), order->sent++);
    order->attempts.copySent();
    const auto timeout = std::visit([](const auto &it) { return it.timeout; }, order->order);
    if (order->sent == 1)
        order->sendUntil = EventLoop::now() + timeout;
    if (const auto *it = std::get_if<DelegateChannel>(&channel)) {
        if (order->sent == 1)
            order->sendUntil += internal::delegateMargin;
        std::visit(
                [&](const auto &sent) {
                    it->link->call(sent, timeout + internal::delegateMargin,
                                   [this, alive = m_alive, order,
                                    channel](const Result<PeerAnswer> &answer) {
                                       if (!*alive)
                                           return;
                                       if (!answer) {
                                           m_routing.failed(channel);
                                           repeat(order);
                                       }
                                       orderAnswered(order, internal::outcomeOf(answer));
                                   });
                },
                order->order);
    } else {
        const OrderCallback callback = [this, alive = m_alive, order](const OrderOutcome &outcome) {
            if (*alive)
                orderAnswered(order, outcome);
        };
        // Copies that wait when another one decides the order could reach a later incarnation.
        const HttpClient::Wanted wanted = [this, alive = m_alive, order] {
            return *alive && mayGiveOrders() && !order->attempts.decided()
                   && (!order->undecided || order->undecided());
        };
        std::visit(internal::DirectCall{*m_calls, callback, wanted}, order->order);
    }
    if (!order->attempts.mayRepeat())
        return;
    after(repeatDelay(channel), [this, order, copy = order->sent] {
        if (order->sent == copy)
            repeat(order);
    });
}

void WorkerOrders::repeat(const std::shared_ptr<PendingOrder> &order)
{
    if (!order->attempts.mayRepeat())
        return;
    if (mayGiveOrders() && EventLoop::now() < order->sendUntil
        && (!order->undecided || order->undecided()))
        sendCopy(order);
    else if (const auto decided = order->attempts.stopRepeating())
        std::exchange(order->callback, nullptr)(*decided);
}

void WorkerOrders::orderAnswered(const std::shared_ptr<PendingOrder> &order,
                                 const OrderOutcome &outcome)
{
    auto decided = order->attempts.copyAnswered(outcome);
    if (!decided)
        return;
    if (auto *it = std::get_if<OrderConfirmed>(&*decided))
        it->copies = order->sent;
    std::exchange(order->callback, nullptr)(*decided);
}

void WorkerOrders::sendCopy(const std::shared_ptr<PendingHold> &hold)
{
    auto copy = hold->hold;
    if (hold->sent > 0) {
        copy.wait = Milliseconds(0);
        // The numbers of ends restart with each incarnation, and a copy may reach the next one.
        copy.request.acknowledgedEnds = 0;
    }
    const auto channel = route(copy.worker, hold->sent++);
    ++hold->outstanding;
    const auto wait = copy.wait;
    if (const auto *it = std::get_if<DelegateChannel>(&channel)) {
        const auto timeout = copy.wait + copy.timeout + internal::delegateMargin;
        it->link->call(std::move(copy), timeout,
                       [this, alive = m_alive, hold, channel](const Result<PeerAnswer> &answer) {
                           if (!*alive)
                               return;
                           if (!answer) {
                               m_routing.failed(channel);
                               if (mayRepeat(*hold))
                                   sendCopy(hold);
                           }
                           holdAnswered(hold, internal::reportOf(answer));
                       });
    } else {
        m_calls->hold(
                copy.worker.address, copy.worker.id, copy.request, copy.wait, copy.timeout,
                [this, alive = m_alive, hold,
                 request = copy.request](Result<platform::HoldAnswer> answer) {
                    if (answer)
                        internal::logAnswerOfOtherIncarnation(hold->hold.worker.id, request,
                                                              *answer);
                    if (!*alive)
                        return;
                    if (answer)
                        holdAnswered(hold, std::move(answer->report));
                    else
                        holdAnswered(hold, answer.error());
                },
                [this, alive = m_alive, hold] { return *alive && !m_withdrawn && hold->callback; });
    }
    if (hold->sent >= internal::maxHoldCopies)
        return;
    after(wait + repeatDelay(channel), [this, hold, sent = hold->sent] {
        if (hold->sent == sent && mayRepeat(*hold))
            sendCopy(hold);
    });
}

bool WorkerOrders::mayGiveOrders() const
{
    return !m_withdrawn && (!m_mayGiveOrders || m_mayGiveOrders());
}

bool WorkerOrders::mayRepeat(const PendingHold &hold) const
{
    return !m_withdrawn && hold.callback && hold.sent < internal::maxHoldCopies;
}

void WorkerOrders::holdAnswered(const std::shared_ptr<PendingHold> &hold,
                                const Result<WorkerReport> &report)
{
    --hold->outstanding;
    if (hold->callback && (report || hold->outstanding == 0))
        std::exchange(hold->callback, nullptr)(report);
}

void WorkerOrders::after(Duration delay, std::function<void()> action)
{
    m_due.emplace(EventLoop::now() + delay, std::move(action));
    runDueLater();
}

void WorkerOrders::runDueLater()
{
    if (std::exchange(m_timerRuns, true))
        return;
    m_loop.after(internal::repeatCheckInterval, [this, alive = m_alive] {
        if (*alive)
            runDue();
    });
}

void WorkerOrders::runDue()
{
    m_timerRuns = false;
    std::multimap<TimePoint, std::function<void()>> due;
    const auto end = m_due.upper_bound(EventLoop::now());
    for (auto it = m_due.begin(); it != end;)
        due.insert(m_due.extract(it++));
    for (const auto &[at, action] : due)
        action();
    if (!m_due.empty())
        runDueLater();
}

} // namespace dragonflysill
