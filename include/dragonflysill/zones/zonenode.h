#pragma once

#include "dragonflysill/base/random.h"
#include "dragonflysill/base/time.h"
#include "dragonflysill/telemetry/event.h"
#include "dragonflysill/wire/message.h"
#include "dragonflysill/wire/messageloop.h"
#include "dragonflysill/zones/changelog.h"
#include "dragonflysill/zones/deltaassembler.h"
#include "dragonflysill/zones/member.h"
#include "dragonflysill/zones/memberreport.h"
#include "dragonflysill/zones/peertable.h"
#include "dragonflysill/zones/view.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace dragonflysill {

/** Opens an outgoing connection. */
struct ConnectAction
{
    LinkId link = 0;
    std::string address;
};

/** Closes a connection. */
struct CloseAction
{
    LinkId link = 0;
};

/** Sends one message on several connections. */
struct SendAction
{
    std::vector<LinkId> links;
    Message message;
};

/** Starts or stops this process's watch on the store. */
struct WatchAction
{
    bool on = false;
};

/** Reads the full state from the store once. */
struct ReadStoreAction
{
};

/** Publishes a new view within the process. */
struct InstallAction
{
    ViewPointer view;
};

/** Writes (or deletes) the registration of this instance's entry process. */
struct EntryRegistrationAction
{
    bool present = false;
};

/** Stores the newest report of a member. */
struct ReportAction
{
    MemberReport report;
};

/** Changes the liveness of a member. */
struct LivenessAction
{
    std::string name;
    bool alive = false;
};

/** Removes the report of a member that left. */
struct RemoveMemberAction
{
    std::string name;
};

/** Records an event on the timeline. */
struct EventAction
{
    EventKind kind = EventKind::MemberJoined;
    std::string subject;
    std::string detail;
};

/** Changes the reported readiness of the process. */
struct ReadyAction
{
    bool ready = false;
};

using ZoneAction
        = std::variant<ConnectAction, CloseAction, SendAction, WatchAction, ReadStoreAction,
                       InstallAction, EntryRegistrationAction, ReportAction, LivenessAction,
                       RemoveMemberAction, EventAction, ReadyAction>;

/** The settings of a ZoneNode. */
struct ZoneSettings
{
    Member self;
    std::vector<std::string> seeds; ///< Peer addresses to try while the store is unreachable.
    std::uint64_t seed = 1; ///< Seed for the jitter of reconnect delays.
    /** 3 heartbeats per second to 7 peers stay below the limit of 13 KB/s for each process. */
    Duration heartbeatInterval = std::chrono::milliseconds(333);
    /** A member without a message for this time has failed: 3 lost heartbeats plus scheduling. */
    Duration failAfter = std::chrono::milliseconds(1200);
    /** Time for which a peer may be ahead before the missing changes are requested from it. */
    Duration changeRequestAfter = std::chrono::milliseconds(700);
    /** Time for which this process may be behind before it reads the store itself. */
    Duration storeReadAfter = std::chrono::seconds(3);
    /** Calls to the store must fail for this time before another member becomes the relay. */
    Duration relayFailoverAfter = std::chrono::seconds(2);
    /** Minimum time between two reads of the store by a process that is behind. */
    Duration storeReadInterval = std::chrono::seconds(5);
};

/**
 * The membership and view distribution logic of one control process, without threads, sockets or
 * a clock: events with their time are its inputs, actions its outputs. The relay of an availability
 * zone is the live member with the highest rendezvous hash; members that reach the store take
 * precedence. The relay watches the store; the others subscribe to it. Each process forwards
 * changes to its entry process. Not thread-safe.
 */
class ZoneNode
{
public:
    explicit ZoneNode(ZoneSettings settings);

    /** Returns and clears the actions that have accumulated since the last call. */
    std::vector<ZoneAction> takeActions();

    /** Starts connecting to the seeds. */
    void start(TimePoint now);

    /** Performs all timed work. Must be called at least ten times per second. */
    void tick(TimePoint now);

    /** Announces a graceful stop to all peers. */
    void leave();

    void linkOpened(LinkId link, TimePoint now);
    void linkClosed(LinkId link, TimePoint now);
    void received(LinkId link, const Message &message, TimePoint now);

    /**
     * Handles a successful write of the member key.
     * @param incarnation the registered incarnation
     * @param revision the store's revision of that write; the process is current once its view
     *                 reaches it
     * @param members the registrations at that revision
     */
    void registered(std::int64_t incarnation, std::int64_t revision,
                    const std::vector<Member> &members, TimePoint now);

    /** Handles the end of a call to the store; @p ok is true if the store answered. */
    void storeCallEnded(bool ok, TimePoint now);

    /** Handles the start or end of the watch on the store. */
    void watchChanged(bool established);

