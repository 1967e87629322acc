#include "zonesimulation.h"

#include "dragonflysill/base/storekeys.h"

#include <algorithm>
#include <cstdio>

namespace dragonflysill::support {

namespace {

constexpr std::chrono::milliseconds latency{1};
constexpr std::chrono::milliseconds tick{50};
constexpr std::chrono::milliseconds connectLimit{500};
constexpr std::int64_t leaseSeconds = 5;
constexpr std::chrono::milliseconds renewInterval{1667};

} // namespace

ZoneSimulation::ZoneSimulation(std::uint64_t seed)
    : m_seed(seed)
{
}

void ZoneSimulation::start(const std::string &name, const std::string &region,
                           const std::string &zone, std::vector<std::string> seeds)
{
    Host &host = m_hosts[name];
    host = {};
    host.member = {name, region, zone, name, {}, {}, {}, ++m_incarnation};
    ZoneSettings settings;
    settings.self = host.member;
    settings.seeds = std::move(seeds);
    settings.seed = ++m_seed;
    host.node = std::make_unique<ZoneNode>(settings);
    note("start " + name);
    input(name, [this](ZoneNode &node) { node.start(m_now); });
}

void ZoneSimulation::kill(const std::string &name)
{
    note("kill " + name);
    m_hosts.erase(name);
    breakAll([&](const End &a, const End &b) { return a.first == name || b.first == name; });
}

void ZoneSimulation::leave(const std::string &name)
{
    input(name, [](ZoneNode &node) { node.leave(); });
    if (reaches(name))
        m_store.revokeLease(m_hosts.at(name).lease);
    run(std::chrono::milliseconds(latency * 2));
    kill(name);
}

void ZoneSimulation::pause(const std::string &name)
{
    note("pause " + name);
    m_hosts.at(name).paused = true;
}

void ZoneSimulation::resume(const std::string &name)
{
    note("resume " + name);
    Host &host = m_hosts.at(name);
    host.paused = false;
    input(name, [this](ZoneNode &node) { node.tick(m_now); });
    for (const auto &it : std::exchange(host.waiting, {}))
        it();
}

void ZoneSimulation::cut(const std::string &a, const std::string &b)
{
    m_cuts.insert(std::minmax(a, b));
    breakAll([&](const End &x, const End &y) { return blocked(x.first, y.first); });
}

void ZoneSimulation::heal(const std::string &a, const std::string &b)
{
    m_cuts.erase(std::minmax(a, b));
}

void ZoneSimulation::acceptTicket(std::int64_t number)
{
    const std::string text = std::to_string(number);
    const auto result = m_store.commit(
            {{},
             {PutOperation{std::string(storekeys::latestTicket),
                           R"({"number":)" + text + R"(,"id":"t)" + text + "\"}", 0},
              PutOperation{storekeys::join(storekeys::pools, "p" + text),
                           R"({"name":"p)" + text + R"(","ticket":)" + text + "}", 0}},
             {}});
    note("ticket " + text + " at revision " + std::to_string(result->revision));
}

void ZoneSimulation::run(std::chrono::milliseconds time)
{
    const TimePoint end = m_now + time;
    for (;;) {
        const TimePoint nextTick = (m_now - TimePoint{}) / tick * tick + TimePoint{} + tick;
        const bool isEvent = !m_queue.empty() && m_queue.top().time < nextTick;
        const TimePoint next = isEvent ? m_queue.top().time : nextTick;
        if (next > end)
            break;
        m_now = std::max(m_now, next);
        if (isEvent) {
            const auto function = m_queue.top().function;
            m_queue.pop();
            function();
            continue;
        }
        m_store.expireLeases(m_now);
        for (auto &[name, host] : m_hosts) {
            if (!host.paused)
                tickHost(name, host);
        }
    }
    m_now = end;
}

std::chrono::milliseconds ZoneSimulation::runUntil(const std::function<bool()> &condition,
                                                   std::chrono::milliseconds limit)
{
    constexpr std::chrono::milliseconds step{5};
    std::chrono::milliseconds passed{0};
    while (!condition()) {
        if (passed >= limit)
            return std::chrono::milliseconds(-1);
        run(step);
        passed += step;
    }
    return passed;
}

std::int64_t ZoneSimulation::ticketOf(const std::string &name) const
{
    return m_hosts.at(name).node->builder().view()->configuration.ticket;
}

