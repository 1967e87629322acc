#pragma once

#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/node/statereplica.h"
#include "dragonflysill/store/asyncstore.h"

#include <memory>
#include <string>

namespace dragonflysill {

/**
 * Keeps a node's processor capacity in the store as long as the node runs, so that a node knows
 * whether a more capable one could own the schedule in its place.
 */
class NodeRegistration
{
public:
    /** @param milliCores processor capacity of the node */
    NodeRegistration(EventLoop &loop, AsyncStore &store, std::string node, int milliCores);
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
    void again(void (NodeRegistration::*step)());

    EventLoop &m_loop;
    AsyncStore &m_store;
    std::string m_node;
    int m_milliCores;
    LeaseId m_lease = 0;
    bool m_stopped = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/** Returns true if a node with more than this processor capacity is registered. */
bool moreCapableNodeRegistered(const StateReplica &replica, int milliCores);

} // namespace dragonflysill
