#pragma once

#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/node/statereplica.h"
#include "dragonflysill/store/asyncstore.h"

#include <functional>
#include <memory>
#include <string>

namespace dragonflysill {

/**
 * Decides which node schedules: the one whose name stands in the store under a lease. The revision
 * of that key is its fencing token. An owner stops giving orders by its own clock before its lease
 * can have expired, also when the machine was suspended meanwhile. It goes on when the lease turns
 * out to have outlived an outage of the store and the key is still its own.
 */
class Ownership
{
public:
    /** How long holds are extended without a valid lease; see SchedulerSettings::previousOwner. */
    static constexpr std::chrono::milliseconds holdAfterValidity{2000};

    struct Handlers
    {
        /** The node owns the schedule. @p generation counts the owners before it. */
        std::function<void(std::int64_t fence, std::int64_t generation)> gained;
        /** The node has lost it. */
        std::function<void(const std::string &reason)> lost;
    };

    Ownership(EventLoop &loop, AsyncStore &store, const StateReplica &replica, std::string node,
              std::chrono::milliseconds leaseLength, Handlers handlers);

    /** Begins to watch for a free ownership. */
    void start();

    /** Looks for a free or lost ownership now, for example after a change of the replica. */
    void check();

    /** Gives the ownership up, for a planned stop; it is not sought again. */
    void resign();

    /** Gives the ownership up because another owner was seen. */
    void replaced() { lose("a worker has seen a newer owner"); }

    /** Returns true if this node owns the schedule and may give orders. */
    [[nodiscard]] bool valid() const { return m_fence != 0 && EventLoop::now() < m_validUntil; }

    /**
     * Returns true if this node may still extend the holds of what runs: for a while after its last
     * valid moment, which the next owner takes into account.
     */
    [[nodiscard]] bool mayHold() const
    {
        return m_fence != 0 && EventLoop::now() < m_validUntil + holdAfterValidity;
    }

    [[nodiscard]] std::int64_t fence() const { return m_fence; }

private:
    void tick();
    void campaign();
    void claim(LeaseId lease, TimePoint grantedAt);
    [[nodiscard]] bool mayClaim() const;
    void renew();
    void renewed(TimePoint sentAt);
    void resume(TimePoint sentAt);
    [[nodiscard]] Duration usableLease() const;
    void lose(const std::string &reason);

    EventLoop &m_loop;
    AsyncStore &m_store;
    const StateReplica &m_replica;
    std::string m_node;
    std::chrono::milliseconds m_leaseLength;
    Handlers m_handlers;
    LeaseId m_lease = 0;
    std::int64_t m_fence = 0;
    TimePoint m_validUntil{};
    TimePoint m_renewedAt{};
    bool m_renewing = false;
    bool m_campaigning = false;
    bool m_resigned = false;
};

} // namespace dragonflysill
