#include "dragonflysill/node/node.h"

#include "dragonflysill/base/hash.h"
#include "dragonflysill/base/processmemory.h"
#include "dragonflysill/node/nodekeys.h"
#include "dragonflysill/node/nodemetrics.h"
#include "dragonflysill/node/nodeviews.h"
#include "dragonflysill/telemetry/log.h"
#include "ingress.h"
#include "jobformat.h"
#include "kvstore.h"
#include "machineformat.h"
#include "names.h"
#include "nodesettings.h"

#include <sys/resource.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** Length of the owner's lease: the longest time without scheduling after the owner crashes. */
constexpr Milliseconds ownerLeaseLength = 1500ms;
/** Pause between two polls for changes of jobs on the owner; changes accumulate during it. */
constexpr Duration ownerWatchPause = 20ms;
/** The same pause on nodes that stand by. */
constexpr Duration standbyWatchPause = 200ms;
/** Longest polls for the owner of the schedule, the registered nodes and the operators' keys. */
constexpr Milliseconds ownerWatchWait = 2000ms;
constexpr Milliseconds nodesWatchWait = 5000ms;
constexpr Milliseconds operatorWatchWait = 1000ms;
/** Pause between two polls for the registered nodes, which change together when many restart. */
constexpr Duration nodesWatchPause = 100ms;
/** Time without a response to a watch after which the store counts as unreachable. */
constexpr Duration watchTimeout = 2300ms;
/**
 * Time without a served call after which the store counts as unreachable; enough for two lost
 * responses.
 */
constexpr Duration unservedCallTimeout = 800ms;
/** Minimum timeout of store calls; a slow store takes up to 240 ms. */
constexpr Duration minCallTimeout = 350ms;
/** Maximum timeout of store calls. */
constexpr Duration maxCallTimeout = 1000ms;
/** Interval between two checks whether the store is reachable. */
constexpr Duration storeCheckInterval = 100ms;
/** Maximum number of orders in flight to a worker, with those that are sent again. */
constexpr std::size_t ordersPerWorker = 8;
/** Maximum number of holds in flight to a worker: one, and its copies. */
constexpr std::size_t holdsPerWorker = 3;
/** Bytes read at once from a worker; enough for the reports of most workers. */
constexpr std::size_t workerReadBytes = 4096;
/** Interval between two checks whether connections have freed memory. */
constexpr Duration memoryCheckInterval = 1000ms;
/** Freed memory that is worth the milliseconds that its return takes. */
constexpr std::size_t notableReleasedBytes = std::size_t{4} << 20U;
/** Largest response of a worker; a report takes less than 100 bytes for each run. */
constexpr std::uint64_t maxReportBytes = 1U << 20U;
/** Bytes read at once from a service; hundreds of orders to instances may be under way. */
constexpr std::size_t serviceReadBytes = 16384;
/** Largest response of the machine and the admission service; a machine takes some 100 bytes. */
constexpr std::uint64_t maxServiceBytes = 4U << 20U;
/** Limits of a machine whose settings do not name them: those of the smallest documented one. */
constexpr std::int64_t defaultMemoryMb = 160;
constexpr std::int64_t defaultDescriptors = 4100;
/**
 * Time for which a request for the status of a job waits if the job may end shortly. Callers ask
 * again after some time, so an end that they miss by milliseconds costs them that time.
 */
constexpr Milliseconds statusWait = 150ms;
/** Time for the owner's answer to a status query after that wait. */
constexpr Duration ownerAnswerTimeout = 300ms;
/** Interval between two measurements of the event loop's delay. */
constexpr Duration loadCheckInterval = 50ms;
/** Interval between two log lines about the load of the node. */
constexpr Duration loadReportInterval = 1000ms;
/** A node that does not own the schedule logs its load only if its event loop was this late. */
constexpr Duration notableLoopDelay = 100ms;
/** Minimum interval between two times that watches are sent again; enough for a slow link. */
constexpr Duration minPollAgainInterval = 2000ms;
/**
 * A check that comes later than this after the previous one means that the process was paused, so
 * that unserved calls say nothing about the store.
 */
