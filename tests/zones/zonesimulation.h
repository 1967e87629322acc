#pragma once

#include "dragonflysill/standin/storeengine.h"
#include "dragonflysill/zones/zonenode.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace dragonflysill::support {

/**
 * Simulates control processes on a virtual clock: ZoneNodes that are connected by a network with
 * fixed latency and share a store engine. Processes can be killed, paused, and disconnected from
 * each other and from the store.
 */
class ZoneSimulation
{
public:
    explicit ZoneSimulation(std::uint64_t seed);

    /** Adds a member and starts it; its address is its name. */
    void start(const std::string &name, const std::string &region, const std::string &zone,
               std::vector<std::string> seeds = {});
    void kill(const std::string &name);
    void leave(const std::string &name);
    void pause(const std::string &name);
    void resume(const std::string &name);
    /** Blocks all traffic between two members, breaking open connections, or allows it again. */
    void disconnect(const std::string &a, const std::string &b);
    void reconnect(const std::string &a, const std::string &b);
    void disconnectStore(const std::string &name) { m_storeDisconnected.insert(name); }
    void reconnectStore(const std::string &name) { m_storeDisconnected.erase(name); }
    void setStoreDown(bool down) { m_storeDown = down; }

    /** Writes the latest-ticket key and one pool, as accepting a ticket does. */
    void acceptTicket(std::int64_t number);

    /** Advances the clock. */
    void run(std::chrono::milliseconds time);
    /** Runs until the condition holds; returns the elapsed time, or -1 ms at the limit. */
    std::chrono::milliseconds runUntil(const std::function<bool()> &condition,
                                       std::chrono::milliseconds limit);

    ZoneNode &node(const std::string &name) { return *m_processes.at(name).node; }
    [[nodiscard]] std::int64_t ticketOf(const std::string &name) const;
    /** Returns true if every running member has the ticket. */
    [[nodiscard]] bool allHaveTicket(std::int64_t ticket) const;
    /** Returns the number of established watches in an availability zone. */
    [[nodiscard]] int watches(const std::string &zone) const;
    [[nodiscard]] int storeReads() const { return m_storeReads; }
    [[nodiscard]] int countEvents(const std::string &text) const;

    StoreEngine &store() { return m_store; }
    [[nodiscard]] const std::string &transcript() const { return m_transcript; }
    [[nodiscard]] bool hasRegressed() const { return m_regressed; }
    void note(const std::string &text);

private:
    struct Process
    {
        std::unique_ptr<ZoneNode> node;
        Member member;
        bool paused = false;
        std::vector<std::function<void()>> deferredInputs; ///< Inputs that arrived during a pause.
        LeaseId lease = 0;
        TimePoint nextRenewal;
        bool watchWanted = false;
        bool watchOpen = false;
        std::int64_t watchedRevision = 0;
        std::int64_t lastRevision = 0;
        std::int64_t lastTicket = 0;
    };
    using End = std::pair<std::string, LinkId>;

    void schedule(Duration delay, std::function<void()> function);
    void deliver(const std::string &name, std::function<void(ZoneNode &)> function);
    void execute(const std::string &name);
    void run(const std::string &name, const ConnectAction &action);
    void run(const std::string &name, const CloseAction &action);
    void run(const std::string &name, const SendAction &action);
    void run(const std::string &name, const WatchAction &action);
    void run(const std::string &name, const ReadStoreAction &action);
    void run(const std::string &name, const InstallAction &action);
    void run(const std::string &name, const EventAction &action);
    template <typename T>
    void run(const std::string & /*name*/, const T & /*action*/)
    {
    }
    void breakConnections(const std::function<bool(const End &, const End &)> &selected);
    void tickProcess(const std::string &name, Process &process);
    void registerProcess(const std::string &name, Process &process);
    void renewRegistration(const std::string &name, Process &process);
    void updateWatch(const std::string &name, Process &process);
    void readFull(const std::string &name, Process &process);
    [[nodiscard]] bool reachesStore(const std::string &name) const;
    [[nodiscard]] bool isBlocked(const std::string &a, const std::string &b) const;

    struct ScheduledCall
    {
        TimePoint time;
        std::uint64_t order;
        std::function<void()> function;
        bool operator<(const ScheduledCall &other) const
        {
            return std::pair(time, order) > std::pair(other.time, other.order);
        }
    };

    std::uint64_t m_seed;
    TimePoint m_now{std::chrono::seconds(1)};
    std::uint64_t m_order = 0;
    std::priority_queue<ScheduledCall> m_queue;
    std::map<std::string, Process> m_processes;
    std::map<End, End> m_links;
    LinkId m_nextAcceptedLink = 2;
    std::set<std::pair<std::string, std::string>> m_disconnected;
    std::set<std::string> m_storeDisconnected;
    bool m_storeDown = false;
    StoreEngine m_store;
    int m_storeReads = 0;
    bool m_regressed = false;
    std::int64_t m_incarnation = 0;
    std::string m_transcript;
};

} // namespace dragonflysill::support
