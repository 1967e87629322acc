#include "entryprocess.h"

#include "viewfile.h"

#include "dragonflysill/telemetry/log.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace dragonflysill {

namespace internal {

// Interval at which the dispatcher checks its timers. Bounds the delay of a grant that depends on
// time alone, such as the end of the pause after a refusal.
constexpr std::chrono::milliseconds dispatchInterval{5};
// Interval of the load metrics and of closing unused connections. Also bounds the delay of a drain
// report.
constexpr std::chrono::milliseconds housekeepingInterval{50};

// Shorter than the usual deadline of a request, so that callers get "not run" before the deadline
// if the store is slow.
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
    , m_dispatcher(m_settings.dispatch(), m_timeline)
    , m_backendClient(m_connections)
    , m_store(makeStore(m_settings))
    , m_claims(makeClaims(m_settings, m_store.get()))
    , m_handler(m_settings.name, m_dispatcher, m_backendClient, m_metrics, m_claims.get())
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
    StoreClientSettings storeSettings;
    storeSettings.endpoints = {settings.store};
    storeSettings.clientName = settings.name;
    storeSettings.connectTimeout = internal::storeConnectTimeout;
    storeSettings.callTimeout = internal::storeCallTimeout;
    return std::make_unique<StoreClient>(storeSettings);
}

std::unique_ptr<ClaimWriter> EntryProcess::makeClaims(const EntrySettings &settings, Store *store)
{
    if (store == nullptr)
        return nullptr;
    ClaimWriterSettings claimSettings;
    claimSettings.entry = settings.name;
    claimSettings.incarnation = unixMilliseconds();
    claimSettings.claims.seed = settings.seed;
    return std::make_unique<ClaimWriter>(*store, claimSettings);
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
    m_housekeepingThread = std::thread([this] { runHousekeeping(); });
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
    m_dispatcher.install(view);
    m_connections.pruneIdle(internal::usableAddresses(*view), steadyNow());
    if (m_claims) {
        m_claims->setEntryCount(std::max<int>(1, static_cast<int>(view->entries.size())));
        m_claims->noteRevision(view->revision);
    }
    if (m_mayBecomeReady)
        m_admin.setReady(true);
    // Wakes the housekeeping thread, so that a leaving instance without requests in flight is
    // reported as drained at once instead of after the next interval.
    {
        const std::lock_guard lock(m_mutex);
        m_viewChanged = true;
    }
    m_wake.notify_all();
}

void EntryProcess::runHousekeeping()
{
    TimePoint lastUpdate{};
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        const bool viewChanged = std::exchange(m_viewChanged, false);
        lock.unlock();
        m_dispatcher.tick();
        if (viewChanged || steadyNow() - lastUpdate >= internal::housekeepingInterval) {
            updateLoadAndConnections();
            lastUpdate = steadyNow();
        }
        lock.lock();
        m_wake.wait_for(lock, internal::dispatchInterval);
    }
}

void EntryProcess::updateLoadAndConnections()
{
    m_metrics.setLoad(m_dispatcher.inFlight(), m_dispatcher.queued());
    m_connections.pruneIdle(internal::usableAddresses(*m_view.get()), steadyNow());
    if (m_claims)
        m_metrics.setClaims(m_claims->counters());
    if (m_viewClient)
        m_viewClient->reportDrained(m_dispatcher.drained());
}

void EntryProcess::stop()
{
    logInfo("stopping");
    m_timeline.record(EventKind::ProcessStopping, m_settings.name);
    m_mayBecomeReady = false;
    m_admin.setReady(false);
    m_server.disableKeepAlive();
    // Gives the load balancer time to see that /readyz fails and to open no further connections.
    std::this_thread::sleep_for(std::chrono::milliseconds(m_settings.stopGraceMs));
    m_server.shutDownGracefully();
    if (m_claims)
        m_claims->stop();
    stopHousekeeping();
    reportAllDrained();
    if (m_viewClient)
        m_viewClient->stop();
    logInfo("drained", {{"in_flight", std::to_string(m_dispatcher.inFlight())}});
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
    if (m_housekeepingThread.joinable())
        m_housekeepingThread.join();
}

} // namespace dragonflysill
