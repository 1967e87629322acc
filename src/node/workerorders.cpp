#include "dragonflysill/node/workerorders.h"

#include "workercalls.h"

#include <optional>
#include <utility>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** Time without an answer after which a call is sent again; workers answer within milliseconds. */
constexpr Duration repeatDelay = 80ms;
/** The same time on an overloaded node, which reads an answer later than it arrived. */
constexpr Duration maxRepeatDelay = 500ms;
/** Interval at which calls that are due to be sent again are looked for. */
constexpr Duration repeatCheckInterval = 20ms;
/** Maximum number of copies of a hold. */
constexpr int maxHoldCopies = 3;

} // namespace internal

/** An order and its copies. */
struct WorkerOrders::PendingOrder
{
    std::function<void(OrderCallback)> send; ///< Sends one copy.
    OrderCallback callback;
    OrderAttempts attempts;
};

/** A hold and its copies. */
struct WorkerOrders::PendingHold
{
    std::function<void(Milliseconds wait, ReportCallback)> send; ///< Sends one copy.
    ReportCallback callback;
    Milliseconds wait{0}; ///< Of the first copy; the others are answered at once.
    int sent = 0;
    int outstanding = 0;
};

WorkerOrders::WorkerOrders(EventLoop &loop, HttpClient &holdClient, HttpClient &orderClient,
                           const LoadGovernor &governor, std::int64_t fence)
    : m_loop(loop)
    , m_governor(governor)
    , m_calls(std::make_unique<platform::WorkerCalls>(holdClient, orderClient, fence))
{
}

WorkerOrders::~WorkerOrders()
{
    *m_alive = false;
}

void WorkerOrders::start(const std::string &address, const StartTask &order, Duration timeout,
                         OrderCallback callback)
{
    sendCopy(std::make_shared<PendingOrder>(
            PendingOrder{[this, address, order, timeout](OrderCallback answered) {
                             m_calls->start(address, order, timeout, std::move(answered));
                         },
                         std::move(callback),
                         {}}));
}

void WorkerOrders::stop(const std::string &address, const StopTask &order, Duration timeout,
                        OrderCallback callback)
{
    sendCopy(std::make_shared<PendingOrder>(
            PendingOrder{[this, address, order, timeout](OrderCallback answered) {
                             m_calls->stop(address, order, timeout, std::move(answered));
                         },
                         std::move(callback),
                         {}}));
}

void WorkerOrders::pace(const std::string &address, const PaceTask &order, Duration timeout,
                        OrderCallback callback)
{
    // Not repeated: a copy that arrives late would undo a newer pace.
    m_calls->pace(address, order, timeout, std::move(callback));
}

void WorkerOrders::hold(const std::string &address, const std::string &worker,
                        const HoldRequest &request, Milliseconds wait, Duration timeout,
                        ReportCallback callback)
{
    auto hold = std::make_shared<PendingHold>();
    hold->send = [this, address, worker, request, timeout](Milliseconds copyWait,
                                                           ReportCallback answered) {
        m_calls->hold(address, worker, request, copyWait, timeout, std::move(answered));
    };
    hold->callback = std::move(callback);
    hold->wait = wait;
    sendCopy(hold);
}

Duration WorkerOrders::repeatDelay() const
{
    return m_governor.stretched(internal::repeatDelay, internal::maxRepeatDelay);
}

void WorkerOrders::sendCopy(const std::shared_ptr<PendingOrder> &order)
{
    order->attempts.copySent();
    order->send([order](const OrderOutcome &outcome) {
        const auto decided = order->attempts.copyAnswered(outcome);
        if (decided)
            std::exchange(order->callback, nullptr)(*decided);
    });
    if (!order->attempts.mayRepeat())
        return;
    after(repeatDelay(), [this, order] {
        if (!order->attempts.mayRepeat())
            return;
        ++m_repeated;
        sendCopy(order);
    });
}

void WorkerOrders::sendCopy(const std::shared_ptr<PendingHold> &hold)
{
    const auto wait = hold->sent == 0 ? hold->wait : Milliseconds(0);
    ++hold->sent;
    ++hold->outstanding;
    hold->send(wait, [hold](const Result<WorkerReport> &report) {
        --hold->outstanding;
        if (hold->callback && (report || hold->outstanding == 0))
            std::exchange(hold->callback, nullptr)(report);
    });
    if (!hold->callback || hold->sent >= internal::maxHoldCopies)
        return;
    after(wait + repeatDelay(), [this, hold] {
        if (!hold->callback)
            return;
        ++m_repeated;
        sendCopy(hold);
    });
}

void WorkerOrders::after(Duration delay, std::function<void()> action)
{
    m_due.emplace(EventLoop::now() + delay, std::move(action));
    if (!std::exchange(m_timerRuns, true))
        m_loop.after(internal::repeatCheckInterval, [this, alive = m_alive] {
            if (*alive)
                runDue();
        });
}

void WorkerOrders::runDue()
{
    m_timerRuns = false;
    const auto now = EventLoop::now();
    const auto end = m_due.upper_bound(now);
    std::multimap<TimePoint, std::function<void()>> due;
    for (auto it = m_due.begin(); it != end;)
        due.insert(m_due.extract(it++));
    for (const auto &[at, action] : due)
        action();
    if (!m_due.empty() && !std::exchange(m_timerRuns, true))
        m_loop.after(internal::repeatCheckInterval, [this, alive = m_alive] {
            if (*alive)
                runDue();
        });
}

} // namespace dragonflysill
