#include "dragonflysill/node/workerroutes.h"

#include "dragonflysill/node/noderegistration.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace dragonflysill {

WorkerRoutes::WorkerRoutes(NodePeers &peers, const StateReplica &replica,
                           const Scheduler &scheduler, std::string node, std::int64_t fence)
    : m_peers(peers)
    , m_replica(replica)
    , m_scheduler(scheduler)
    , m_node(std::move(node))
    , m_fence(fence)
{
}

void WorkerRoutes::update(TimePoint now)
{
    std::vector<DelegateCandidate> candidates;
    for (auto &it : registeredNodes(m_replica)) {
        if (it.name != m_node)
            candidates.push_back({std::move(it.name), std::move(it.peerAddress), std::move(it.zone),
                                  it.milliCores, it.linkBytesPerSecond});
    }
    const auto workers = std::ranges::count_if(m_scheduler.workers(),
                                               [](const auto &it) { return !it.second.retired; });
    m_plan.update(std::move(candidates), static_cast<std::size_t>(workers));
    for (const auto &it : m_plan.delegates()) {
        auto &link = m_peers.link(it.address);
        link.setFence(m_fence);
        link.connect();
        if (link.closed())
            m_plan.failed(it.address, now);
    }
}

WorkerChannel WorkerRoutes::route(const WorkerTarget &worker, int copy)
{
    const auto *it = m_scheduler.worker(worker.id);
    if (copy > 0 || it == nullptr)
        return DirectChannel{};
    const auto address = m_plan.delegateFor(worker.id, it->description.zone, EventLoop::now());
    if (address.empty())
        return DirectChannel{};
    auto &link = m_peers.link(std::string(address));
    if (!link.usable())
        return DirectChannel{};
    return DelegateChannel{&link};
}

void WorkerRoutes::failed(const WorkerChannel &channel)
{
    if (const auto *it = std::get_if<DelegateChannel>(&channel))
        m_plan.failed(it->link->address(), EventLoop::now());
}

} // namespace dragonflysill
