#pragma once

#include "dragonflysill/base/hybridclock.h"
#include "dragonflysill/base/keyupdate.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace dragonflysill {

/** The first message on every connection, in both directions. */
struct Hello
{
    std::string name;
    std::string region;
    std::string zone; ///< Availability zone.
    bool isEntry = false; ///< True for an entry process, false for a control process.
    std::int64_t incarnation = 0; ///< Distinguishes restarts of the process.
    std::string peerAddress; ///< "IP:PORT" of a control process for its peers; empty for an entry.

    bool operator==(const Hello &) const = default;
};

/** A drained instance in a Heartbeat or ViewAck. */
struct DrainedState
{
    std::string name;
    std::int64_t epoch = 0;

    bool operator==(const DrainedState &) const = default;
};

/** The state of one member in a gossip list. */
struct MemberState
{
    std::string name;
    std::int64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Number of the heartbeat; increases within an incarnation.
    std::int64_t appliedRevision = 0;

    bool operator==(const MemberState &) const = default;
};

/** The periodic report of a control process about itself and its entry process. */
struct Heartbeat
{
    std::string name;
    std::int64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Number of the heartbeat; increases within an incarnation.
    std::int64_t appliedRevision = 0; ///< The view revision that the entry process has applied.
    std::int64_t ticketNumber = 0;
    std::vector<DrainedState> drained;
    std::vector<MemberState> members; ///< Gossip list; empty with direct heartbeats.
    std::int64_t viewRevision = 0; ///< The view revision that the control process holds.
    bool storeReachable = false; ///< True if its last store call got a response.
    bool watching = false; ///< True while its watch on the store is established.
    bool leaving = false; ///< True in the last heartbeat before a graceful stop.

    bool operator==(const Heartbeat &) const = default;
};

/** Changes of the view, or one part of the full view. */
struct ViewDelta
{
    std::int64_t fromRevision = 0; ///< The lowest revision to which the changes can be applied.
    std::int64_t toRevision = 0;
    bool full = false; ///< True if the updates are the full view instead of changes.
    std::vector<KeyUpdate> updates;
    bool more = false; ///< True if further parts of the same view follow.

    bool operator==(const ViewDelta &) const = default;
};

/** Requests all changes after a revision. */
struct ViewRequest
{
    std::int64_t haveRevision = 0; ///< The view revision that the sender holds.
    bool subscribe = false; ///< True to subscribe to later changes, false to unsubscribe.

    bool operator==(const ViewRequest &) const = default;
};

/** The report of an entry process to its control process about the view that it applied. */
struct ViewAck
{
    std::int64_t revision = 0; ///< The view revision that the entry process has applied.
    std::vector<DrainedState> drained;
    bool stopping = false; ///< True if the entry stops gracefully and has no requests in flight.

    bool operator==(const ViewAck &) const = default;
};

/** Any message between the processes. */
using Message = std::variant<Hello, Heartbeat, ViewDelta, ViewRequest, ViewAck>;

/** A message with the sender's hybrid logical time stamp. */
struct Envelope
{
    HybridTime time;
    Message message;

    bool operator==(const Envelope &) const = default;
};

} // namespace dragonflysill
