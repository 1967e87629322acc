#pragma once

#include "dragonflysill/net/httpclient.h"
#include "dragonflysill/net/httpserver.h"
#include "dragonflysill/node/jobservice.h"
#include "dragonflysill/node/observedstore.h"
#include "dragonflysill/node/ownership.h"
#include "dragonflysill/node/prefixwatcher.h"
#include "dragonflysill/node/scheduleowner.h"
#include "dragonflysill/node/statereplica.h"

#include <map>
#include <memory>
#include <string>

namespace dragonflysill {

namespace platform {
class KvStore;
struct NodeSettings;
} // namespace platform

/**
 * One node: answers callers, follows the store, and schedules while it owns the schedule. Every
 * machine runs one, and each can take over from any other with what the store has.
 */
class Node
{
public:
    /** @param metricsAddress "IP:PORT" of the metrics; empty for none */
    Node(EventLoop &loop, const platform::NodeSettings &settings, std::string metricsAddress);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /** Opens the ports and begins to follow the store; SettingsInvalid if a port is taken. */
    Result<Done> start();

    /**
     * Stops in order: leaves the balancer's rotation, hands the schedule over, serves what is open
     * and ends the loop.
     */
    void stop();

private:
    void configurationChanged(std::int64_t revision, const std::string &bytes);
    void operatorKey(const std::string &key, std::int64_t revision, const std::string &bytes);
    void replicaChanged();
    void gained(std::int64_t fence, std::int64_t generation);
    void lost(const std::string &reason);
    void watchStore();
    void finishStop(TimePoint latest);
    [[nodiscard]] bool ready() const;
    /** Answers the operators: metrics and the views of showNode(). */
    [[nodiscard]] HttpResponse show(const HttpRequest &request) const;

    EventLoop &m_loop;
    const platform::NodeSettings &m_settings;
    HttpClient m_client;
    std::unique_ptr<platform::KvStore> m_kvStore;
    ObservedStore m_store;
    StateReplica m_replica;
    JobService m_service;
    HttpServer m_front;
    HttpServer m_readiness;
    HttpServer m_operators;
    std::string m_metricsAddress;
    PrefixWatcher m_stateWatcher;
    PrefixWatcher m_operatorWatcher;
    Ownership m_ownership;
    std::unique_ptr<ScheduleOwner> m_owner;
    std::map<std::int64_t, MaintenanceWave> m_waves; ///< All that the operators asked for.
    bool m_stopping = false;
    bool m_storeReachable = false;
    TimePoint m_storeCheckedAt{};
};

} // namespace dragonflysill
