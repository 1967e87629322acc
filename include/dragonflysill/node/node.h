#pragma once

#include "dragonflysill/jobs/loadgovernor.h"
#include "dragonflysill/net/connectionbudget.h"
#include "dragonflysill/net/httpclient.h"
#include "dragonflysill/net/httpserver.h"
#include "dragonflysill/node/connectionwatch.h"
#include "dragonflysill/node/jobservice.h"
#include "dragonflysill/node/loadmonitor.h"
#include "dragonflysill/node/nodepeers.h"
#include "dragonflysill/node/noderegistration.h"
#include "dragonflysill/node/observedstore.h"
#include "dragonflysill/node/ownership.h"
#include "dragonflysill/node/ownerstore.h"
#include "dragonflysill/node/prefixwatcher.h"
#include "dragonflysill/node/scheduleowner.h"
#include "dragonflysill/node/statefollower.h"
#include "dragonflysill/node/statereplica.h"
#include "dragonflysill/node/statuswaiters.h"
#include "dragonflysill/node/workerdelegate.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dragonflysill {

namespace platform {
class KvStore;
struct NodeSettings;
} // namespace platform

/** Counters at the time of the last line about the load, which logs their increase. */
struct LoadLogState
{
    std::uint64_t bytesStore = 0;
    std::uint64_t bytesWorkers = 0;
    std::uint64_t bytesCallers = 0;
    std::uint64_t bytesPeers = 0;
    std::uint64_t framesPeers = 0;
    std::uint64_t workerCalls = 0;
    std::uint64_t workerTimeouts = 0;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t decisions = 0;
    Duration decisionTime{0};
};

/**
 * One node: serves callers, follows the state in the store, and schedules tasks while it owns the
 * schedule. Every machine runs one node, and each node can take over from any other with the state
 * in the store.
 */
class Node
{
public:
    /** @param metricsAddress "IP:PORT" on which metrics and operator views are served; empty for
     * none */
    Node(EventLoop &loop, const platform::NodeSettings &settings, std::string metricsAddress);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /** Opens the ports and starts to follow the store; SettingsInvalid if a port is in use. */
    Result<Done> start();

    /**
     * Logs an unexpected error of an action and leaves the schedule to another node, since the
     * state of this one may be incomplete. The node goes on serving callers.
     */
    void handleError(const std::string &error);

    /**
     * Stops gracefully: reports not ready, so that the load balancer removes the node, gives up the
     * schedule, serves the open connections and then stops the event loop.
     */
    void stop();

private:
    void configurationChanged(std::int64_t revision, const std::string &bytes);
    /** Counts and logs a configuration that does not come into force, once for each revision. */
    void configurationRefused(std::int64_t revision, const std::string &error);
    /** Takes the proof of the configuration from a response of the store. */
    void operatorKeysApplied(PrefixWatcher::Response response, TimePoint sentAt);
    /** Makes the watch of the operators' keys prove the configuration as often as needed. */
    void applyAccessSettings();
    /** Logs whether keys are accepted, and polls the operators' keys again when they are not. */
    void checkAccess(TimePoint now);
    void operatorKeyChanged(const std::string &key, std::int64_t revision,
                            const std::string &bytes);
    /** Asks the unreachable store for a key and sends its watches again once it answers. */
    void probeStore();
    void replicaChanged();
    /** Follows the keys of jobs that the node's part requires. */
    void followState();
    /** Answers a request of another node. */
    void handlePeerRequest(ReceivedRequest request, const PeerServer::Respond &respond);
    /** Answers a status query as the owner of the schedule; empty if this node is not the owner. */
    void answerAsOwner(const StatusQuery &query,
                       const std::function<void(const StatusAnswer &)> &callback);
    /** Returns how the requests of callers reach the owner of the schedule. */
    OwnerRequests ownerRequests();
    /** Returns the link to the owner of the schedule; nullptr if it is this node or unknown. */
    PeerLink *ownerLink();
    /** Asks the owner of the schedule, which may be this node, for the status of a job. */
    void askStatus(const std::string &job, std::function<void(const StatusAnswer &)> callback);
    void askPending(const std::string &queue, std::function<void(std::optional<int>)> callback);
    /** Tells the owner of the schedule of a key that this node has stored. */
    void keyStored(const std::string &key, const std::string &value, std::int64_t revision);
    void ownershipGained(std::int64_t fence, std::int64_t generation);
    void ownershipLost(const std::string &reason);
    void checkStore();
    void checkLoad();
    /** Logs the limits of connections and returns the memory that these have freed. */
    void checkMemory();
    /** Records the bytes of all connections for the link budget. */
    void recordTraffic(TimePoint now);
    void logLoad(const LoadReport &load);
    void finishStop(TimePoint latest);
    [[nodiscard]] bool ready() const;
    /** Answers operators' requests for metrics and for the views of showNode(). */
    [[nodiscard]] HttpResponse handleOperatorRequest(const HttpRequest &request) const;

    EventLoop &m_loop;
    const platform::NodeSettings &m_settings;
    ConnectionBudget m_budget;
    ConnectionWatch m_connectionWatch{m_budget};
    std::size_t m_releasedBytes = 0; ///< Freed by connections and not returned to the system.
    HttpClient m_storeClient;
    HttpClient m_holdClient;
    HttpClient m_orderClient;
    HttpClient m_serviceClient;
    std::unique_ptr<platform::KvStore> m_kvStore;
    ObservedStore m_store;
    StateReplica m_replica;
    JobService m_service;
    HttpServer m_front;
    HttpServer m_readiness;
    HttpServer m_operators;
    std::string m_metricsAddress;
    NodePeers m_peers;
    StatusWaiters m_statusWaiters;
    StateFollower m_stateFollower;
    PrefixWatcher m_ownerWatcher;
    PrefixWatcher m_nodesWatcher;
    PrefixWatcher m_operatorWatcher;
    Ownership m_ownership;
    NodeRegistration m_registration;
    std::unique_ptr<OwnerStore> m_ownerStore;
    std::unique_ptr<ScheduleOwner> m_owner;
    std::map<std::int64_t, MaintenanceWave> m_waves; ///< All waves that the operators requested.
    bool m_stopping = false;
    bool m_storeReachable = false;
    bool m_wasStoreReachable = false; ///< The store has been reachable before.
    bool m_probing = false; ///< A call of probeStore() is in flight.
    TimePoint m_polledAgainAt{}; ///< When the watches were last sent again.
    TimePoint m_storeCheckedAt{};
    std::int64_t m_configurationRevision = 0; ///< Of the configuration in force.
    std::int64_t m_refusedRevision = 0; ///< Of the newest configuration that was refused.
    std::uint64_t m_configurationsRefused = 0;
    bool m_acceptsKeys = true; ///< At the last check, the proof was young enough for known keys.
    LoadMonitor m_load;
    LoadGovernor m_governor;
    LinkBudget m_linkBudget;
    WorkerDelegate m_delegate;
    LoadLogState m_loadLogged;
};

} // namespace dragonflysill
