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

/** Starts or ends this process's watch on the store. */
struct WatchAction
{
    bool on = false;
};

/** Reads the full state from the store once. */
struct ReadStoreAction
{
};

/** Publishes a newer view to the other parts of the process. */
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
struct ForgetAction
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

/** Changes what the process reports as its readiness. */
struct ReadyAction
{
    bool ready = false;
};

using ZoneAction
        = std::variant<ConnectAction, CloseAction, SendAction, WatchAction, ReadStoreAction,
                       InstallAction, EntryRegistrationAction, ReportAction, LivenessAction,
                       ForgetAction, EventAction, ReadyAction>;

/** The settings of a ZoneNode. */
struct ZoneSettings
{
    Member self;
    std::vector<std::string> seeds; ///< Peer addresses to try while the store is unreachable.
    std::uint64_t seed = 1; ///< For jitter of reconnects.
    /** 3 heartbeats a second to 7 peers stay below the limit of 13 KB/s per node. */
    Duration heartbeatInterval = std::chrono::milliseconds(333);
    /** Silence after which a member counts as failed; three lost heartbeats plus scheduling. */
    Duration failAfter = std::chrono::milliseconds(1200);
    /** How long a peer may be ahead before its newer state is requested from it. */
    Duration repairAfter = std::chrono::milliseconds(700);
    /** How long this process may be behind before it reads the store itself. */
    Duration lastResortAfter = std::chrono::seconds(3);
    /** Store failures must last this long before the relay role moves to another member. */
    Duration storeLostAfter = std::chrono::seconds(2);
    /** A read as last resort is allowed once in this time. */
    Duration readInterval = std::chrono::seconds(5);
};

/**
 * The decisions of one control process about membership and distribution. Inputs are events with
 * their time, outputs are actions; it has no thread, socket or clock. The relay of an availability
 * zone is the live member with the highest rendezvous hash, members that reach the store first. The
 * relay watches the store; the others subscribe to it and pass changes on to their entry process.
 * Not thread-safe; the owner guards it.
 */
class ZoneNode
{
public:
    explicit ZoneNode(ZoneSettings settings);

    /** Returns and clears the actions that the inputs since the last call produced. */
    std::vector<ZoneAction> takeActions();

    /** Starts dialling the seeds. */
    void start(TimePoint now);

    /** Advances time; call it at least ten times a second. */
    void tick(TimePoint now);

    /** Announces a graceful stop to all peers. */
    void leave();

    void linkOpened(LinkId link, TimePoint now);
    void linkClosed(LinkId link, TimePoint now);
    void received(LinkId link, const Message &message, TimePoint now);

    /**
     * The member key was written.
     * @param incarnation the registered incarnation
     * @param revision the store's revision of that write; the node is current from there on
     * @param members the registrations at that revision
     */
    void registered(std::int64_t incarnation, std::int64_t revision,
                    const std::vector<Member> &members, TimePoint now);

    /** A call to the store was answered or failed. */
    void storeAnswered(bool ok, TimePoint now);

    /** The watch was established or ended. */
    void watchChanged(bool established);

    /** The store delivered changes, or the full state if @p full, complete up to @p revision. */
    void storeState(const std::vector<KeyUpdate> &updates, std::int64_t revision, bool full,
                    TimePoint now);

    /** The store answered with a revision below one that was already seen. */
    void storeRegressed(const std::string &detail);

    [[nodiscard]] const ViewBuilder &builder() const { return m_builder; }
    [[nodiscard]] const PeerTable &peers() const { return m_peers; }

    /** Returns the name of this availability zone's relay; empty before it is known. */
    [[nodiscard]] const std::string &relay() const { return m_relay; }

    /** Returns the peer that this node is subscribed to; empty if there is none. */
    [[nodiscard]] const std::string &source() const { return m_source; }

    /** Returns true if this node wants to watch the store. */
    [[nodiscard]] bool watchWanted() const { return m_watchWanted; }

    /** Returns true while this node's watch on the store is established. */
    [[nodiscard]] bool watching() const { return m_watching; }

    /** Returns the number of live members, this one included. */
    [[nodiscard]] std::int64_t liveMembers() const;

    /** Returns the number of connections that receive changes. */
    [[nodiscard]] std::int64_t subscribers() const;

    /** Returns true if the newest accepted state has been reached since the start. */
    [[nodiscard]] bool current() const { return m_current; }

private:
    /** An accepted connection, or an outgoing one to an address whose owner is not known. */
    struct Remote
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

    void learn(const Hello &hello, LinkId link, TimePoint now);
    void learnMembers(const ByName<Member> &members, TimePoint now);
    void heard(Peer &peer, std::int64_t incarnation, TimePoint now);
    void fail(Peer &peer, const std::string &reason);
    void dial(TimePoint now);
    void dialSeeds(TimePoint now);
    void sendHeartbeats(TimePoint now);
    void forgivePause(TimePoint now);
    void judgePeers(TimePoint now);
    void chooseSource(TimePoint now);
    [[nodiscard]] std::string watchingPeer() const;
    void subscribe(const std::string &name);
    void repair(TimePoint now);
    void lastResort(TimePoint now);
    void judgeCurrent(TimePoint now);
    [[nodiscard]] bool storeUsable(TimePoint now) const;

    void apply(const std::vector<KeyUpdate> &updates, std::int64_t revision, bool full,
               TimePoint now);
    void serve(LinkId link, Remote &remote);
    void serveAll();
    void serveEntry();
    [[nodiscard]] bool entryMayBeServed() const;
    void sendState(const std::vector<LinkId> &links, std::int64_t haveRevision);
    void reportSelf();
    void emit(EventKind kind, std::string subject, std::string detail = {});
    LinkId nextLink();

    ZoneSettings m_settings;
    Random m_random;
    ViewBuilder m_builder;
    ChangeLog m_log;
    PeerTable m_peers;
    std::vector<ZoneAction> m_actions;
    std::map<LinkId, Remote> m_remotes;
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
    std::string m_source;
    TimePoint m_lastProgress;
    TimePoint m_nextRepair;
    bool m_behind = false;
    TimePoint m_behindSince;
    TimePoint m_nextRead;

    LinkId m_entryLink = 0;
    bool m_entryRequested = false; ///< True while its registration is not yet in the view.
    std::int64_t m_entryRevision = 0;
    std::vector<DrainedInstance> m_drained;
};

} // namespace dragonflysill