    /** Handles changes, or the full state if @p full, complete up to @p revision. */
    void storeStateReceived(const std::vector<KeyUpdate> &updates, std::int64_t revision, bool full,
                            TimePoint now);

    /** Handles an answer of the store with a lower revision or ticket than already seen. */
    void storeRegressed(const std::string &detail);

    [[nodiscard]] const ViewBuilder &builder() const { return m_builder; }
    [[nodiscard]] const PeerTable &peers() const { return m_peers; }

    /** Returns the name of this availability zone's relay; empty before it is known. */
    [[nodiscard]] const std::string &relay() const { return m_relay; }

    /** Returns the name of the peer whose changes this process subscribes to, or empty. */
    [[nodiscard]] const std::string &viewSource() const { return m_viewSource; }

    /** Returns true while this process is the relay and therefore has to watch the store. */
    [[nodiscard]] bool watchWanted() const { return m_watchWanted; }

    /** Returns true while this process's watch on the store is established. */
    [[nodiscard]] bool watching() const { return m_watching; }

    /** Returns the number of live members, this one included. */
    [[nodiscard]] std::int64_t liveMembers() const;

    /** Returns the number of connections that are subscribed to changes. */
    [[nodiscard]] std::int64_t subscribers() const;

    /** Returns true once the view has reached the newest accepted state after the start. */
    [[nodiscard]] bool isCurrent() const { return m_current; }

private:
    /** The state of one open connection, accepted or outgoing. */
    struct Connection
    {
        std::string name;
        bool isEntry = false;
        bool subscribed = false;
        std::int64_t sentRevision = 0;
        DeltaAssembler assembler;
    };

    struct Seed
    {
        std::string address;
        LinkId link = 0;
        TimePoint nextDial;
    };

    void handle(LinkId link, const Hello &hello, TimePoint now);
    void handle(LinkId link, const Heartbeat &heartbeat, TimePoint now);
    void handle(LinkId link, const ViewDelta &delta, TimePoint now);
    void handle(LinkId link, const ViewRequest &request, TimePoint now);
    void handle(LinkId link, const ViewAck &ack, TimePoint now);

    void recordHello(const Hello &hello, LinkId link, TimePoint now);
    void updateRegistrations(const ByName<Member> &members, TimePoint now);
    void markAlive(Peer &peer, std::int64_t incarnation, TimePoint now);
    void markFailed(Peer &peer, const std::string &reason);
    void dial(TimePoint now);
    void dialSeeds(TimePoint now);
    void sendHeartbeats(TimePoint now);
    void ignoreOwnPause(TimePoint now);
    void updatePeerStates(TimePoint now);
    void chooseRelayAndSource(TimePoint now);
    [[nodiscard]] std::string watchingPeer() const;
    void subscribe(const std::string &name);
    void requestMissingChanges(TimePoint now);
    void readStoreIfBehind(TimePoint now);
    void updateReadiness(TimePoint now);
    [[nodiscard]] bool storeUsable(TimePoint now) const;

    void apply(const std::vector<KeyUpdate> &updates, std::int64_t revision, bool full,
               TimePoint now);
    void sendUpdate(LinkId link, Connection &connection);
    void sendUpdates();
    void updateEntry();
    [[nodiscard]] bool canSendToEntry() const;
    void sendState(const std::vector<LinkId> &links, std::int64_t haveRevision);
    void reportSelf();
    void recordEvent(EventKind kind, std::string subject, std::string detail = {});
    LinkId nextLink();

    ZoneSettings m_settings;
    Random m_random;
    ViewBuilder m_builder;
    ChangeLog m_changeLog;
    PeerTable m_peers;
    std::vector<ZoneAction> m_actions;
    std::map<LinkId, Connection> m_connections;
    std::vector<Seed> m_seeds;
    LinkId m_lastLink = 1;

    TimePoint m_startedAt;
    TimePoint m_lastTick;
    TimePoint m_nextHeartbeat;
    std::uint64_t m_sequence = 0;
    std::int64_t m_registeredRevision = 0;
    bool m_registrationTried = false;
    bool m_storeReachable = false;
    TimePoint m_storeFailingSince;
    bool m_storeRegressed = false;
    bool m_watching = false;
    bool m_watchWanted = false;
    bool m_current = false;
    bool m_leaving = false;

    std::string m_relay;
    std::string m_viewSource;
    TimePoint m_lastProgress;
    TimePoint m_nextChangeRequest;
    bool m_behind = false;
    TimePoint m_behindSince;
    TimePoint m_nextStoreRead;

    LinkId m_entryLink = 0;
    /** True while the registration of the entry process was requested but is not in the view. */
    bool m_entryRequested = false;
    std::int64_t m_entryRevision = 0;
    std::vector<DrainedInstance> m_drained;
};

} // namespace dragonflysill
