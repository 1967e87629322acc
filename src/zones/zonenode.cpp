#include "dragonflysill/zones/zonenode.h"

#include "dragonflysill/base/storekeys.h"

#include <algorithm>
#include <utility>

namespace dragonflysill {

namespace internal {

/** Bytes of updates in one part of a full state; well below the frame limit. */
constexpr std::size_t partBytes = std::size_t{1024} * 1024;
/** Redial delays; the cap bounds how long a returned member stays unnoticed. */
constexpr std::chrono::milliseconds firstRedial{100};
constexpr std::chrono::milliseconds longestRedial{1000};
constexpr int largestRedialShift = 4;
/** A failed member without registration is forgotten after this multiple of failAfter. */
constexpr int forgetFactor = 2;

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
    forgivePause(now);
    judgePeers(now);
    dialSeeds(now);
    dial(now);
    sendHeartbeats(now);
    chooseSource(now);
    repair(now);
    lastResort(now);
    judgeCurrent(now);
}

void ZoneNode::forgivePause(TimePoint now)
{
    // After a pause of this process the silence of all peers is its own; their frames wait unread.
    if (now - m_lastTick > m_settings.failAfter / 2) {
        for (auto &it : m_peers.all())
            it.second.lastHeard = std::max(it.second.lastHeard, now - m_settings.heartbeatInterval);
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
    m_remotes[link] = {};
    const bool outgoing = link % 2 == 1;
    if (outgoing)
        m_actions.emplace_back(SendAction{{link}, internal::makeHello(m_settings.self)});
    if (Peer *peer = m_peers.findByLink(link))
        peer->nextDial = now;
}

void ZoneNode::linkClosed(LinkId link, TimePoint now)
{
    m_remotes.erase(link);
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
        it.nextDial = now + internal::longestRedial;
    }
    Peer *peer = m_peers.findByLink(link);
    if (peer == nullptr)
        return;
    peer->link = 0;
    if (std::exchange(peer->usable, false)) {
        peer->failedDials = 0;
        peer->nextDial = now;
    } else {
        const int shift = std::min(peer->failedDials++, internal::largestRedialShift);
        const auto delay = std::min(internal::firstRedial * (1 << shift), internal::longestRedial);
        const auto jitter = std::chrono::duration<double, std::milli>(
                static_cast<double>(delay.count()) * (0.5 + m_random.unit() / 2));
        peer->nextDial = now + std::chrono::duration_cast<Duration>(jitter);
        if (peer->state == Peer::State::Pending)
            fail(*peer, "connection refused");
    }
    dial(now);
    chooseSource(now);
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
    Remote &remote = m_remotes[link];
    remote.name = hello.name;
    remote.isEntry = hello.isEntry;
    if (hello.isEntry) {
        if (hello.name == m_settings.self.name) {
            m_entryLink = link;
            m_entryRequested = false;
            serveEntry();
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
    learn(hello, link, now);
    chooseSource(now);
}

void ZoneNode::learn(const Hello &hello, LinkId link, TimePoint now)
{
    const bool outgoing = link % 2 == 1;
    Peer *dialled = m_peers.findByLink(link);
    if (dialled != nullptr && dialled->name != hello.name) {
        // Another member took over the address; the old one is not reachable there.
        dialled->link = 0;
        dialled->usable = false;
        dialled->nextDial = now + internal::longestRedial;
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
    heard(peer, hello.incarnation, now);
    if (peer.usable && peer.link == link && m_source == peer.name)
        m_actions.emplace_back(SendAction{{link}, ViewRequest{m_builder.view()->revision, true}});
    dial(now);
}

void ZoneNode::heard(Peer &peer, std::int64_t incarnation, TimePoint now)
{
    const bool returned = peer.incarnation != 0 && incarnation > peer.incarnation;
    peer.incarnation = std::max(peer.incarnation, incarnation);
    peer.lastHeard = now;
    if (peer.state == Peer::State::Alive && !returned)
        return;
    peer.state = Peer::State::Alive;
    emit(EventKind::MemberJoined, peer.name,
         (returned ? "returned with incarnation " : "incarnation ") + std::to_string(incarnation));
    m_actions.emplace_back(LivenessAction{peer.name, true});
}

void ZoneNode::fail(Peer &peer, const std::string &reason)
{
    if (peer.state == Peer::State::Failed)
        return;
    peer.state = Peer::State::Failed;
    peer.watching = false;
    emit(EventKind::MemberFailed, peer.name, reason);
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
        emit(EventKind::MemberLeft, peer->name);
        m_actions.emplace_back(ForgetAction{peer->name});
        chooseSource(now);
        return;
    }
    peer->left = false;
    heard(*peer, heartbeat.incarnation, now);
    const std::int64_t mine = m_builder.view()->revision;
    const bool wasAhead = peer->viewRevision > mine;
    peer->viewRevision = heartbeat.viewRevision;
    if (peer->viewRevision > mine && !wasAhead)
        peer->aheadSince = now;
    peer->storeReachable = heartbeat.storeReachable;
    peer->watching = heartbeat.watching;
    m_actions.emplace_back(
            ReportAction{{heartbeat.name, heartbeat.incarnation, true, heartbeat.appliedRevision,
                          heartbeat.ticketNumber, internal::fromStates(heartbeat.drained)}});
}

void ZoneNode::handle(LinkId link, const ViewDelta &delta, TimePoint now)
{
    const std::int64_t mine = m_builder.view()->revision;
    DeltaAssembler &assembler = m_remotes[link].assembler;
    switch (assembler.add(delta, mine)) {
    case DeltaOutcome::Ignore:
        return;
    case DeltaOutcome::Request: {
        const Peer *peer = m_peers.findByLink(link);
        const bool subscribed = peer != nullptr && peer->name == m_source;
        m_actions.emplace_back(SendAction{{link}, ViewRequest{mine, subscribed}});
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
    Remote &remote = m_remotes[link];
    remote.subscribed = request.subscribe;
    remote.sentRevision = request.haveRevision;
    serve(link, remote);
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
    // Moves wait for drained instances, so these do not wait for the next heartbeat. An applied
    // revision does: a heartbeat to all peers for each change doubled the bytes at 2 changes a
    // second.
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
    learnMembers(byName, now);
    storeAnswered(true, now);
    reportSelf();
    dial(now);
    chooseSource(now);
}

void ZoneNode::storeAnswered(bool ok, TimePoint now)
{
    if (ok != m_storeReachable || !m_registrationTried) {
        emit(ok ? EventKind::StoreReachable : EventKind::StoreUnreachable, m_settings.self.name);
        m_storeFailingSince = now;
    }
    m_storeReachable = ok;
    m_registrationTried = true;
}

bool ZoneNode::storeUsable(TimePoint now) const
{
    return m_storeReachable || now - m_storeFailingSince < m_settings.storeLostAfter;
}

void ZoneNode::watchChanged(bool established)
{
    m_watching = established;
}

void ZoneNode::storeState(const std::vector<KeyUpdate> &updates, std::int64_t revision, bool full,
                          TimePoint now)
{
    if (full) {
        apply(updates, revision, true, now);
        return;
    }
    // The view's revision is that of its last change, so that claims and tasks, which share the
    // watch, cause no messages and all processes name equal states by equal revisions.
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
        emit(EventKind::StoreRegressed, m_settings.self.name, detail);
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
    m_log.append(from, revision, m_builder.lastChanges());
    m_actions.emplace_back(InstallAction{*result});
    emit(EventKind::ViewInstalled, std::to_string(revision),
         "ticket " + std::to_string((*result)->configuration.ticket));
    learnMembers((*result)->members, now);
    serveAll();
    judgeCurrent(now);
    serveEntry();
}

void ZoneNode::learnMembers(const ByName<Member> &members, TimePoint now)
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
            m_remotes.erase(peer.link);
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

void ZoneNode::judgePeers(TimePoint now)
{
    std::vector<std::string> forgotten;
    for (auto &[name, peer] : m_peers.all()) {
        const TimePoint since = std::max(peer.lastHeard, peer.knownSince);
        if (peer.state != Peer::State::Failed && now - since >= m_settings.failAfter)
            fail(peer, "no heartbeat");
        const bool silent = now - since >= m_settings.failAfter * internal::forgetFactor;
        if (peer.state == Peer::State::Failed && !peer.registered && (peer.left || silent))
            forgotten.push_back(name);
    }
    for (const auto &it : forgotten) {
        const Peer &peer = m_peers.all().at(it);
        if (peer.link != 0) {
            m_actions.emplace_back(CloseAction{peer.link});
            m_remotes.erase(peer.link);
        }
        m_peers.all().erase(it);
        m_actions.emplace_back(ForgetAction{it});
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

void ZoneNode::chooseSource(TimePoint now)
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
        emit(EventKind::RelayChanged, m_settings.self.zone, chosen);
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
    if (name == m_source)
        return;
    const std::int64_t revision = m_builder.view()->revision;
    const Peer *previous = m_peers.find(m_source);
    if (previous != nullptr && previous->usable)
        m_actions.emplace_back(SendAction{{previous->link}, ViewRequest{revision, false}});
    m_source = name;
    const Peer *peer = m_peers.find(m_source);
    if (peer != nullptr && peer->usable)
        m_actions.emplace_back(SendAction{{peer->link}, ViewRequest{revision, true}});
}

void ZoneNode::repair(TimePoint now)
{
    if (now < m_nextRepair)
        return;
    const std::int64_t mine = m_builder.view()->revision;
    const Peer *best = nullptr;
    for (const auto &it : m_peers.all()) {
        const Peer &peer = it.second;
        const bool ahead
                = peer.state == Peer::State::Alive && peer.usable && peer.viewRevision > mine
                  && now - std::max(peer.aheadSince, m_lastProgress) >= m_settings.repairAfter;
        if (ahead && (best == nullptr || peer.viewRevision > best->viewRevision))
            best = &peer;
    }
    if (best == nullptr)
        return;
    m_nextRepair = now + m_settings.repairAfter;
    m_actions.emplace_back(SendAction{{best->link}, ViewRequest{mine, best->name == m_source}});
}

void ZoneNode::lastResort(TimePoint now)
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
    if (!m_storeReachable || now - since < m_settings.lastResortAfter || now < m_nextRead)
        return;
    m_nextRead = now + m_settings.readInterval;
    m_actions.emplace_back(ReadStoreAction{});
}

void ZoneNode::judgeCurrent(TimePoint now)
{
    if (m_current)
        return;
    const std::int64_t mine = m_builder.view()->revision;
    if (m_registeredRevision > 0) {
        m_current = mine >= m_registeredRevision;
    } else if (mine > 0 && now - m_startedAt >= m_settings.failAfter) {
        // The store is unreachable: the newest state that any reachable member has is the newest.
        const auto &peers = m_peers.all();
        m_current = std::all_of(peers.begin(), peers.end(), [mine](const auto &it) {
            return it.second.state == Peer::State::Failed
                   || (it.second.state == Peer::State::Alive && it.second.viewRevision <= mine);
        });
    }
    if (!m_current)
        return;
    emit(EventKind::ReadyChanged, m_settings.self.name, "ready");
    m_actions.emplace_back(ReadyAction{true});
    serveEntry();
}

bool ZoneNode::entryMayBeServed() const
{
    return m_current && m_builder.view()->entries.count(m_settings.self.name) != 0;
}

void ZoneNode::serveEntry()
{
    if (m_entryLink == 0)
        return;
    if (m_builder.view()->entries.count(m_settings.self.name) != 0)
        m_entryRequested = false;
    else if (!std::exchange(m_entryRequested, true))
        m_actions.emplace_back(EntryRegistrationAction{true});
    const auto it = m_remotes.find(m_entryLink);
    if (it != m_remotes.end() && it->second.subscribed)
        serve(m_entryLink, it->second);
}

void ZoneNode::serve(LinkId link, Remote &remote)
{
    const std::int64_t mine = m_builder.view()->revision;
    if (mine <= remote.sentRevision || (remote.isEntry && !entryMayBeServed()))
        return;
    sendState({link}, remote.sentRevision);
    remote.sentRevision = mine;
}

void ZoneNode::serveAll()
{
    const std::int64_t mine = m_builder.view()->revision;
    std::map<std::int64_t, std::vector<LinkId>> groups;
    for (auto &[link, remote] : m_remotes) {
        if (!remote.subscribed || remote.sentRevision >= mine
            || (remote.isEntry && !entryMayBeServed()))
            continue;
        groups[remote.sentRevision].push_back(link);
        remote.sentRevision = mine;
    }
    for (const auto &it : groups)
        sendState(it.second, it.first);
}

void ZoneNode::sendState(const std::vector<LinkId> &links, std::int64_t haveRevision)
{
    const std::int64_t mine = m_builder.view()->revision;
    auto changes = m_log.after(haveRevision);
    if (changes && haveRevision > 0) {
        m_actions.emplace_back(SendAction{
                links, ViewDelta{haveRevision, mine, false, std::move(*changes), false}});
        return;
    }
    ViewDelta part{0, mine, true, {}, true};
    std::size_t bytes = 0;
    for (auto &it : m_builder.fullState()) {
        bytes += it.key.size() + it.value.size();
        part.updates.push_back(std::move(it));
        if (bytes < internal::partBytes)
            continue;
        m_actions.emplace_back(SendAction{links, std::move(part)});
        part = {0, mine, true, {}, true};
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
    return std::count_if(m_remotes.begin(), m_remotes.end(),
                         [](const auto &it) { return it.second.subscribed; });
}

void ZoneNode::reportSelf()
{
    m_actions.emplace_back(
            ReportAction{{m_settings.self.name, m_settings.self.incarnation, true, m_entryRevision,
                          m_builder.view()->configuration.ticket, m_drained}});
}

void ZoneNode::emit(EventKind kind, std::string subject, std::string detail)
{
    m_actions.emplace_back(EventAction{kind, std::move(subject), std::move(detail)});
}

LinkId ZoneNode::nextLink()
{
    m_lastLink += 2;
    return m_lastLink;
}

} // namespace dragonflysill
