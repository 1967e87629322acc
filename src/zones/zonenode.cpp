#include "dragonflysill/zones/zonenode.h"

#include "dragonflysill/base/storekeys.h"

#include <algorithm>
#include <utility>

namespace dragonflysill {

namespace internal {

/** Bytes of updates after which a part of a full state is sent; well below the frame limit. */
constexpr std::size_t statePartBytes = std::size_t{1024} * 1024;
/** Delays between connection attempts; the maximum bounds the time to detect a returned member. */
constexpr std::chrono::milliseconds initialRedialDelay{100};
constexpr std::chrono::milliseconds maxRedialDelay{1000};
constexpr int maxRedialShift = 4;
/** A failed member without registration is removed after this multiple of failAfter. */
constexpr int removalFactor = 2;

Hello makeHello(const Member &self)
{
    return {self.name, self.region, self.zone, false, self.incarnation, self.peerAddress};
}

std::vector<DrainedState> toStates(const std::vector<DrainedInstance> &drained)
{
    std::vector<DrainedState> states;
    states.reserve(drained.size());
    for (const auto &it : drained)
        states.push_back({it.name, it.epoch});
    return states;
}

std::vector<DrainedInstance> fromStates(const std::vector<DrainedState> &states)
{
    std::vector<DrainedInstance> drained;
    drained.reserve(states.size());
    for (const auto &it : states)
        drained.push_back({it.name, it.epoch});
    return drained;
}

} // namespace internal

ZoneNode::ZoneNode(ZoneSettings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
{
    for (const auto &it : m_settings.seeds) {
        if (it != m_settings.self.peerAddress)
            m_seeds.push_back({it, 0, {}});
    }
}

std::vector<ZoneAction> ZoneNode::takeActions()
{
    return std::exchange(m_actions, {});
}

void ZoneNode::start(TimePoint now)
{
    m_startedAt = now;
    m_lastTick = now;
    m_nextHeartbeat = now;
    m_storeFailingSince = now;
    m_lastProgress = now;
    for (auto &it : m_seeds)
        it.nextDial = now;
    reportSelf();
    tick(now);
}

void ZoneNode::tick(TimePoint now)
{
    if (m_leaving)
        return;
    ignoreOwnPause(now);
    updatePeerStates(now);
    dialSeeds(now);
    dial(now);
    sendHeartbeats(now);
    chooseRelayAndSource(now);
    requestMissingChanges(now);
    readStoreIfBehind(now);
    updateReadiness(now);
}

void ZoneNode::ignoreOwnPause(TimePoint now)
{
    // After a pause of this process, messages from its peers are still unread, so the time since
    // the last contact does not mean that the peers failed.
    if (now - m_lastTick > m_settings.failAfter / 2) {
        for (auto &it : m_peers.all())
            it.second.lastContact
                    = std::max(it.second.lastContact, now - m_settings.heartbeatInterval);
    }
    m_lastTick = now;
}

void ZoneNode::leave()
{
    m_leaving = true;
    Heartbeat heartbeat;
    heartbeat.name = m_settings.self.name;
    heartbeat.incarnation = m_settings.self.incarnation;
    heartbeat.sequence = ++m_sequence;
    heartbeat.leaving = true;
    SendAction action{{}, std::move(heartbeat)};
    for (const auto &it : m_peers.all()) {
        if (it.second.usable)
            action.links.push_back(it.second.link);
    }
    if (!action.links.empty())
        m_actions.emplace_back(std::move(action));
}

void ZoneNode::linkOpened(LinkId link, TimePoint now)
{
    m_connections[link] = {};
    const bool outgoing = link % 2 == 1;
    if (outgoing)
        m_actions.emplace_back(SendAction{{link}, internal::makeHello(m_settings.self)});
    if (Peer *peer = m_peers.findByLink(link))
        peer->nextDial = now;
}

void ZoneNode::linkClosed(LinkId link, TimePoint now)
{
    m_connections.erase(link);
    if (link == m_entryLink) {
        m_entryLink = 0;
        m_entryRevision = 0;
        m_drained.clear();
        reportSelf();
    }
    for (auto &it : m_seeds) {
        if (it.link != link)
            continue;
        it.link = 0;
        it.nextDial = now + internal::maxRedialDelay;
    }
    Peer *peer = m_peers.findByLink(link);
    if (peer == nullptr)
        return;
    peer->link = 0;
    if (std::exchange(peer->usable, false)) {
        peer->failedDials = 0;
        peer->nextDial = now;
    } else {
        const int shift = std::min(peer->failedDials++, internal::maxRedialShift);
        const auto delay
                = std::min(internal::initialRedialDelay * (1 << shift), internal::maxRedialDelay);
        const auto jitter = std::chrono::duration<double, std::milli>(
                static_cast<double>(delay.count()) * (0.5 + m_random.unit() / 2));
        peer->nextDial = now + std::chrono::duration_cast<Duration>(jitter);
        if (peer->state == Peer::State::Pending)
            markFailed(*peer, "connection refused");
    }
    dial(now);
    chooseRelayAndSource(now);
}

void ZoneNode::received(LinkId link, const Message &message, TimePoint now)
{
    std::visit([&](const auto &it) { handle(link, it, now); }, message);
}

void ZoneNode::handle(LinkId link, const Hello &hello, TimePoint now)
{
    const bool outgoing = link % 2 == 1;
    if (!outgoing)
        m_actions.emplace_back(SendAction{{link}, internal::makeHello(m_settings.self)});
    Connection &connection = m_connections[link];
    connection.name = hello.name;
    connection.isEntry = hello.isEntry;
    if (hello.isEntry) {
        if (hello.name == m_settings.self.name) {
            m_entryLink = link;
            m_entryRequested = false;
            updateEntry();
        } else {
            m_actions.emplace_back(CloseAction{link});
            linkClosed(link, now);
        }
        return;
    }
    if (hello.name == m_settings.self.name) {
        m_actions.emplace_back(CloseAction{link});
        linkClosed(link, now);
        return;
    }
    recordHello(hello, link, now);
    chooseRelayAndSource(now);
}

void ZoneNode::recordHello(const Hello &hello, LinkId link, TimePoint now)
{
    const bool outgoing = link % 2 == 1;
    Peer *dialledPeer = m_peers.findByLink(link);
    if (dialledPeer != nullptr && dialledPeer->name != hello.name) {
        // The address belongs to another member now; the previous one is not reachable there.
        dialledPeer->link = 0;
        dialledPeer->usable = false;
        dialledPeer->nextDial = now + internal::maxRedialDelay;
    }
    auto [position, isNew] = m_peers.all().try_emplace(hello.name);
    Peer &peer = position->second;
    if (isNew) {
        peer.name = hello.name;
        peer.knownSince = now;
        peer.nextDial = now;
    }
    if (hello.incarnation < peer.incarnation)
        return;
    peer.region = hello.region;
    peer.zone = hello.zone;
    peer.address = hello.peerAddress;
    peer.left = false;
    if (outgoing && peer.link != link && peer.link == 0)
        peer.link = link;
    if (outgoing && peer.link == link) {
        peer.usable = true;
        peer.failedDials = 0;
        for (auto &it : m_seeds) {
            if (it.link == link)
                it.link = 0;
        }
    }
    markAlive(peer, hello.incarnation, now);
    if (peer.usable && peer.link == link && m_viewSource == peer.name)
        m_actions.emplace_back(SendAction{{link}, ViewRequest{m_builder.view()->revision, true}});
    dial(now);
}

void ZoneNode::markAlive(Peer &peer, std::int64_t incarnation, TimePoint now)
{
    const bool returned = peer.incarnation != 0 && incarnation > peer.incarnation;
    peer.incarnation = std::max(peer.incarnation, incarnation);
    peer.lastContact = now;
    if (peer.state == Peer::State::Alive && !returned)
        return;
    peer.state = Peer::State::Alive;
    recordEvent(EventKind::MemberJoined, peer.name,
                (returned ? "returned with incarnation " : "incarnation ")
                        + std::to_string(incarnation));
    m_actions.emplace_back(LivenessAction{peer.name, true});
}

void ZoneNode::markFailed(Peer &peer, const std::string &reason)
{
    if (peer.state == Peer::State::Failed)
        return;
    peer.state = Peer::State::Failed;
    peer.watching = false;
    recordEvent(EventKind::MemberFailed, peer.name, reason);
    m_actions.emplace_back(LivenessAction{peer.name, false});
}

void ZoneNode::handle(LinkId /*link*/, const Heartbeat &heartbeat, TimePoint now)
{
    Peer *peer = m_peers.find(heartbeat.name);
    if (peer == nullptr || heartbeat.incarnation < peer->incarnation)
        return;
    if (heartbeat.leaving) {
        peer->state = Peer::State::Failed;
        peer->left = true;
        peer->watching = false;
        recordEvent(EventKind::MemberLeft, peer->name);
        m_actions.emplace_back(RemoveMemberAction{peer->name});
        chooseRelayAndSource(now);
        return;
    }
    peer->left = false;
    markAlive(*peer, heartbeat.incarnation, now);
    const std::int64_t ownRevision = m_builder.view()->revision;
    const bool wasAhead = peer->viewRevision > ownRevision;
    peer->viewRevision = heartbeat.viewRevision;
    if (peer->viewRevision > ownRevision && !wasAhead)
        peer->aheadSince = now;
    peer->storeReachable = heartbeat.storeReachable;
    peer->watching = heartbeat.watching;
    m_actions.emplace_back(
            ReportAction{{heartbeat.name, heartbeat.incarnation, true, heartbeat.appliedRevision,
                          heartbeat.ticketNumber, internal::fromStates(heartbeat.drained)}});
}

void ZoneNode::handle(LinkId link, const ViewDelta &delta, TimePoint now)
{
    const std::int64_t ownRevision = m_builder.view()->revision;
    DeltaAssembler &assembler = m_connections[link].assembler;
    switch (assembler.add(delta, ownRevision)) {
    case DeltaOutcome::Ignore:
        return;
    case DeltaOutcome::Request: {
        const Peer *peer = m_peers.findByLink(link);
        const bool subscribed = peer != nullptr && peer->name == m_viewSource;
        m_actions.emplace_back(SendAction{{link}, ViewRequest{ownRevision, subscribed}});
        return;
    }
    case DeltaOutcome::Apply:
        apply(assembler.updates(), delta.toRevision, false, now);
        return;
    case DeltaOutcome::Replace:
        apply(assembler.updates(), delta.toRevision, true, now);
        return;
    }
}

void ZoneNode::handle(LinkId link, const ViewRequest &request, TimePoint /*now*/)
{
    Connection &connection = m_connections[link];
    connection.subscribed = request.subscribe;
    connection.sentRevision = request.haveRevision;
    sendUpdate(link, connection);
}

void ZoneNode::handle(LinkId link, const ViewAck &ack, TimePoint /*now*/)
{
    if (link != m_entryLink)
        return;
    if (ack.stopping) {
        m_actions.emplace_back(EntryRegistrationAction{false});
        m_entryLink = 0;
        m_drained.clear();
        return;
    }
    m_entryRevision = ack.revision;
    auto drained = internal::fromStates(ack.drained);
    // Changes of the drained instances are sent at once, because moves wait for them. An applied
    // revision is sent with the next regular heartbeat: an extra heartbeat to all peers for each
    // change doubled the traffic at 2 changes per second.
    if (drained != m_drained)
        m_nextHeartbeat = {};
    m_drained = std::move(drained);
    reportSelf();
}

void ZoneNode::registered(std::int64_t incarnation, std::int64_t revision,
                          const std::vector<Member> &members, TimePoint now)
{
    m_settings.self.incarnation = incarnation;
    m_registrationTried = true;
    m_registeredRevision = revision;
    ByName<Member> byName;
    for (const auto &it : members)
        byName.emplace(it.name, it);
    updateRegistrations(byName, now);
    storeCallEnded(true, now);
    reportSelf();
    dial(now);
    chooseRelayAndSource(now);
}

void ZoneNode::storeCallEnded(bool ok, TimePoint now)
{
    if (ok != m_storeReachable || !m_registrationTried) {
        recordEvent(ok ? EventKind::StoreReachable : EventKind::StoreUnreachable,
                    m_settings.self.name);
        m_storeFailingSince = now;
    }
    m_storeReachable = ok;
    m_registrationTried = true;
}

bool ZoneNode::storeUsable(TimePoint now) const
{
    return m_storeReachable || now - m_storeFailingSince < m_settings.relayFailoverAfter;
}

void ZoneNode::watchChanged(bool established)
{
    m_watching = established;
}

void ZoneNode::storeStateReceived(const std::vector<KeyUpdate> &updates, std::int64_t revision,
                                  bool full, TimePoint now)
{
    if (full) {
        apply(updates, revision, true, now);
        return;
    }
    // The revision of a view is that of its last change. Claims and tasks, which share the watch,
    // therefore cause no messages, and equal states have equal revisions in all processes.
    std::vector<KeyUpdate> changes;
    std::int64_t last = 0;
    for (const auto &it : updates) {
        if (!isViewKey(it.key) || it.revision <= m_builder.view()->revision)
            continue;
        changes.push_back(it);
        last = std::max(last, it.revision);
    }
    if (!changes.empty())
        apply(changes, last, false, now);
}

void ZoneNode::storeRegressed(const std::string &detail)
{
    if (!std::exchange(m_storeRegressed, true))
        recordEvent(EventKind::StoreRegressed, m_settings.self.name, detail);
}

void ZoneNode::apply(const std::vector<KeyUpdate> &updates, std::int64_t revision, bool full,
                     TimePoint now)
{
    const std::int64_t from = m_builder.view()->revision;
    const auto result
            = full ? m_builder.replace(updates, revision) : m_builder.apply(updates, revision);
    if (!result) {
        storeRegressed(result.error().detail);
        return;
    }
    m_storeRegressed = false;
    m_lastProgress = now;
    if (revision == from)
        return;
    m_changeLog.append(from, revision, m_builder.lastChanges());
    m_actions.emplace_back(InstallAction{*result});
    recordEvent(EventKind::ViewInstalled, std::to_string(revision),
                "ticket " + std::to_string((*result)->configuration.ticket));
    updateRegistrations((*result)->members, now);
    sendUpdates();
    updateReadiness(now);
    updateEntry();
}

void ZoneNode::updateRegistrations(const ByName<Member> &members, TimePoint now)
{
    for (auto &it : m_peers.all())
        it.second.registered = false;
    for (const auto &[name, member] : members) {
        if (name == m_settings.self.name)
            continue;
        auto [position, isNew] = m_peers.all().try_emplace(name);
        Peer &peer = position->second;
        peer.registered = true;
        if (isNew) {
            peer.name = name;
            peer.knownSince = now;
            peer.nextDial = now;
        }
        if (member.incarnation < peer.incarnation)
            continue;
        if (!peer.address.empty() && peer.address != member.peerAddress && peer.link != 0) {
            m_actions.emplace_back(CloseAction{peer.link});
            m_connections.erase(peer.link);
            peer.link = 0;
            peer.usable = false;
            peer.nextDial = now;
        }
        if (member.incarnation > peer.incarnation)
            peer.left = false;
        peer.region = member.region;
        peer.zone = member.zone;
        peer.address = member.peerAddress;
    }
}

void ZoneNode::updatePeerStates(TimePoint now)
{
    std::vector<std::string> removed;
    for (auto &[name, peer] : m_peers.all()) {
        const TimePoint since = std::max(peer.lastContact, peer.knownSince);
        if (peer.state != Peer::State::Failed && now - since >= m_settings.failAfter)
            markFailed(peer, "no heartbeat");
        const bool silent = now - since >= m_settings.failAfter * internal::removalFactor;
        if (peer.state == Peer::State::Failed && !peer.registered && (peer.left || silent))
            removed.push_back(name);
    }
    for (const auto &it : removed) {
        const Peer &peer = m_peers.all().at(it);
        if (peer.link != 0) {
            m_actions.emplace_back(CloseAction{peer.link});
            m_connections.erase(peer.link);
        }
        m_peers.all().erase(it);
        m_actions.emplace_back(RemoveMemberAction{it});
    }
}

void ZoneNode::dial(TimePoint now)
{
    for (auto &it : m_peers.all()) {
        Peer &peer = it.second;
        if (peer.link != 0 || peer.left || peer.address.empty() || now < peer.nextDial)
            continue;
        peer.link = nextLink();
        m_actions.emplace_back(ConnectAction{peer.link, peer.address});
    }
}

void ZoneNode::dialSeeds(TimePoint now)
{
    for (auto &it : m_seeds) {
        if (it.link != 0 || now < it.nextDial || m_peers.hasAddress(it.address))
            continue;
        it.link = nextLink();
        m_actions.emplace_back(ConnectAction{it.link, it.address});
    }
}

void ZoneNode::sendHeartbeats(TimePoint now)
{
    if (now < m_nextHeartbeat)
        return;
    m_nextHeartbeat = now + m_settings.heartbeatInterval;
    const ViewPointer view = m_builder.view();
    Heartbeat heartbeat;
    heartbeat.name = m_settings.self.name;
    heartbeat.incarnation = m_settings.self.incarnation;
    heartbeat.sequence = ++m_sequence;
    heartbeat.appliedRevision = m_entryRevision;
    heartbeat.ticketNumber = view->configuration.ticket;
    heartbeat.drained = internal::toStates(m_drained);
    heartbeat.viewRevision = view->revision;
    heartbeat.storeReachable = storeUsable(now);
    heartbeat.watching = m_watching;
    SendAction action{{}, std::move(heartbeat)};
    for (const auto &it : m_peers.all()) {
        if (it.second.usable)
            action.links.push_back(it.second.link);
    }
    if (!action.links.empty())
        m_actions.emplace_back(std::move(action));
}

void ZoneNode::chooseRelayAndSource(TimePoint now)
{
    if (!m_registrationTried || m_leaving)
        return;
    const std::string &self = m_settings.self.name;
    std::vector<RelayCandidate> candidates{{self, storeUsable(now)}};
    for (const auto &it : m_peers.all()) {
        const Peer &peer = it.second;
        if (peer.zone == m_settings.self.zone && peer.region == m_settings.self.region
            && peer.state != Peer::State::Failed)
            candidates.push_back({peer.name, peer.storeReachable});
    }
    std::string chosen;
    for (const auto &it : rankRelays(m_settings.self.zone, std::move(candidates))) {
        const Peer *peer = m_peers.find(it);
        const bool undecided = peer != nullptr && !peer->usable && peer->failedDials == 0;
        if (undecided)
            return;
        if (peer == nullptr || peer->usable) {
            chosen = it;
            break;
        }
    }
    if (chosen != m_relay) {
        recordEvent(EventKind::RelayChanged, m_settings.self.zone, chosen);
        m_relay = chosen;
    }
    const bool isRelay = chosen == self;
    if (isRelay != m_watchWanted) {
        m_watchWanted = isRelay;
        m_actions.emplace_back(WatchAction{isRelay});
    }
    if (!isRelay)
        subscribe(chosen);
    else
        subscribe(storeUsable(now) ? std::string() : watchingPeer());
}

std::string ZoneNode::watchingPeer() const
{
    std::vector<RelayCandidate> candidates;
    for (const auto &it : m_peers.all()) {
        const Peer &peer = it.second;
        if (peer.state == Peer::State::Alive && peer.usable && peer.watching)
            candidates.push_back({peer.name, peer.region == m_settings.self.region});
    }
    const auto ranked = rankRelays(m_settings.self.zone, std::move(candidates));
    return ranked.empty() ? std::string() : ranked.front();
}

void ZoneNode::subscribe(const std::string &name)
{
    if (name == m_viewSource)
        return;
    const std::int64_t revision = m_builder.view()->revision;
    const Peer *previous = m_peers.find(m_viewSource);
    if (previous != nullptr && previous->usable)
        m_actions.emplace_back(SendAction{{previous->link}, ViewRequest{revision, false}});
    m_viewSource = name;
    const Peer *peer = m_peers.find(m_viewSource);
    if (peer != nullptr && peer->usable)
        m_actions.emplace_back(SendAction{{peer->link}, ViewRequest{revision, true}});
}

void ZoneNode::requestMissingChanges(TimePoint now)
{
    if (now < m_nextChangeRequest)
        return;
    const std::int64_t ownRevision = m_builder.view()->revision;
    const Peer *best = nullptr;
    for (const auto &it : m_peers.all()) {
        const Peer &peer = it.second;
        const bool ahead = peer.state == Peer::State::Alive && peer.usable
                           && peer.viewRevision > ownRevision
                           && now - std::max(peer.aheadSince, m_lastProgress)
                                      >= m_settings.changeRequestAfter;
        if (ahead && (best == nullptr || peer.viewRevision > best->viewRevision))
            best = &peer;
    }
    if (best == nullptr)
        return;
    m_nextChangeRequest = now + m_settings.changeRequestAfter;
    m_actions.emplace_back(
            SendAction{{best->link}, ViewRequest{ownRevision, best->name == m_viewSource}});
}

void ZoneNode::readStoreIfBehind(TimePoint now)
{
    std::int64_t needed = m_registeredRevision;
    for (const auto &it : m_peers.all()) {
        if (it.second.state == Peer::State::Alive)
            needed = std::max(needed, it.second.viewRevision);
    }
    if (m_builder.view()->revision >= needed) {
        m_behind = false;
        return;
    }
    if (!std::exchange(m_behind, true))
        m_behindSince = now;
    const TimePoint since = std::max(m_behindSince, m_lastProgress);
    if (!m_storeReachable || now - since < m_settings.storeReadAfter || now < m_nextStoreRead)
        return;
    m_nextStoreRead = now + m_settings.storeReadInterval;
    m_actions.emplace_back(ReadStoreAction{});
}

void ZoneNode::updateReadiness(TimePoint now)
{
    if (m_current)
        return;
    const std::int64_t ownRevision = m_builder.view()->revision;
    if (m_registeredRevision > 0) {
        m_current = ownRevision >= m_registeredRevision;
    } else if (ownRevision > 0 && now - m_startedAt >= m_settings.failAfter) {
        // The store is unreachable: the newest state among the reachable members counts as current.
        const auto &peers = m_peers.all();
        m_current = std::all_of(peers.begin(), peers.end(), [ownRevision](const auto &it) {
            return it.second.state == Peer::State::Failed
                   || (it.second.state == Peer::State::Alive
                       && it.second.viewRevision <= ownRevision);
        });
    }
    if (!m_current)
        return;
    recordEvent(EventKind::ReadyChanged, m_settings.self.name, "ready");
    m_actions.emplace_back(ReadyAction{true});
    updateEntry();
}

bool ZoneNode::canSendToEntry() const
{
    return m_current && m_builder.view()->entries.count(m_settings.self.name) != 0;
}

void ZoneNode::updateEntry()
{
    if (m_entryLink == 0)
        return;
    if (m_builder.view()->entries.count(m_settings.self.name) != 0)
        m_entryRequested = false;
    else if (!std::exchange(m_entryRequested, true))
        m_actions.emplace_back(EntryRegistrationAction{true});
    const auto it = m_connections.find(m_entryLink);
    if (it != m_connections.end() && it->second.subscribed)
        sendUpdate(m_entryLink, it->second);
}

void ZoneNode::sendUpdate(LinkId link, Connection &connection)
{
    const std::int64_t ownRevision = m_builder.view()->revision;
    if (ownRevision <= connection.sentRevision || (connection.isEntry && !canSendToEntry()))
        return;
    sendState({link}, connection.sentRevision);
    connection.sentRevision = ownRevision;
}

void ZoneNode::sendUpdates()
{
    const std::int64_t ownRevision = m_builder.view()->revision;
    std::map<std::int64_t, std::vector<LinkId>> groups;
    for (auto &[link, connection] : m_connections) {
        if (!connection.subscribed || connection.sentRevision >= ownRevision
            || (connection.isEntry && !canSendToEntry()))
            continue;
        groups[connection.sentRevision].push_back(link);
        connection.sentRevision = ownRevision;
    }
    for (const auto &it : groups)
        sendState(it.second, it.first);
}

void ZoneNode::sendState(const std::vector<LinkId> &links, std::int64_t haveRevision)
{
    const std::int64_t ownRevision = m_builder.view()->revision;
    auto changes = m_changeLog.after(haveRevision);
    if (changes && haveRevision > 0) {
        m_actions.emplace_back(SendAction{
                links, ViewDelta{haveRevision, ownRevision, false, std::move(*changes), false}});
        return;
    }
    ViewDelta part{0, ownRevision, true, {}, true};
    std::size_t bytes = 0;
    for (auto &it : m_builder.fullState()) {
        bytes += it.key.size() + it.value.size();
        part.updates.push_back(std::move(it));
        if (bytes < internal::statePartBytes)
            continue;
        m_actions.emplace_back(SendAction{links, std::move(part)});
        part = {0, ownRevision, true, {}, true};
        bytes = 0;
    }
    part.more = false;
    m_actions.emplace_back(SendAction{links, std::move(part)});
}

std::int64_t ZoneNode::liveMembers() const
{
    const auto &peers = m_peers.all();
    return 1 + std::count_if(peers.begin(), peers.end(), [](const auto &it) {
               return it.second.state == Peer::State::Alive;
           });
}

std::int64_t ZoneNode::subscribers() const
{
    return std::count_if(m_connections.begin(), m_connections.end(),
                         [](const auto &it) { return it.second.subscribed; });
}

void ZoneNode::reportSelf()
{
    m_actions.emplace_back(
            ReportAction{{m_settings.self.name, m_settings.self.incarnation, true, m_entryRevision,
                          m_builder.view()->configuration.ticket, m_drained}});
}

void ZoneNode::recordEvent(EventKind kind, std::string subject, std::string detail)
{
    m_actions.emplace_back(EventAction{kind, std::move(subject), std::move(detail)});
}

LinkId ZoneNode::nextLink()
{
    m_lastLink += 2;
    return m_lastLink;
}

} // namespace dragonflysill
