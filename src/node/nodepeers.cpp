#include "dragonflysill/node/nodepeers.h"

#include <utility>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** Time for which a request waits for others to share its frame. */
constexpr Duration requestFlushDelay = 5ms;

} // namespace internal

NodePeers::NodePeers(EventLoop &loop, PeerServer::Handler handler)
    : m_loop(loop)
    , m_server(loop, std::move(handler))
{
}

PeerLink &NodePeers::link(const std::string &address)
{
    auto &link = m_links[address];
    if (!link)
        link = std::make_unique<PeerLink>(m_loop, address, internal::requestFlushDelay);
    return *link;
}

FrameTraffic NodePeers::traffic() const
{
    FrameTraffic sum;
    for (const auto &[address, link] : m_links) {
        const auto traffic = link->traffic();
        sum.bytesSent += traffic.bytesSent;
        sum.bytesReceived += traffic.bytesReceived;
        sum.framesSent += traffic.framesSent;
    }
    return sum;
}

} // namespace dragonflysill
