#pragma once

#include "dragonflysill/base/backoff.h"
#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/node/statereplica.h"
#include "dragonflysill/store/asyncstore.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

namespace platform {
struct NodeSettings;
}

/** What other nodes know of a running node. */
struct RegisteredNode
{
    std::string name;
    int milliCores = 0; ///< Processor capacity.
    std::string peerAddress; ///< "IP:PORT" for requests of other nodes; empty for none.
    std::string zone;
    double linkBytesPerSecond = 0; ///< Bandwidth; 0 if unknown.

    bool operator==(const RegisteredNode &) const = default;
};

/** Returns the address for requests of other nodes; empty if the settings name no port for it. */
std::string peerAddress(const platform::NodeSettings &settings);

/** Returns what a node with these settings registers. */
RegisteredNode registrationOf(const platform::NodeSettings &settings);

/** Returns the value that is stored under a node's name. */
std::string encodeRegistration(const RegisteredNode &node);

/**
 * Decodes a node's registration. Earlier versions registered the capacity alone.
 * @param name name of the node
 */
RegisteredNode decodeRegistration(std::string name, std::string_view value);

/** Returns all registered nodes, ordered by name. */
std::vector<RegisteredNode> registeredNodes(const StateReplica &replica);

/** Returns a registered node; nothing if there is none with this name. */
std::optional<RegisteredNode> registeredNode(const StateReplica &replica, std::string_view name);

/**
 * Keeps a node's registration in the store as long as the node runs. Other nodes learn from it
 * where the node takes requests, and whether a more capable one could own the schedule.
 */
class NodeRegistration
{
public:
    NodeRegistration(EventLoop &loop, AsyncStore &store, RegisteredNode node);
    ~NodeRegistration() { *m_alive = false; }
    NodeRegistration(const NodeRegistration &) = delete;
    NodeRegistration &operator=(const NodeRegistration &) = delete;

    /** Registers the node and keeps the registration alive. */
    void start();

    /** Removes the registration for a planned stop. */
    void stop();

private:
    void registerNode();
    void keepAlive();
    /** Takes a step after a delay, unless the registration has been stopped by then. */
    void again(Duration delay, void (NodeRegistration::*step)());

    EventLoop &m_loop;
    AsyncStore &m_store;
    RegisteredNode m_node;
    Backoff m_backoff;
    LeaseId m_lease = 0;
    bool m_stopped = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/**
 * Returns true if the node is one of the few most capable registered ones, which follow all keys so
 * that they can take over the schedule at once.
 */
bool isStandby(const StateReplica &replica, std::string_view name);

/** Returns true if a node with more than this processor capacity is registered. */
bool moreCapableNodeRegistered(const StateReplica &replica, int milliCores);

} // namespace dragonflysill