constexpr Duration maxCheckDelay = 300ms;
/**
 * Time that the load balancer needs to remove a node that is not ready: two checks one second
 * apart.
 */
constexpr Duration balancerRemovalTime = 2200ms;
/** Part of the grace period that is left unused, so that the process exits before it is killed. */
constexpr Duration stopMargin = 1500ms;

ProcessLimits processLimits(const platform::NodeSettings &settings)
{
    const auto memoryMb = settings.memoryMb > 0 ? settings.memoryMb : defaultMemoryMb;
    auto descriptors = static_cast<std::size_t>(
            settings.maxDescriptors > 0 ? settings.maxDescriptors : defaultDescriptors);
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0)
        descriptors = std::min<std::size_t>(descriptors, limit.rlim_cur);
    return {static_cast<std::size_t>(memoryMb) << 20U, descriptors};
}

std::uint64_t randomSeed(const platform::NodeSettings &settings)
{
    return stableHash(settings.name)
           ^ static_cast<std::uint64_t>(EventLoop::now().time_since_epoch().count());
}

/** Longest time of the settings that is used, which keeps sums of times within their type. */
constexpr Milliseconds maxAccessTime = std::chrono::hours(24);

AccessSettings accessSettings(const platform::NodeSettings &settings)
{
    return {settings.strictRevocation, std::min(settings.revocationTime, maxAccessTime),
            std::min(settings.configurationTime, maxAccessTime)};
}

} // namespace internal

Node::Node(EventLoop &loop, const platform::NodeSettings &settings, std::string metricsAddress)
    : m_loop(loop)
    , m_settings(settings)
    , m_budget(internal::processLimits(settings))
    , m_storeClient(loop, {.share = m_budget.store()})
    , m_holdClient(loop, {.callsPerAddress = internal::holdsPerWorker,
                          .readBytes = internal::workerReadBytes,
                          .responseBytes = internal::maxReportBytes,
                          .share = m_budget.workers()})
    , m_orderClient(loop, {.callsPerAddress = internal::ordersPerWorker,
                           .readBytes = internal::workerReadBytes,
                           .responseBytes = internal::maxReportBytes,
                           .share = m_budget.workers()})
    , m_serviceClient(loop, {.readBytes = internal::serviceReadBytes,
                             .responseBytes = internal::maxServiceBytes,
                             .share = m_budget.services()})
    , m_kvStore(std::make_unique<platform::KvStore>(m_storeClient, settings.storeAddress,
                                                    settings.linkBytesPerSecond))
    , m_store(loop, *m_kvStore, StoreReachability(internal::unservedCallTimeout),
              AdaptiveTimeout(internal::minCallTimeout, internal::maxCallTimeout))
    , m_service(loop, m_store, m_replica, internal::randomSeed(settings))
    , m_front(loop,
              [this](const HttpRequest &request, HttpServer::Respond respond) {
                  m_service.handle(request, std::move(respond));
              })
    , m_readiness(loop,
                  [this](const HttpRequest &request, const HttpServer::Respond &respond) {
                      if (!platform::isReadyRequest(request))
                          respond({404, {}, {}});
                      else
                          respond({ready() ? 200 : 503, {}, {}});
                  })
    , m_operators(loop,
                  [this](const HttpRequest &request, const HttpServer::Respond &respond) {
                      respond(handleOperatorRequest(request));
                  })
    , m_metricsAddress(std::move(metricsAddress))
    , m_peers(loop,
              [this](ReceivedRequest request, const PeerServer::Respond &respond) {
                  handlePeerRequest(std::move(request), respond);
              })
    , m_statusWaiters(loop, [this](const std::string &job) { return m_replica.status(job); })
    , m_stateFollower(loop, m_store, m_replica, [this] { replicaChanged(); })
    , m_ownerWatcher(loop, m_store, std::string(nodekeys::owner),
                     {Duration{0}, internal::ownerWatchWait},
                     m_stateFollower.handlers(nodekeys::owner))
    , m_nodesWatcher(loop, m_store, std::string(nodekeys::nodes),
                     {internal::nodesWatchPause, internal::nodesWatchWait},
                     m_stateFollower.handlers(nodekeys::nodes))
    , m_operatorWatcher(loop, m_store, platform::prefixOperator,
                        {Duration{0}, internal::operatorWatchWait},
                        {[this](std::span<const KeyValue> items, std::int64_t) {
                             for (const auto &it : items)
                                 operatorKeyChanged(it.key, it.modRevision, it.value);
                         },
                         [this](std::span<const KeyUpdate> updates, std::int64_t) {
                             for (const auto &it : updates) {
                                 if (!it.deleted)
                                     operatorKeyChanged(it.key, it.revision, it.value);
                                 else if (it.key == platform::keyConfiguration)
                                     configurationRefused(it.revision, "it was deleted");
                             }
                         },
                         [this](PrefixWatcher::Response response, TimePoint sentAt) {
                             operatorKeysApplied(response, sentAt);
                         }})
    , m_ownership(loop, m_store, m_replica, {settings.name, settings.milliCores},
                  std::max(internal::ownerLeaseLength, settings.minLease),
                  {[this](std::int64_t fence, std::int64_t generation) {
                       ownershipGained(fence, generation);
                   },
                   [this](const std::string &reason) { ownershipLost(reason); }})
    , m_registration(loop, m_store, registrationOf(settings))
    , m_load(internal::loadCheckInterval, internal::loadReportInterval)
    , m_linkBudget(settings.linkBytesPerSecond)
    , m_delegate(loop, m_holdClient, m_orderClient, m_governor)
{
    m_front.setShare(m_budget.callers());
    m_readiness.setShare(m_budget.readiness());
    m_operators.setShare(m_budget.operators());
    m_peers.setShare(m_budget.peers());
    m_replica.setListener([this](const std::string &id, const ReplicatedJob &job) {
        if (m_owner)
            m_owner->jobChanged(id, job);
        m_statusWaiters.jobChanged(id);
    });
    m_service.setOwnerRequests(ownerRequests());
}

