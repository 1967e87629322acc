#pragma once

#include "dragonflysill/jobs/loadgovernor.h"
#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/net/httpclient.h"
#include "dragonflysill/node/workerorders.h"
#include "dragonflysill/peers/peerserver.h"

#include <cstdint>
#include <map>
#include <memory>

namespace dragonflysill {

/**
 * Calls workers for the owner of the schedule. It decides nothing: it passes orders and reports on.
 * Orders that arrive late are not carried out, because the owner has given them up meanwhile, and
 * neither are those of an owner that has been replaced.
 */
class WorkerDelegate
{
public:
    /** @param holdClient client for holds, so that they do not wait for orders */
    WorkerDelegate(EventLoop &loop, HttpClient &holdClient, HttpClient &orderClient,
                   const LoadGovernor &governor);

    /** Carries out a request; answers other requests with an error. */
    void handle(const ReceivedRequest &request, const PeerServer::Respond &respond);

    /** Returns the number of requests that were refused as late or as those of an earlier owner. */
    [[nodiscard]] std::uint64_t refused() const { return m_refused; }

private:
    void carryOut(const DelegatedStart &start, WorkerOrders &orders,
                  const PeerServer::Respond &respond);
    void carryOut(const DelegatedStop &stop, WorkerOrders &orders,
                  const PeerServer::Respond &respond);
    void carryOut(const DelegatedPace &pace, WorkerOrders &orders,
                  const PeerServer::Respond &respond);
    void carryOut(const DelegatedHold &hold, WorkerOrders &orders,
                  const PeerServer::Respond &respond);
    template <typename Other>
    void carryOut(const Other &, WorkerOrders &, const PeerServer::Respond &respond);
    /** Returns the calls of an owner. */
    WorkerOrders &ordersOf(std::int64_t fence);

    EventLoop &m_loop;
    HttpClient &m_holdClient;
    HttpClient &m_orderClient;
    const LoadGovernor &m_governor;
    std::map<std::int64_t, std::unique_ptr<WorkerOrders>> m_orders; ///< By fencing token.
    std::uint64_t m_refused = 0;
};

} // namespace dragonflysill
