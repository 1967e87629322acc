#include "dragonflysill/node/workerdelegate.h"

#include <chrono>
#include <variant>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/**
 * Delay of a frame above which its requests are not carried out. A node that was paused, or a link
 * that held frames back, would otherwise give orders long after the owner gave them up.
 */
constexpr Duration maxRequestDelay = 500ms;
/** Number of owners whose calls are kept; those of earlier ones have ended. */
constexpr std::size_t keptOwners = 2;

/** Returns whether a request is an order, which is refused in another form than a hold. */
bool isOrder(const PeerRequest &request)
{
    return std::holds_alternative<DelegatedStart>(request)
           || std::holds_alternative<DelegatedStop>(request)
           || std::holds_alternative<DelegatedPace>(request);
}

/** Returns the answer that tells the owner of an order's outcome. */
PeerAnswer answerOf(const OrderOutcome &outcome)
{
    if (const auto *it = std::get_if<OrderConfirmed>(&outcome))
        return *it;
    if (const auto *it = std::get_if<StartRefusal>(&outcome))
        return *it;
    return Error(ErrorKind::OutcomeUnknown, std::get<OrderUnanswered>(outcome).reason);
}

} // namespace internal

WorkerDelegate::WorkerDelegate(EventLoop &loop, HttpClient &holdClient, HttpClient &orderClient,
                               const LoadGovernor &governor)
    : m_loop(loop)
    , m_holdClient(holdClient)
    , m_orderClient(orderClient)
    , m_governor(governor)
{
}

void WorkerDelegate::handle(const ReceivedRequest &request, const PeerServer::Respond &respond)
{
    const bool replaced = !m_orders.empty() && request.fence < m_orders.rbegin()->first;
    const bool late = request.delay > internal::maxRequestDelay;
    if (replaced || late) {
        ++m_refused;
        if (internal::isOrder(request.message))
            respond(replaced ? StartRefusal::Fenced : StartRefusal::NotSent);
        else
            respond(replaced ? Error(ErrorKind::LeaseLost, "a newer owner has given orders")
                             : Error(ErrorKind::Unreachable, "the request arrived late"));
        return;
    }
    for (auto it = m_orders.begin(); it != m_orders.end() && it->first < request.fence; ++it)
        it->second->withdraw();
    auto &orders = ordersOf(request.fence);
    std::visit([&](const auto &it) { carryOut(it, orders, respond); }, request.message);
}

WorkerOrders &WorkerDelegate::ordersOf(std::int64_t fence)
{
    auto &orders = m_orders[fence];
    if (!orders)
        orders = std::make_unique<WorkerOrders>(m_loop, m_holdClient, m_orderClient, m_governor,
                                                fence);
    while (m_orders.size() > internal::keptOwners)
        m_orders.erase(m_orders.begin());
    return *orders;
}

void WorkerDelegate::carryOut(const DelegatedStart &start, WorkerOrders &orders,
                              const PeerServer::Respond &respond)
{
    orders.start(start.address, start.order, start.timeout,
                 [respond](const OrderOutcome &it) { respond(internal::answerOf(it)); });
}

void WorkerDelegate::carryOut(const DelegatedStop &stop, WorkerOrders &orders,
                              const PeerServer::Respond &respond)
{
    orders.stop(stop.address, stop.order, stop.timeout,
                [respond](const OrderOutcome &it) { respond(internal::answerOf(it)); });
}

void WorkerDelegate::carryOut(const DelegatedPace &pace, WorkerOrders &orders,
                              const PeerServer::Respond &respond)
{
    orders.pace(pace.address, pace.order, pace.timeout,
                [respond](const OrderOutcome &it) { respond(internal::answerOf(it)); });
}

void WorkerDelegate::carryOut(const DelegatedHold &hold, WorkerOrders &orders,
                              const PeerServer::Respond &respond)
{
    orders.hold(hold, [respond, listRunning = hold.listRunning](const Result<WorkerReport> &it) {
        if (!it) {
            respond(it.error());
            return;
        }
        auto report = *it;
        if (!listRunning) {
            report.running.clear();
            report.runningListed = false;
        }
        respond(std::move(report));
    });
}

template <typename Other>
void WorkerDelegate::carryOut(const Other &, WorkerOrders &, const PeerServer::Respond &respond)
{
    respond(Error(ErrorKind::InvalidInput, "not a call to a worker"));
}

} // namespace dragonflysill