Node::~Node() = default;

Result<Done> Node::start()
{
    if (auto opened = m_front.listen(m_settings.frontAddress); !opened)
        return opened;
    if (auto opened = m_readiness.listen(m_settings.readyAddress); !opened)
        return opened;
    if (!m_metricsAddress.empty()) {
        if (auto opened = m_operators.listen(m_metricsAddress); !opened)
            return opened;
    }
    if (const auto address = peerAddress(m_settings); !address.empty()) {
        if (auto opened = m_peers.listen(address); !opened)
            return opened;
    }
    m_ownerWatcher.start();
    m_nodesWatcher.start();
    m_operatorWatcher.start();
    m_ownership.start();
    m_registration.start();
    checkStore();
    checkLoad();
    checkMemory();
    return Done();
}

void Node::checkStore()
{
    m_loop.after(internal::storeCheckInterval, [this] { checkStore(); });
    const auto lastWatchResponse
            = std::max(m_ownerWatcher.lastResponseAt(), m_operatorWatcher.lastResponseAt());
    const auto now = EventLoop::now();
    const bool paused = now - std::exchange(m_storeCheckedAt, now) > internal::maxCheckDelay;
    const bool reachable = now - lastWatchResponse < internal::watchTimeout
                           && !(m_store.reachability().unreachable(now) && !paused);
    if (reachable != m_storeReachable) {
        m_storeReachable = reachable;
        m_wasStoreReachable = true;
        m_service.setStoreReachable(reachable);
        if (reachable)
            logInfo("store-reached");
        else
            logWarning("store-lost");
    }
    // During the start there is no watch yet that could hang.
    if (!reachable && m_wasStoreReachable)
        probeStore();
    checkAccess(now);
}

void Node::applyAccessSettings()
{
    auto &access = m_service.access();
    access.setSettings(internal::accessSettings(m_settings)); // They can be read again.
    m_operatorWatcher.setAdvanceOnChangesOnly(access.needsProof());
    m_operatorWatcher.setWait(access.needsProof() ? ConfigurationProof::pollWait(access.settings())
                                                  : internal::operatorWatchWait);
}

