#include "entryprocess.h"

#include "viewfile.h"

#include "dragonflysill/telemetry/log.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace dragonflysill {

namespace internal {

// Longest delay of a grant that depends on time alone, such as the end of a refusal pause.
constexpr std::chrono::milliseconds tickInterval{5};
// Also the longest delay of a drain report.
constexpr std::chrono::milliseconds housekeepingInterval{50};

// Shorter than the usual deadline of a request, so that a slow store gives "not run" in time.
constexpr std::chrono::milliseconds storeCallTimeout{500};
constexpr std::chrono::milliseconds storeConnectTimeout{200};

std::set<std::string> usableAddresses(const View &view)
{
    std::set<std::string> addresses;
    for (const auto &it : view.instances) {
        const InstancePhase phase = it.second.phase;
        if (phase == InstancePhase::Serving || phase == InstancePhase::Warming)
            addresses.insert(it.second.address);
    }
    return addresses;
}

} // namespace internal

EntryProcess::EntryProcess(EntrySettings settings)
    : m_settings(std::move(settings))
    , m_registry(std::make_shared<prometheus::Registry>())
    , m_timeline(m_settings.name)
    , m_metrics(*m_registry)
    , m_hub(m_settings.dispatch(), m_timeline)
    , m_exchange(m_connections)
    , m_store(makeStore(m_settings))
    , m_claims(makeClaims(m_settings, m_store.get()))
    , m_handler(m_settings.name, m_hub, m_exchange, m_metrics, m_claims.get())
    , m_admin(m_registry, m_timeline)
    , m_server(m_handler, m_settings.workers)
{
    m_view.onChange([this](const ViewPointer &view) { installView(view); });
}

EntryProcess::~EntryProcess()
{
    stopHousekeeping();
}

std::unique_ptr<StoreClient> EntryProcess::makeStore(const EntrySettings &settings)
{
    if (settings.store.empty())
        return nullptr;
    StoreClientSettings client;
    client.endpoints = {settings.store};
    client.clientName = settings.name;
    client.connectTimeout = internal::storeConnectTimeout;
    client.callTimeout = internal::storeCallTimeout;
    return std::make_unique<StoreClient>(client);
}

std::unique_ptr<ClaimWriter> EntryProcess::makeClaims(const EntrySettings &settings, Store *store)
{
    if (store == nullptr)
        return nullptr;
    ClaimWriterSettings claims;
    claims.entry = settings.name;
    claims.incarnation = unixMilliseconds();
    claims.claims.seed = settings.seed;
    return std::make_unique<ClaimWriter>(*store, claims);
}

Result<Done> EntryProcess::start()
{
    m_timeline.record(EventKind::ProcessStarted, m_settings.name);
    if (const auto admin = m_admin.start(m_settings.adminListen); !admin.ok())
        return admin.error();
    const auto port = m_server.start(m_settings.listen);
    if (!port.ok())
        return port.error();
    logInfo("listening", {{"port", std::to_string(*port)}});
    if (auto view = startView(); !view.ok())
        return view;
    m_housekeeping = std::thread([this] { runHousekeeping(); });
    return Done();
}

Result<Done> EntryProcess::startView()
{
    if (m_settings.viewFile.empty()) {
        m_viewClient = std::make_unique<ViewClient>(
                ViewClientSettings{m_settings.control, m_settings.name, m_settings.region,
                                   m_settings.zone},
                m_view, m_timeline);
        m_viewClient->start();
        return Done();
    }
    auto view = readViewFile(m_settings.viewFile);
    if (!view.ok())
        return view.error();
    m_view.set(*view);
    return Done();
}

void EntryProcess::installView(const ViewPointer &view)
{
    m_hub.install(view);
    m_connections.pruneIdle(internal::usableAddresses(*view), steadyNow());
    if (m_claims) {
        m_claims->setEntryCount(std::max<int>(1, static_cast<int>(view->entries.size())));
        m_claims->noteRevision(view->revision);
    }
    if (m_readyAllowed)
        m_admin.setReady(true);
    // A leaving instance without work is reported at once, not after the next interval.
    {
        const std::lock_guard lock(m_mutex);
        m_viewChanged = true;
    }
    m_wake.notify_all();
}

void EntryProcess::runHousekeeping()
{
    TimePoint last{};
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        const bool viewChanged = std::exchange(m_viewChanged, false);
        lock.unlock();
        m_hub.tick();
        if (viewChanged || steadyNow() - last >= internal::housekeepingInterval) {
            housekeep();
            last = steadyNow();
        }
        lock.lock();
        m_wake.wait_for(lock, internal::tickInterval);
    }
}

void EntryProcess::housekeep()
{
    m_metrics.setLoad(m_hub.inFlight(), m_hub.queued());
    m_connections.pruneIdle(internal::usableAddresses(*m_view.get()), steadyNow());
    if (m_claims)
        m_metrics.setClaims(m_claims->counters());
    if (m_viewClient)
        m_viewClient->reportDrained(m_hub.drained());
}

void EntryProcess::stop()
{
    logInfo("stopping");
    m_timeline.record(EventKind::ProcessStopping, m_settings.name);
    m_readyAllowed = false;
    m_admin.setReady(false);
    m_server.disableKeepAlive();
    // The load balancer notices /readyz and sends no further connections.
    std::this_thread::sleep_for(std::chrono::milliseconds(m_settings.stopGraceMs));
    m_server.shutDownGracefully();
    if (m_claims)
        m_claims->stop();
    stopHousekeeping();
    reportAllDrained();
    if (m_viewClient)
        m_viewClient->stop();
    logInfo("drained", {{"in_flight", std::to_string(m_hub.inFlight())}});
    m_admin.stop();
}

void EntryProcess::reportAllDrained()
{
    if (!m_viewClient)
        return;
    std::vector<DrainedInstance> drained;
    for (const auto &it : m_view.get()->instances)
        drained.push_back({it.second.name, it.second.epoch});
    m_viewClient->reportDrained(std::move(drained));
}

void EntryProcess::stopHousekeeping()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    if (m_housekeeping.joinable())
        m_housekeeping.join();
}

} // namespace dragonflysill
