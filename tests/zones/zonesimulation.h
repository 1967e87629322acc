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
 * Control processes on a fake clock: ZoneNodes joined by a network with fixed latency and a store
 * engine. Nodes can be killed, paused, cut off from each other and from the store.
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
    /** Blocks or restores all traffic between two members; open connections break. */
    void cut(const std::string &a, const std::string &b);
    void heal(const std::string &a, const std::string &b);
    void cutStore(const std::string &name) { m_storeCut.insert(name); }
    void healStore(const std::string &name) { m_storeCut.erase(name); }
    void setStoreDown(bool down) { m_storeDown = down; }

    /** Writes head and one pool as the ticket with the number does. */
    void acceptTicket(std::int64_t number);

    /** Advances the clock. */
    void run(std::chrono::milliseconds time);
    /** Advances until the condition holds; returns the time that passed, or -1 ms after a limit. */
    std::chrono::milliseconds runUntil(const std::function<bool()> &condition,
                                       std::chrono::milliseconds limit);

    ZoneNode &node(const std::string &name) { return *m_hosts.at(name).node; }
    [[nodiscard]] std::int64_t ticketOf(const std::string &name) const;
    /** Returns true if every running member has the ticket. */
    [[nodiscard]] bool everywhere(std::int64_t ticket) const;
    /** Returns the established watches of an availability zone. */
    [[nodiscard]] int watches(const std::string &zone) const;
    [[nodiscard]] int storeReads() const { return m_storeReads; }
    [[nodiscard]] int countEvents(const std::string &text) const;

    StoreEngine &store() { return m_store; }
    [[nodiscard]] const std::string &transcript() const { return m_transcript; }
    [[nodiscard]] bool wentBack() const { return m_wentBack; }
    void note(const std::string &text);

private:
    struct Host
    {
        std::unique_ptr<ZoneNode> node;
        Member member;
        bool paused = false;
        std::vector<std::function<void()>> waiting; ///< Inputs that arrive during a pause.
        LeaseId lease = 0;
        TimePoint nextRenewal;
        bool watchWanted = false;
        bool watchOpen = false;
        std::int64_t watchedTo = 0;
        std::int64_t lastRevision = 0;
        std::int64_t lastTicket = 0;
    };
    using End = std::pair<std::string, LinkId>;

    void at(Duration delay, std::function<void()> function);
    void input(const std::string &name, std::function<void(ZoneNode &)> function);
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
    void breakAll(const std::function<bool(const End &, const End &)> &selected);
    void tickHost(const std::string &name, Host &host);
    void registerHost(const std::string &name, Host &host);
    void renewHost(const std::string &name, Host &host);
    void watchHost(const std::string &name, Host &host);
    void readFull(const std::string &name, Host &host);
    [[nodiscard]] bool reaches(const std::string &name) const;
    [[nodiscard]] bool blocked(const std::string &a, const std::string &b) const;

    struct Timed
    {
        TimePoint time;
        std::uint64_t order;
        std::function<void()> function;
        bool operator<(const Timed &other) const
        {
            return std::pair(time, order) > std::pair(other.time, other.order);
        }
    };

    std::uint64_t m_seed;
    TimePoint m_now{std::chrono::seconds(1)};
    std::uint64_t m_order = 0;
    std::priority_queue<Timed> m_queue;
    std::map<std::string, Host> m_hosts;
    std::map<End, End> m_links;
    LinkId m_nextAccepted = 2;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::set<std::string> m_storeCut;
    bool m_storeDown = false;
    StoreEngine m_store;
    int m_storeReads = 0;
    bool m_wentBack = false;
    std::int64_t m_incarnation = 0;
    std::string m_transcript;
};

} // namespace dragonflysill::support
