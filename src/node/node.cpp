#include "dragonflysill/node/node.h"

#include "dragonflysill/base/hash.h"
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

#include <algorithm>
#include <utility>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** Length of the ownership's lease: the longest time without scheduling after a sudden end. */
constexpr Milliseconds ownerLease = 1500ms;
/** Changes of jobs gather this long between two waits, at the owner and elsewhere. */
constexpr Duration ownerWatchPause = 20ms;
constexpr Duration followerWatchPause = 200ms;
/** Without an answer to a watch for this long the store counts as unreachable. */
constexpr Duration storeSilence = 2300ms;
/** Calls unserved for this long mean that the store is lost: the time of two lost answers. */
constexpr Duration storePatience = 800ms;
/** Bounds of the wait for an answer; a store that is slow takes up to 240 ms. */
constexpr Duration shortestAnswerWait = 350ms;
constexpr Duration longestAnswerWait = 1000ms;
/** Time between two looks at the store's reachability. */
constexpr Duration storeCheck = 100ms;
/** A look that comes later than this follows a pause of the process, not of the store. */
constexpr Duration latestCheck = 300ms;
/** Time for the balancer to see that the node is not ready any more, at two looks a second apart.
 */
constexpr Duration leaveTime = 2200ms;
/** Part of the grace time that is left unused, so that the process ends by itself. */
constexpr Duration stopMargin = 1500ms;

std::uint64_t seedFrom(const platform::NodeSettings &settings)
{
    return stableHash(settings.name)
           ^ static_cast<std::uint64_t>(EventLoop::now().time_since_epoch().count());
}

} // namespace internal

Node::Node(EventLoop &loop, const platform::NodeSettings &settings, std::string metricsAddress)
    : m_loop(loop)
    , m_settings(settings)
    , m_client(loop)
    , m_kvStore(std::make_unique<platform::KvStore>(m_client, settings.storeAddress))
    , m_store(loop, *m_kvStore, StoreContact(internal::storePatience),
              AnswerPatience(internal::shortestAnswerWait, internal::longestAnswerWait))
    , m_service(loop, m_store, m_replica, internal::seedFrom(settings))
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
    , m_operators(loop, [this](const HttpRequest &request,
                               const HttpServer::Respond &respond) { respond(show(request)); })
    , m_metricsAddress(std::move(metricsAddress))
    , m_stateWatcher(loop, m_store, std::string(nodekeys::root), internal::followerWatchPause,
                     {[this](std::span<const KeyValue> items, std::int64_t asOf) {
                          m_replica.reset(items, asOf);
                          replicaChanged();
                      },
                      [this](std::span<const KeyUpdate> updates, std::int64_t asOf) {
                          m_replica.apply(updates, asOf);
                          replicaChanged();
                      }})
    , m_operatorWatcher(loop, m_store, platform::prefixOperator, Duration{0},
                        {[this](std::span<const KeyValue> items, std::int64_t) {
                             for (const auto &it : items)
                                 operatorKey(it.key, it.modRevision, it.value);
                         },
                         [this](std::span<const KeyUpdate> updates, std::int64_t) {
                             for (const auto &it : updates) {
                                 if (!it.deleted)
                                     operatorKey(it.key, it.revision, it.value);
                             }
                         }})
    , m_ownership(
              loop, m_store, m_replica, settings.name,
              std::max(internal::ownerLease, settings.shortestLease),
              {[this](std::int64_t fence, std::int64_t generation) { gained(fence, generation); },
               [this](const std::string &reason) { lost(reason); }})
{
    m_replica.setListener([this](const std::string &id, const ReplicatedJob &job) {
        if (m_owner)
            m_owner->jobChanged(id, job);
    });
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
    m_stateWatcher.start();
    m_operatorWatcher.start();
    m_ownership.start();
    watchStore();
    return Done();
}