void Node::checkAccess(TimePoint now)
{
    applyAccessSettings();
    const bool accepts = m_service.access().acceptsKeys(now);
    if (accepts == std::exchange(m_acceptsKeys, accepts))
        return;
    if (accepts) {
        logInfo("configuration-proven");
        return;
    }
    logWarning("configuration-unproven");
    // After a pause of the process, the poll that was sent before it proves too little.
    if (m_storeReachable)
        m_operatorWatcher.pollAgain();
}

void Node::operatorKeysApplied(PrefixWatcher::Response response, TimePoint sentAt)
{
    auto &proof = m_service.access().proof();
    if (response == PrefixWatcher::Response::List)
        proof.listAnswered(sentAt);
    else
        proof.pollAnswered(sentAt);
}

void Node::probeStore()
{
    if (m_probing || EventLoop::now() - m_polledAgainAt < internal::minPollAgainInterval)
        return;
    m_probing = true;
    m_store.get(std::string(nodekeys::owner), [this](const Result<KeyValue> &owner) {
        m_probing = false;
        if (m_storeReachable || (!owner && !owner.error().is(ErrorKind::NotFound)))
            return;
        m_polledAgainAt = EventLoop::now();
        m_ownerWatcher.pollAgain();
        m_operatorWatcher.pollAgain();
    });
}

void Node::checkLoad()
{
    m_loop.after(internal::loadCheckInterval, [this] { checkLoad(); });
    const auto now = EventLoop::now();
    if (const auto load = m_load.timerRan(now, EventLoop::processorTime()))
        logLoad(*load);
    m_governor.recordLoopDelay(m_load.lastDelay(), now);
    recordTraffic(now);
    if (m_owner)
        m_stateFollower.setPause(
                m_governor.stretched(internal::ownerWatchPause, internal::standbyWatchPause));
}

void Node::checkMemory()
{
    m_loop.after(internal::memoryCheckInterval, [this] { checkMemory(); });
    m_connectionWatch.check(EventLoop::now());
    m_releasedBytes += m_budget.takeReleasedBytes();
    if (m_releasedBytes >= internal::notableReleasedBytes) {
        m_releasedBytes = 0;
        returnFreeMemory();
    }
}

void Node::recordTraffic(TimePoint now)
{
    const auto peers = m_peers.traffic();
    auto sent = peers.bytesSent;
    auto received = peers.bytesReceived;
    for (const auto *it :
         {&m_storeClient.traffic(), &m_holdClient.traffic(), &m_orderClient.traffic(),
          &m_serviceClient.traffic(), &m_front.traffic()}) {
        sent += it->bytesSent;
        received += it->bytesReceived;
    }
    m_linkBudget.record(sent, received, now);
}

void Node::logLoad(const LoadReport &load)
{
    const auto &holds = m_holdClient.traffic();
    const auto &orders = m_orderClient.traffic();
    const auto bytes = [](const HttpTraffic &it) { return it.bytesSent + it.bytesReceived; };
    const auto bytesStore = bytes(m_storeClient.traffic());
    const auto bytesCallers = bytes(m_front.traffic());
    const auto peers = m_peers.traffic();
    const auto delta
            = [](auto &logged, auto value) { return value - std::exchange(logged, value); };
    const auto perSecond = [&](auto &logged, auto value) {
        return std::to_string(static_cast<std::int64_t>(static_cast<double>(delta(logged, value))
                                                        / toSeconds(load.period)));
    };
    const auto text = [](Duration it) { return std::to_string(it / std::chrono::milliseconds(1)); };
    auto &logged = m_loadLogged;
    std::vector<LogField> fields{
            {"cpu_percent", std::to_string(static_cast<int>(100 * toSeconds(load.processorTime)
                                                            / toSeconds(load.period)))},
            {"loop_delay_max_ms", text(load.maxLoopDelay)},
            {"store_bytes_s", perSecond(logged.bytesStore, bytesStore)},
            {"worker_bytes_s", perSecond(logged.bytesWorkers, bytes(holds) + bytes(orders))},
            {"caller_bytes_s", perSecond(logged.bytesCallers, bytesCallers)},
            {"peer_bytes_s", perSecond(logged.bytesPeers, peers.bytesSent + peers.bytesReceived)},
            {"peer_frames_s", perSecond(logged.framesPeers, peers.framesSent)},
            {"worker_calls_s", perSecond(logged.workerCalls, holds.calls + orders.calls)},
            {"worker_timeouts",
             std::to_string(delta(logged.workerTimeouts, holds.timeouts + orders.timeouts))},
            {"worker_connections_opened",
             std::to_string(delta(logged.connectionsOpened,
                                  holds.connectionsOpened + orders.connectionsOpened))}};
    if (!m_owner) {
        if (load.maxLoopDelay >= internal::notableLoopDelay)
            logInfo("node-load", fields);
        return;
    }
    const auto &decisions = m_owner->decisionCounts();
    fields.emplace_back("decisions_s", perSecond(logged.decisions, decisions.decisions));
    fields.emplace_back("decision_ms", text(delta(logged.decisionTime, decisions.time)));
    fields.emplace_back("stretch", std::to_string(m_governor.stretch()));
    fields.emplace_back("hold_delay_max_ms", text(m_owner->takeMaxHoldDelay()));
    logInfo("node-load", fields);
}

