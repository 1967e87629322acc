#pragma once

#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/node/statereplica.h"
#include "dragonflysill/store/asyncstore.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace dragonflysill {

/**
 * Leader election: the node whose name is stored under the owner key with a lease owns the
 * schedule. The revision of that key is its fencing token. The owner stops giving orders by its own
 * clock before its lease can have expired, even if the machine was suspended in the meantime. It
 * resumes if the lease survived an outage of the store and the key is still its own.
 */
class Ownership
{
public:
    /**
     * Time for which holds are still extended after the lease was last valid; the next owner waits
     * for it, see SchedulerSettings::previousOwner.
     */
    static constexpr std::chrono::milliseconds holdExtensionTime{2000};

    struct Handlers
    {
        /** Called when the node becomes the owner. @p generation is the number of earlier owners.
         */
        std::function<void(std::int64_t fence, std::int64_t generation)> gained;
        /** Called when the node loses the ownership. */
        std::function<void(const std::string &reason)> lost;
    };

    /** Name and processor capacity of a node. */
    struct Candidate
    {
        std::string node;
        int milliCores = 0;
        /** Time from its registration after which those of nodes started with it are known. */
        std::chrono::milliseconds registrationTime{300};
        /** Time for which a far more capable node must be registered before it gets the ownership.
         */
        std::chrono::milliseconds handOverTime{1000};
    };

    Ownership(EventLoop &loop, AsyncStore &store, const StateReplica &replica, Candidate candidate,
              std::chrono::milliseconds leaseLength, Handlers handlers);

    /** Starts to check periodically whether the ownership can be claimed or must be renewed. */
    void start();

    /** Checks now whether the ownership is free or lost, for example after the replica changed. */
    void check();

    /** Releases the ownership for a planned stop; the node does not claim it again. */
    void resign();

    /** Releases the ownership because a worker or machine reported a newer owner. */
    void newerOwnerSeen() { lose("a worker has seen a newer owner"); }

    /**
     * Releases the ownership after an unexpected error and does not claim it for some seconds, so
     * that another node can take over.
     */
    void stepAside(const std::string &reason);

    /** Returns true if this node owns the schedule and may give orders. */
    [[nodiscard]] bool valid() const { return m_fence != 0 && EventLoop::now() < m_validUntil; }

    /**
     * Returns true if this node may still extend the holds of running tasks. This lasts for
     * holdExtensionTime after the lease was last valid, and the next owner waits accordingly.
     */
    [[nodiscard]] bool mayExtendHolds() const
    {
        return m_fence != 0 && EventLoop::now() < m_validUntil + holdExtensionTime;
    }

    [[nodiscard]] std::int64_t fence() const { return m_fence; }

private:
    void tick();
    void campaign();
    void claim(LeaseId lease, TimePoint grantedAt, const Result<KeyValue> &stored);
    [[nodiscard]] bool mayClaim() const;
    /** Returns whether the owner key was written by this node or an earlier process of it. */
    [[nodiscard]] bool isOwnKey() const;
    /** Returns whether a more capable node is given the time to claim the ownership first. */
    bool defersToOthers();
    /** Returns whether a far more capable node has been registered for long enough to take over. */
    bool shouldHandOver();
    void renew();
    void leaseRenewed(TimePoint sentAt);
    void verifyOwnerKey(TimePoint sentAt);
    [[nodiscard]] Duration usableLease() const;
    void lose(const std::string &reason);

    EventLoop &m_loop;
    AsyncStore &m_store;
    const StateReplica &m_replica;
    Candidate m_candidate;
    std::chrono::milliseconds m_leaseLength;
    Handlers m_handlers;
    LeaseId m_lease = 0;
    std::int64_t m_fence = 0;
    TimePoint m_validUntil{};
    TimePoint m_renewedAt{};
    std::optional<TimePoint> m_claimableSince; ///< Since when this node could claim.
    std::optional<TimePoint> m_registeredSince; ///< Since when the replica has its registration.
    std::optional<TimePoint> m_moreCapableSince; ///< Since when a far more capable node is known.
    TimePoint m_notBefore{}; ///< Before it, the ownership is left to other nodes.
    bool m_renewing = false;
    bool m_campaigning = false;
    bool m_resigned = false;
};

} // namespace dragonflysill
