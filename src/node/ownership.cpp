#include "dragonflysill/node/ownership.h"

#include "dragonflysill/node/nodekeys.h"
#include "dragonflysill/node/noderegistration.h"

#include <charconv>
#include <utility>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** Interval between two checks of the ownership. */
constexpr Duration checkInterval = 100ms;
/** Number of renewals within the length of the lease; more than one, so that some may fail. */
constexpr int renewalsPerLease = 5;
/** Fraction of the lease that the owner does not use, to allow for clock drift between machines. */
constexpr double leaseSafetyMargin = 0.1;

/** Time that a node gives more capable ones to claim the ownership; they notice it within 0.3 s. */
constexpr Duration deferTime = 500ms;

/**
 * A node hands the ownership over to one that is more capable by this factor. It may have claimed
 * it while the others were not registered yet, and could not keep up with the load of a large
 * fleet.
 */
constexpr int handOverFactor = 2;

/** Time for which a node leaves the ownership to others after an unexpected error. */
constexpr Duration stepAsideTime = 5000ms;

std::int64_t parseCount(const std::string &text)
{
    std::int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace internal

Ownership::Ownership(EventLoop &loop, AsyncStore &store, const StateReplica &replica,
                     Candidate candidate, std::chrono::milliseconds leaseLength, Handlers handlers)
    : m_loop(loop)
    , m_store(store)
    , m_replica(replica)
    , m_candidate(std::move(candidate))
    , m_leaseLength(leaseLength)
    , m_handlers(std::move(handlers))
{
}

void Ownership::start()
{
    tick();
}

void Ownership::tick()
{
    m_loop.after(internal::checkInterval, [this] { tick(); });
    check();
}

void Ownership::check()
{
    if (m_fence != 0) {
        const bool superseded
                = m_replica.ownerAsOf() >= m_fence && m_replica.owner().revision != m_fence;
        if (superseded)
            lose("the store names another owner or none");
        else if (shouldHandOver())
            stepAside("a far more capable node is registered");
        else if (!m_renewing
                 && EventLoop::now() - m_renewedAt >= m_leaseLength / internal::renewalsPerLease)
            renew();
        return;
    }
    if (!mayClaim())
        m_claimableSince.reset();
    else if (!m_campaigning && (isOwnKey() || !defersToOthers()))
        campaign();
}

bool Ownership::defersToOthers()
{
    const auto now = EventLoop::now();
    if (!m_claimableSince)
        m_claimableSince = now;
    if (!m_registeredSince && registeredNode(m_replica, m_candidate.node))
        m_registeredSince = now;
    const bool othersUnknown
            = !m_registeredSince || now - *m_registeredSince < m_candidate.registrationTime;
    return now - *m_claimableSince < internal::deferTime
           && (othersUnknown || moreCapableNodeRegistered(m_replica, m_candidate.milliCores)
               || !isStandby(m_replica, m_candidate.node));
}

bool Ownership::shouldHandOver()
{
    const auto now = EventLoop::now();
    if (!valid() || m_candidate.milliCores == 0
        || !moreCapableNodeRegistered(m_replica,
                                      internal::handOverFactor * m_candidate.milliCores - 1)) {
        m_moreCapableSince.reset();
        return false;
    }
    m_moreCapableSince = m_moreCapableSince.value_or(now);
    return now - *m_moreCapableSince >= m_candidate.handOverTime;
}

bool Ownership::mayClaim() const
{
    // A key with this node's name was written by an earlier process of the node, because only one
    // process of a node runs at a time.
    const bool free = m_replica.owner().revision == 0 || isOwnKey();
    return free && m_replica.loaded() && !m_resigned && EventLoop::now() >= m_notBefore;
}

bool Ownership::isOwnKey() const
{
    return m_replica.owner().revision != 0 && m_replica.owner().node == m_candidate.node;
}

void Ownership::campaign()
{
    m_campaigning = true;
    const auto sentAt = EventLoop::now();
    m_store.grantLease(m_leaseLength, [this, sentAt](const Result<GrantedLease> &lease) {
        if (!lease) {
            m_campaigning = false;
            return;
        }
        m_store.get(std::string(nodekeys::generation),
                    [this, sentAt, id = lease->id](const Result<KeyValue> &generation) {
                        claim(id, sentAt, generation);
                    });
    });
}

void Ownership::claim(LeaseId lease, TimePoint grantedAt, const Result<KeyValue> &stored)
{
    const bool generationKnown = stored || stored.error().is(ErrorKind::NotFound);
    if (!mayClaim() || !generationKnown) {
        // Another node became the owner while the lease was granted, or the store is not reachable.
        m_campaigning = false;
        m_store.endLease(lease, [](const Result<Done> &) {});
        return;
    }
    const auto generation = stored ? internal::parseCount(stored->value) : 0;
    ConditionalWrite write;
    write.expected = {{std::string(nodekeys::owner), m_replica.owner().revision},
                      {std::string(nodekeys::generation), stored ? stored->modRevision : 0}};
    write.writes = {{std::string(nodekeys::owner), m_candidate.node, lease},
                    {std::string(nodekeys::generation), std::to_string(generation + 1), 0}};
    m_store.write(write, [this, lease, grantedAt, generation](const Result<WriteOutcome> &outcome) {
        m_campaigning = false;
        if (!outcome || !outcome->applied || m_resigned) {
            // Ending the lease also revokes a claim whose response was lost.
            m_store.endLease(lease, [](const Result<Done> &) {});
            return;
        }
        m_lease = lease;
        m_fence = outcome->revision;
        m_renewedAt = grantedAt;
        m_validUntil = grantedAt + usableLease();
        m_handlers.gained(m_fence, generation);
    });
}

void Ownership::renew()
{
    m_renewing = true;
    const auto sentAt = EventLoop::now();
    m_store.renewLease(m_lease, [this, sentAt, lease = m_lease](const Result<Done> &answer) {
        m_renewing = false;
        if (m_fence == 0 || lease != m_lease)
            return;
        if (answer)
            leaseRenewed(sentAt);
        else if (answer.error().is(ErrorKind::LeaseLost))
            lose("the lease has expired");
    });
}

void Ownership::leaseRenewed(TimePoint sentAt)
{
    m_renewedAt = sentAt;
    if (valid())
        m_validUntil = sentAt + usableLease();
    else
        verifyOwnerKey(sentAt);
}

void Ownership::verifyOwnerKey(TimePoint sentAt)
{
    // The key may have been deleted or replaced although the lease is still alive.
    m_renewing = true;
    m_store.get(std::string(nodekeys::owner),
                [this, sentAt, fence = m_fence](const Result<KeyValue> &owner) {
                    m_renewing = false;
                    if (fence != m_fence)
                        return;
                    const bool missing = !owner && owner.error().is(ErrorKind::NotFound);
                    if (missing || (owner && owner->modRevision != m_fence))
                        lose("the store names another owner or none");
                    else if (owner)
                        m_validUntil = sentAt + usableLease();
                });
}

Duration Ownership::usableLease() const
{
    return scaled(m_leaseLength, 1 - internal::leaseSafetyMargin);
}

void Ownership::resign()
{
    m_resigned = true;
    if (m_fence != 0)
        lose("the node is stopping");
}

void Ownership::stepAside(const std::string &reason)
{
    m_notBefore = EventLoop::now() + internal::stepAsideTime;
    lose(reason);
}

void Ownership::lose(const std::string &reason)
{
    if (m_fence == 0)
        return;
    m_fence = 0;
    m_moreCapableSince.reset();
    m_store.endLease(m_lease, [](const Result<Done> &) {});
    m_handlers.lost(reason);
}

} // namespace dragonflysill