bool Node::ready() const
{
    return !m_stopping && m_storeReachable && m_replica.loaded() && m_service.configuration();
}

HttpResponse Node::handleOperatorRequest(const HttpRequest &request) const
{
    if (request.method != "GET" || request.target != "/metrics")
        return showNode({m_settings.name, m_settings.zone, ready(), m_storeReachable, m_service,
                         m_replica, m_owner.get(), EventLoop::now()},
                        request);
    const auto &configuration = m_service.configuration();
    return {200,
            renderMetrics({m_service.counts(),
                           m_service.submissionLatency(),
                           m_owner.get(),
                           ready(),
                           m_storeReachable,
                           configuration ? configuration->version : 0,
                           m_configurationsRefused,
                           m_refusedRevision > m_configurationRevision ? m_refusedRevision : 0,
                           configuration && configuration->usesTeams
                                   ? m_service.access().proof().age(EventLoop::now())
                                   : std::nullopt,
                           m_kvStore->calls(),
                           m_front.connections(),
                           m_replica.jobs().size(),
                           m_load,
                           {{"store", m_storeClient.traffic()},
                            {"holds", m_holdClient.traffic()},
                            {"orders", m_orderClient.traffic()},
                            {"services", m_serviceClient.traffic()},
                            {"callers", m_front.traffic()}},
                           m_budget}),
            {}};
}

void Node::operatorKeyChanged(const std::string &key, std::int64_t revision,
                              const std::string &bytes)
{
    if (key == platform::keyConfiguration) {
        configurationChanged(revision, bytes);
        return;
    }
    if (!key.starts_with(platform::prefixWaves))
        return;
    const auto wave = platform::decodeWave(bytes);
    if (!wave) {
        logWarning("wave-unusable", {{"key", key}, {"error", wave.error().text()}});
        return;
    }
    if (!m_waves.emplace(wave->number, *wave).second)
        return;
    logInfo("wave-requested", {{"wave", std::to_string(wave->number)},
                               {"instances", std::to_string(wave->instances.size())},
                               {"ceiling", std::to_string(wave->maxInstancesDown)}});
    if (m_owner)
        m_owner->addWave(*wave);
}

void Node::configurationRefused(std::int64_t revision, const std::string &error)
{
    if (revision <= std::max(m_configurationRevision, m_refusedRevision))
        return;
    m_refusedRevision = revision;
    ++m_configurationsRefused;
    logWarning("configuration-unusable",
               {{"revision", std::to_string(revision)}, {"error", error}});
}