bool ZoneSimulation::everywhere(std::int64_t ticket) const
{
    return std::all_of(m_hosts.begin(), m_hosts.end(), [&](const auto &it) {
        return it.second.paused || ticketOf(it.first) >= ticket;
    });
}

int ZoneSimulation::watches(const std::string &zone) const
{
    return static_cast<int>(std::count_if(m_hosts.begin(), m_hosts.end(), [&](const auto &it) {
        return !it.second.paused && it.second.watchOpen && it.second.member.zone == zone;
    }));
}

int ZoneSimulation::countEvents(const std::string &text) const
{
    int count = 0;
    for (auto at = m_transcript.find(text); at != std::string::npos;
         at = m_transcript.find(text, at + 1))
        ++count;
    return count;
}

void ZoneSimulation::note(const std::string &text)
{
    char time[32];
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(m_now - TimePoint{});
    std::snprintf(time, sizeof(time), "%9.3f  ", static_cast<double>(ms.count()) / 1000);
    m_transcript += time + text + "\n";
}

void ZoneSimulation::at(Duration delay, std::function<void()> function)
{
    m_queue.push({m_now + delay, ++m_order, std::move(function)});
}

void ZoneSimulation::input(const std::string &name, std::function<void(ZoneNode &)> function)
{
    const auto it = m_hosts.find(name);
    if (it == m_hosts.end())
        return;
    if (it->second.paused) {
        it->second.waiting.push_back([this, name, function] { input(name, function); });
        return;
    }
    function(*it->second.node);
    execute(name);
}

void ZoneSimulation::execute(const std::string &name)
{
    for (const auto &it : node(name).takeActions())
        std::visit([&](const auto &action) { run(name, action); }, it);
}

void ZoneSimulation::run(const std::string &name, const ConnectAction &action)
{
    const End local{name, action.link};
    const std::string address = action.address;
    if (blocked(name, address)) {
        at(connectLimit, [this, local] {
            input(local.first, [this, local](ZoneNode &it) { it.linkClosed(local.second, m_now); });
        });
        return;
    }
    at(latency, [this, local, address] {
        if (m_hosts.count(address) == 0 || blocked(local.first, address)) {
            input(local.first, [this, local](ZoneNode &it) { it.linkClosed(local.second, m_now); });
            return;
        }
        const End remote{address, m_nextAccepted};
        m_nextAccepted += 2;
        m_links[local] = remote;
        m_links[remote] = local;
        input(remote.first, [this, remote](ZoneNode &it) { it.linkOpened(remote.second, m_now); });
        input(local.first, [this, local](ZoneNode &it) { it.linkOpened(local.second, m_now); });
    });
}

void ZoneSimulation::run(const std::string &name, const CloseAction &action)
{
    const auto it = m_links.find({name, action.link});
    if (it == m_links.end())
        return;
    const End remote = it->second;
    m_links.erase(it);
    m_links.erase(remote);
    at(latency, [this, remote] {
        input(remote.first,
              [this, remote](ZoneNode &node) { node.linkClosed(remote.second, m_now); });
    });
}

void ZoneSimulation::run(const std::string &name, const SendAction &action)
{
    for (const LinkId link : action.links) {
        const auto it = m_links.find({name, link});
        if (it == m_links.end())
            continue;
        const End remote = it->second;
        at(latency, [this, remote, message = action.message] {
            if (m_links.count(remote) == 0)
                return;
            input(remote.first, [this, remote, message](ZoneNode &node) {
                node.received(remote.second, message, m_now);
            });
        });
    }
}

void ZoneSimulation::run(const std::string &name, const WatchAction &action)
{
    Host &host = m_hosts.at(name);
    host.watchWanted = action.on;
    host.watchOpen = false;
}

void ZoneSimulation::run(const std::string &name, const ReadStoreAction & /*action*/)
{
    if (!reaches(name))
        return;
    note(name + " reads the store as last resort");
    readFull(name, m_hosts.at(name));
}

void ZoneSimulation::run(const std::string &name, const InstallAction &action)
{
    Host &host = m_hosts.at(name);
    const std::int64_t ticket = action.view->configuration.ticket;
    m_wentBack
            = m_wentBack || action.view->revision <= host.lastRevision || ticket < host.lastTicket;
    host.lastRevision = action.view->revision;
    host.lastTicket = ticket;
}

