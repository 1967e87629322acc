#pragma once

#include "dragonflysill/net/connectionshare.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace dragonflysill {

/** What the machine of a process has for it. */
struct ProcessLimits
{
    std::size_t memoryBytes = 0;
    std::size_t descriptors = 0;
};

/**
 * The memory and the descriptors of all connections of a node. Each port and each group of servers
 * that the node calls has a share of its own, so that no crowd at one of them takes anything from
 * the others; the shares together are less than the limits of the process, and the rest is the
 * reserve for the node itself.
 */
class ConnectionBudget
{
public:
    explicit ConnectionBudget(const ProcessLimits &limits);

    struct NamedShare
    {
        std::string name;
        std::shared_ptr<ConnectionShare> share;
    };

    [[nodiscard]] const std::shared_ptr<ConnectionShare> &callers() const { return m_callers; }
    [[nodiscard]] const std::shared_ptr<ConnectionShare> &readiness() const { return m_readiness; }
    [[nodiscard]] const std::shared_ptr<ConnectionShare> &operators() const { return m_operators; }
    [[nodiscard]] const std::shared_ptr<ConnectionShare> &peers() const { return m_peers; }
    [[nodiscard]] const std::shared_ptr<ConnectionShare> &store() const { return m_store; }
    [[nodiscard]] const std::shared_ptr<ConnectionShare> &workers() const { return m_workers; }
    [[nodiscard]] const std::shared_ptr<ConnectionShare> &services() const { return m_services; }

    /** Returns all shares with their names in metrics and logs. */
    [[nodiscard]] std::vector<NamedShare> shares() const;

    /** Returns the memory that all connections hold, in bytes. */
    [[nodiscard]] std::size_t heldBytes() const;

    /** Returns how much the memory of all connections has fallen below its maximum since the last
     * call. */
    std::size_t takeReleasedBytes();

private:
    std::shared_ptr<ConnectionShare> m_callers;
    std::shared_ptr<ConnectionShare> m_readiness;
    std::shared_ptr<ConnectionShare> m_operators;
    std::shared_ptr<ConnectionShare> m_peers;
    std::shared_ptr<ConnectionShare> m_store;
    std::shared_ptr<ConnectionShare> m_workers;
    std::shared_ptr<ConnectionShare> m_services;
};

} // namespace dragonflysill