void Node::configurationChanged(std::int64_t revision, const std::string &bytes)
{
    auto configuration = platform::decodeConfiguration(bytes);
    if (!configuration) {
        configurationRefused(revision, configuration.error().text());
        return;
    }
    const auto &current = m_service.configuration();
    if (current && configuration->version <= current->version) {
        configurationRefused(revision, "its version " + std::to_string(configuration->version)
                                               + " is not above "
                                               + std::to_string(current->version));
        return;
    }
    m_configurationRevision = revision;
    logInfo("configuration-applied", {{"version", std::to_string(configuration->version)},
                                      {"revision", std::to_string(revision)}});
    const auto &limits = configuration->limits;
    m_front.setLimits({.headerBytes = limits.headerBytes,
                       .bodyBytes = limits.bodyBytes,
                       .idleTimeout = limits.idleTimeout,
                       .headerTimeout = limits.headerTimeout});
    m_service.setConfiguration(std::move(*configuration));
    applyAccessSettings();
    if (m_owner)
        m_owner->setConfiguration(*m_service.configuration());
}

void Node::replicaChanged()
{
    // No other node writes the owner's keys while the store names this node as the owner.
    if (m_owner && m_replica.owner().revision == m_ownership.fence())
        m_stateFollower.setKnownRevision(m_replica.ownerAsOf());
    m_ownership.check();
    // A watcher must not end within its own handler.
    m_loop.post([this] { followState(); });
}

void Node::followState()
{
    using Keys = StateFollower::Keys;
    // The owner goes on with new jobs once it knows all keys.
    if (m_owner && m_stateFollower.keys() == Keys::NewJobs)
        return;
    auto keys = Keys::None;
    if (m_owner)
        keys = m_replica.asOf() >= m_ownership.fence() ? Keys::NewJobs : Keys::All;
    else if (isStandby(m_replica, m_settings.name))
        keys = Keys::All;
    m_stateFollower.follow(keys, m_owner ? internal::ownerWatchPause : internal::standbyWatchPause);
}

void Node::handlePeerRequest(ReceivedRequest request, const PeerServer::Respond &respond)
{
    if (const auto *status = std::get_if<StatusQuery>(&request.message)) {
        answerAsOwner(*status, respond);
    } else if (const auto *pending = std::get_if<PendingQuery>(&request.message)) {
        PendingAnswer answer;
        if (m_owner && m_ownership.valid())
            answer.count = m_replica.pending(pending->queue);
        respond(answer);
    } else if (const auto *stored = std::get_if<StoredKey>(&request.message)) {
        if (m_owner)
            m_replica.applyOwn(stored->key, stored->value, stored->revision);
    } else {
        m_delegate.handle(request, respond);
    }
}

void Node::answerAsOwner(const StatusQuery &query,
                         const std::function<void(const StatusAnswer &)> &callback)
{
    if (!m_owner || !m_ownership.valid()) {
        callback({});
        return;
    }
    const auto answer = [this, id = query.job, callback](const std::optional<JobStatus> &status) {
        StatusAnswer it{status};
        const auto *job = m_replica.job(id);
        if (job != nullptr && m_service.configuration() && m_service.configuration()->usesTeams)
            it.team = job->team;
        callback(it);
    };
    const auto status = m_replica.status(query.job);
    if (!status || isFinal(*status) || query.wait.count() == 0 || !m_owner->mayEndSoon(query.job))
        answer(status);
    else
        m_statusWaiters.wait(query.job, query.wait, answer);
}

OwnerRequests Node::ownerRequests()
{
    return {[this](const std::string &job, std::function<void(const StatusAnswer &)> callback) {
                askStatus(job, std::move(callback));
            },
            [this](const std::string &queue, std::function<void(std::optional<int>)> callback) {
                askPending(queue, std::move(callback));
            },
            [this](const std::string &key, const std::string &value, std::int64_t revision) {
                keyStored(key, value, revision);
            }};
}

PeerLink *Node::ownerLink()
{
    const auto &owner = m_replica.owner();
    if (m_owner || owner.revision == 0)
        return nullptr;
    const auto node = registeredNode(m_replica, owner.node);
    return !node || node->peerAddress.empty() ? nullptr : &m_peers.link(node->peerAddress);
}