void ZoneSimulation::run(const std::string &name, const EventAction &action)
{
    note(name + " " + std::string(toText(action.kind)) + " " + action.subject
         + (action.detail.empty() ? "" : " " + action.detail));
}

void ZoneSimulation::breakAll(const std::function<bool(const End &, const End &)> &selected)
{
    std::vector<End> broken;
    for (const auto &it : m_links) {
        if (selected(it.first, it.second))
            broken.push_back(it.first);
    }
    for (const auto &it : broken)
        m_links.erase(it);
    for (const auto &end : broken) {
        at(latency, [this, end] {
            input(end.first, [this, end](ZoneNode &node) { node.linkClosed(end.second, m_now); });
        });
    }
}

bool ZoneSimulation::reaches(const std::string &name) const
{
    return !m_storeDown && m_storeCut.count(name) == 0;
}

bool ZoneSimulation::blocked(const std::string &a, const std::string &b) const
{
    return m_cuts.count(std::minmax(a, b)) != 0;
}

void ZoneSimulation::tickHost(const std::string &name, Host &host)
{
    if (m_now >= host.nextRenewal) {
        host.nextRenewal = m_now + renewInterval;
        renewHost(name, host);
    }
    watchHost(name, host);
    input(name, [this](ZoneNode &node) { node.tick(m_now); });
}

void ZoneSimulation::renewHost(const std::string &name, Host &host)
{
    if (!reaches(name)) {
        input(name, [this](ZoneNode &node) { node.storeAnswered(false, m_now); });
        return;
    }
    if (host.lease == 0 || !m_store.renewLease(host.lease, m_now))
        registerHost(name, host);
    else
        input(name, [this](ZoneNode &node) { node.storeAnswered(true, m_now); });
}

void ZoneSimulation::registerHost(const std::string &name, Host &host)
{
    host.member.incarnation = ++m_incarnation;
    host.lease = m_store.grantLease(leaseSeconds, m_now)->id;
    const std::string key = storekeys::join(storekeys::members, name);
    m_store.commit({{}, {DeleteOperation{key, {}}}, {}});
    const auto written
            = m_store.commit({{}, {PutOperation{key, encodeMember(host.member), host.lease}}, {}});
    const auto range = m_store.range(
            {std::string(storekeys::members), storekeys::rangeEnd(storekeys::members)});
    std::vector<Member> members;
    for (const auto &it : range.keyValues)
        members.push_back(*decodeMember(it.value));
    input(name, [&](ZoneNode &node) {
        node.registered(host.member.incarnation, written->revision, members, m_now);
    });
}

void ZoneSimulation::watchHost(const std::string &name, Host &host)
{
    if (!host.watchWanted || !reaches(name)) {
        if (std::exchange(host.watchOpen, false) || host.watchWanted) {
            input(name, [this](ZoneNode &node) {
                node.watchChanged(false);
                if (node.watchWanted())
                    node.storeAnswered(false, m_now);
            });
        }
        return;
    }
    const std::int64_t mine = host.node->builder().view()->revision;
    if (!host.watchOpen) {
        if (m_store.revision() < std::max(mine, host.watchedTo)) {
            input(name, [](ZoneNode &node) { node.storeRegressed("revision went back"); });
            return;
        }
        readFull(name, host);
        host.watchOpen = true;
        input(name, [this](ZoneNode &node) {
            node.watchChanged(true);
            node.storeAnswered(true, m_now);
        });
        return;
    }
    const auto batch
            = m_store.changes({std::string(storekeys::entries), std::string(storekeys::poolOwners)},
                              host.watchedTo + 1);
    if (!batch || m_store.revision() < host.watchedTo) {
        host.watchOpen = false;
        return;
    }
    host.watchedTo = batch->revision;
    if (!batch->updates.empty()) {
        input(name, [&](ZoneNode &node) {
            node.storeState(batch->updates, batch->revision, false, m_now);
        });
    }
}

void ZoneSimulation::readFull(const std::string &name, Host &host)
{
    ++m_storeReads;
    const auto range
            = m_store.range({std::string(storekeys::entries), std::string(storekeys::poolOwners)});
    std::vector<KeyUpdate> updates;
    for (const auto &it : range.keyValues)
        updates.push_back({it.key, it.value, it.modRevision, false});
    host.watchedTo = range.revision;
    input(name, [&](ZoneNode &node) { node.storeState(updates, range.revision, true, m_now); });
}

} // namespace dragonflysill::support
