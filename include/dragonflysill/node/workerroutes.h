#pragma once

#include "dragonflysill/jobs/delegateplan.h"
#include "dragonflysill/jobs/scheduler.h"
#include "dragonflysill/node/nodepeers.h"
#include "dragonflysill/node/statereplica.h"
#include "dragonflysill/node/workerorders.h"

#include <cstdint>
#include <memory>
#include <string>

namespace dragonflysill {

/**
 * Chooses on the owner of the schedule whether a worker is called directly or by a delegate, and
 * keeps the links to the delegates.
 */
class WorkerRoutes
{
public:
    /** @param node name of this node, which is not its own delegate */
    WorkerRoutes(NodePeers &peers, const StateReplica &replica, const Scheduler &scheduler,
                 std::string node, std::int64_t fence);

    /** Takes over the registered nodes and the state of the links; called periodically. */
    void update(TimePoint now);

    /** Returns how to send a copy of a call to a worker; only the first one uses a delegate. */
    [[nodiscard]] WorkerChannel route(const WorkerTarget &worker, int copy);

    /** Records that the link of a channel has failed. */
    void failed(const WorkerChannel &channel);

    [[nodiscard]] const DelegatePlan &plan() const { return m_plan; }

private:
    NodePeers &m_peers;
    const StateReplica &m_replica;
    const Scheduler &m_scheduler;
    std::string m_node;
    std::int64_t m_fence;
    DelegatePlan m_plan;
};

} // namespace dragonflysill