void Node::askStatus(const std::string &job, std::function<void(const StatusAnswer &)> callback)
{
    const StatusQuery query{job, internal::statusWait};
    auto *link = ownerLink();
    if (link == nullptr) {
        answerAsOwner(query, callback);
        return;
    }
    link->call(query, query.wait + internal::ownerAnswerTimeout,
               [callback = std::move(callback)](const Result<PeerAnswer> &answer) {
                   const auto *status = answer ? std::get_if<StatusAnswer>(&*answer) : nullptr;
                   callback(status == nullptr ? StatusAnswer{} : *status);
               });
}

void Node::askPending(const std::string &queue, std::function<void(std::optional<int>)> callback)
{
    auto *link = ownerLink();
    if (link == nullptr) {
        callback(m_owner ? m_replica.pending(queue) : std::nullopt);
        return;
    }
    link->call(PendingQuery{queue}, internal::ownerAnswerTimeout,
               [callback = std::move(callback)](const Result<PeerAnswer> &answer) {
                   const auto *pending = answer ? std::get_if<PendingAnswer>(&*answer) : nullptr;
                   callback(pending == nullptr ? std::nullopt : pending->count);
               });
}

void Node::keyStored(const std::string &key, const std::string &value, std::int64_t revision)
{
    if (auto *link = ownerLink())
        link->notify(StoredKey{key, value, revision});
}

void Node::ownershipGained(std::int64_t fence, std::int64_t generation)
{
    logInfo("ownership-gained",
            {{"fence", std::to_string(fence)}, {"generation", std::to_string(generation)}});
    m_loadLogged.decisions = 0;
    m_loadLogged.decisionTime = Duration{0};
    m_ownerStore = std::make_unique<OwnerStore>(m_store, m_replica);
    m_owner = std::make_unique<ScheduleOwner>(
            OwnerContext{m_loop, *m_ownerStore, m_holdClient, m_orderClient, m_serviceClient,
                         m_replica, m_settings, m_governor, m_linkBudget, m_peers,
                         [this] { return m_ownership.valid(); },
                         [this] { return m_ownership.mayExtendHolds(); },
                         [this] { m_loop.post([this] { m_ownership.newerOwnerSeen(); }); }},
            fence, generation);
    followState();
    m_stateFollower.setPause(internal::ownerWatchPause);
    if (m_service.configuration())
        m_owner->setConfiguration(*m_service.configuration());
    for (const auto &[number, wave] : m_waves)
        m_owner->addWave(wave);
}

void Node::ownershipLost(const std::string &reason)
{
    logInfo("ownership-lost", {{"reason", reason}});
    m_stateFollower.setPause(internal::standbyWatchPause);
    if (m_ownerStore->unconfirmedWrites() > 0)
        m_stateFollower.setKnownRevision(0);
    m_loop.post([this] { followState(); });
    // Deleted later, because a function of the owner may be on the call stack.
    m_loop.post([store = std::shared_ptr<OwnerStore>(std::move(m_ownerStore)),
                 owner = std::shared_ptr<ScheduleOwner>(std::move(m_owner))] {});
}

void Node::handleError(const std::string &error)
{
    logWarning("unexpected-error", {{"error", error}, {"owner", m_owner ? "yes" : "no"}});
    m_ownership.stepAside("an unexpected error: " + error);
}

void Node::stop()
{
    if (std::exchange(m_stopping, true))
        return;
    logInfo("stopping", {{"connections", std::to_string(m_front.connections())}});
    m_ownership.resign();
    m_registration.stop();
    m_front.drain();
    const auto latest = EventLoop::now() + m_settings.gracePeriod - internal::stopMargin;
    m_loop.after(internal::balancerRemovalTime, [this, latest] { finishStop(latest); });
}

void Node::finishStop(TimePoint latest)
{
    // Callers may use their connections until they close them; without connections, stop now.
    if (m_front.connections() == 0 || EventLoop::now() >= latest) {
        logInfo("stopped", {{"connections", std::to_string(m_front.connections())}});
        m_loop.stop();
        return;
    }
    m_loop.after(internal::storeCheckInterval, [this, latest] { finishStop(latest); });
}

} // namespace dragonflysill
