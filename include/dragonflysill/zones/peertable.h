#pragma once

#include "dragonflysill/base/time.h"
#include "dragonflysill/wire/messageloop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace dragonflysill {

/** The state of another control process, as seen by this one. */
struct Peer
{
    enum class State {
        Pending, ///< Known by name; neither reached nor failed yet.
        Alive,
        Failed,
    };

    std::string name;
    std::string region;
    std::string zone; ///< Availability zone.
    std::string address; ///< Address on which it accepts peer connections.
    State state = State::Pending;
    std::int64_t incarnation = 0;
    bool registered = false; ///< True while the view holds its registration.
    TimePoint knownSince;
    TimePoint lastContact;
    std::int64_t viewRevision = 0;
    bool storeReachable = true; ///< From its last heartbeat; true before the first.
    bool watching = false; ///< True if its watch on the store is established.
    bool left = false; ///< True after it announced a graceful stop.

    LinkId link = 0; ///< The outgoing connection; 0 if there is none.
    bool usable = false; ///< True once its Hello has arrived on the outgoing connection.
    TimePoint nextDial;
    int failedDials = 0; ///< Failed connection attempts since the last successful one.
    TimePoint aheadSince; ///< Since when its view revision is above that of this process.
};

/** Holds the other control processes by name. */
class PeerTable
{
public:
    using Map = std::map<std::string, Peer, std::less<>>;

    /** Returns the peer, or null. */
    Peer *find(std::string_view name);
    [[nodiscard]] const Peer *find(std::string_view name) const;

    /** Returns the peer of an outgoing connection, or null. */
    Peer *findByLink(LinkId link);

    /** Returns true if a peer has the address. */
    [[nodiscard]] bool hasAddress(std::string_view address) const;

    [[nodiscard]] const Map &all() const { return m_peers; }
    Map &all() { return m_peers; }

private:
    Map m_peers;
};

/** A member as a candidate for the relay role. */
struct RelayCandidate
{
    std::string name;
    bool storeReachable = true;
};

/**
 * Orders the candidates for the relay role of an availability zone: members that reach the store
 * first, then by rendezvous hash (Thaler, Ravishankar, 1996), so that the failure of a member only
 * reassigns the role that it held.
 * @param zone the availability zone
 * @param candidates its live members, in any order
 * @return the names of the candidates in rank order, the relay first
 */
std::vector<std::string> rankRelays(std::string_view zone, std::vector<RelayCandidate> candidates);

} // namespace dragonflysill
