#pragma once

#include "dragonflysill/base/stringhash.h"
#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/peers/peerlink.h"
#include "dragonflysill/peers/peerserver.h"

#include <memory>
#include <string>
#include <utility>

namespace dragonflysill {

/** The connections between this node and others: it answers their requests and sends its own. */
class NodePeers
{
public:
    /** @param handler answers the requests of other nodes */
    NodePeers(EventLoop &loop, PeerServer::Handler handler);

    /** Sets the share that limits the connections from other nodes; call it before listen(). */
    void setShare(std::shared_ptr<ConnectionShare> share) { m_server.setShare(std::move(share)); }

    /** Opens the port for other nodes, "IP:PORT"; SettingsInvalid if it can't be bound. */
    Result<Done> listen(const std::string &address) { return m_server.listen(address); }

    /** Returns the link to the node with this address; it connects when it is used. */
    PeerLink &link(const std::string &address);

    /** Returns the traffic of all links. */
    [[nodiscard]] FrameTraffic traffic() const;

    [[nodiscard]] const PeerServer &server() const { return m_server; }

private:
    EventLoop &m_loop;
    PeerServer m_server;
    StringMap<std::unique_ptr<PeerLink>> m_links;
};

} // namespace dragonflysill