void Node::watchStore()
{
    const auto contact = std::max(m_stateWatcher.lastContact(), m_operatorWatcher.lastContact());
    const auto now = EventLoop::now();
    const bool paused = now - std::exchange(m_storeCheckedAt, now) > internal::latestCheck;
    const bool reachable
            = now - contact < internal::storeSilence && !(m_store.contact().lost(now) && !paused);
    if (reachable != m_storeReachable) {
        m_storeReachable = reachable;
        m_service.setStoreReachable(reachable);
        if (reachable)
            logInfo("store-reached");
        else
            logWarning("store-lost");
    }
    m_loop.after(internal::storeCheck, [this] { watchStore(); });
}

bool Node::ready() const
{
    return !m_stopping && m_storeReachable && m_replica.loaded() && m_service.configuration();
}

HttpResponse Node::show(const HttpRequest &request) const
{
    if (request.method != "GET" || request.target != "/metrics")
        return showNode({m_settings.name, m_settings.zone, ready(), m_storeReachable, m_service,
                         m_replica, m_owner.get(), EventLoop::now()},
                        request);
    const auto &configuration = m_service.configuration();
    return {200,
            renderMetrics({m_service.counts(), m_service.handInSeconds(), m_owner.get(), ready(),
                           m_storeReachable, configuration ? configuration->version : 0,
                           m_kvStore->calls(), m_client.opened(), m_front.connections(),
                           m_replica.jobs().size()}),
            {}};
}

void Node::operatorKey(const std::string &key, std::int64_t revision, const std::string &bytes)
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

void Node::configurationChanged(std::int64_t revision, const std::string &bytes)
{
    auto configuration = platform::decodeConfiguration(bytes);
    if (!configuration) {
        logWarning("configuration-unusable", {{"revision", std::to_string(revision)},
                                              {"error", configuration.error().text()}});
        return;
    }
    const auto &current = m_service.configuration();
    if (current && configuration->version <= current->version)
        return;
    logInfo("configuration-applied", {{"version", std::to_string(configuration->version)},
                                      {"revision", std::to_string(revision)}});
    const auto &limits = configuration->limits;
    m_front.setLimits(
            {limits.headerBytes, limits.bodyBytes, limits.idleTimeout, limits.headerTimeout});
    m_service.setConfiguration(std::move(*configuration));
    if (m_owner)
        m_owner->setConfiguration(*m_service.configuration());
}

void Node::replicaChanged()
{
    m_ownership.check();
}

void Node::gained(std::int64_t fence, std::int64_t generation)
{
    logInfo("ownership-gained",
            {{"fence", std::to_string(fence)}, {"generation", std::to_string(generation)}});
    m_stateWatcher.setPause(internal::ownerWatchPause);
    m_owner = std::make_unique<ScheduleOwner>(
            OwnerContext{m_loop, m_store, m_client, m_replica, m_settings,
                         [this] { return m_ownership.valid(); },
                         [this] { return m_ownership.mayHold(); },
                         [this] { m_loop.post([this] { m_ownership.replaced(); }); }},
            fence, generation);
    if (m_service.configuration())
        m_owner->setConfiguration(*m_service.configuration());
    for (const auto &[number, wave] : m_waves)
        m_owner->addWave(wave);
}

void Node::lost(const std::string &reason)
{
    logInfo("ownership-lost", {{"reason", reason}});
    m_stateWatcher.setPause(internal::followerWatchPause);
    // The owner may be on the call stack.
    m_loop.post([owner = std::shared_ptr<ScheduleOwner>(std::move(m_owner))] {});
}

void Node::stop()
{
    if (std::exchange(m_stopping, true))
        return;
    logInfo("stopping", {{"connections", std::to_string(m_front.connections())}});
    m_ownership.resign();
    m_front.drain();
    const auto latest = EventLoop::now() + m_settings.grace - internal::stopMargin;
    m_loop.after(internal::leaveTime, [this, latest] { finishStop(latest); });
}

void Node::finishStop(TimePoint latest)
{
    // Callers use their connections until they close; without any there is nothing to wait for.
    if (m_front.connections() == 0 || EventLoop::now() >= latest) {
        logInfo("stopped", {{"connections", std::to_string(m_front.connections())}});
        m_loop.stop();
        return;
    }
    m_loop.after(internal::storeCheck, [this, latest] { finishStop(latest); });
}

} // namespace dragonflysill
