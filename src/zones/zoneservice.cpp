#include "dragonflysill/zones/zoneservice.h"

#include "registrar.h"
#include "storewatcher.h"

#include "dragonflysill/base/hash.h"
#include "dragonflysill/base/time.h"
#include "dragonflysill/telemetry/log.h"

#include <atomic>
#include <mutex>
#include <optional>
#include <utility>

namespace dragonflysill {

namespace internal {

constexpr std::chrono::milliseconds nodeTickInterval{50};

bool needsAttention(EventKind kind)
{
    return kind == EventKind::StoreUnreachable || kind == EventKind::StoreRegressed
           || kind == EventKind::MemberFailed || kind == EventKind::LeaseLost;
}

} // namespace internal

class ZoneService::Implementation
{
public:
    Implementation(ZoneServiceSettings settings, Store &store, SharedView &view,
                   MemberReports &reports, Fence &fence, Timeline &timeline);

    Result<int> start();
    void stop();
    void setOnReady(std::function<void(bool)> function) { m_onReady = std::move(function); }
    [[nodiscard]] ZoneMetrics metrics() const;

private:
    /** Calls the function in the loop's thread, then executes the resulting actions. */
    template <typename Function>
    void postInput(Function function)
    {
        m_loop.post([this, function = std::move(function)] {
            function(*m_node);
            execute();
        });
    }
    void execute();
    void updateMetrics();

    void run(const ConnectAction &action) { m_loop.connect(action.link, action.address); }
    void run(const CloseAction &action) { m_loop.close(action.link); }
    void run(const SendAction &action)
    {
        m_loop.send(action.links, {m_timeline.stamp(), action.message});
    }
    void run(const WatchAction &action) { m_watcher.setWanted(action.on); }
    void run(const ReadStoreAction & /*action*/) { m_watcher.readOnce(); }
    void run(const InstallAction &action) { m_view.set(action.view); }
    void run(const EntryRegistrationAction &action)
    {
        m_registrar->setEntryRegistered(action.present);
    }
    void run(const ReportAction &action) { m_reports.update(action.report); }
    void run(const LivenessAction &action) { m_reports.setAlive(action.name, action.alive); }
    void run(const RemoveMemberAction &action) { m_reports.remove(action.name); }
    void run(const EventAction &action);
    void run(const ReadyAction &action);

    internal::RegistrarHandlers registrarHandlers();

    ZoneServiceSettings m_settings;
    Store &m_store;
    Fence &m_fence;
    SharedView &m_view;
    MemberReports &m_reports;
    Timeline &m_timeline;
    std::function<void(bool)> m_onReady;
    std::optional<ZoneNode> m_node; ///< Set once the peer address is bound.
    mutable std::mutex m_metricsMutex;
    ZoneMetrics m_metrics;
    std::atomic<std::int64_t> m_regressions = 0;
    // Declared last, so destroyed first: the threads of these three use the members above.
    MessageLoop m_loop;
    std::optional<internal::Registrar> m_registrar;
    internal::StoreWatcher m_watcher;
};

ZoneService::Implementation::Implementation(ZoneServiceSettings settings, Store &store,
                                            SharedView &view, MemberReports &reports, Fence &fence,
                                            Timeline &timeline)
    : m_settings(std::move(settings))
    , m_store(store)
    , m_fence(fence)
    , m_view(view)
    , m_reports(reports)
    , m_timeline(timeline)
    , m_loop({[this](LinkId link) {
                  m_node->linkOpened(link, steadyNow());
                  execute();
              },
              [this](LinkId link, const Envelope &envelope) {
                  m_timeline.observe(envelope.time);
                  m_node->received(link, envelope.message, steadyNow());
                  execute();
              },
              [this](LinkId link, const Error &) {
                  m_node->linkClosed(link, steadyNow());
                  execute();
              },
              [this] {
                  m_node->tick(steadyNow());
                  execute();
                  updateMetrics();
              }},
             internal::nodeTickInterval)
    , m_watcher(store, view, stableHash(m_settings.zone.self.name),
                {[this](std::vector<KeyUpdate> updates, std::int64_t revision, bool full) {
                     postInput([updates = std::move(updates), revision, full](ZoneNode &node) {
                         node.storeStateReceived(updates, revision, full, steadyNow());
                     });
                 },
                 [this](bool established) {
                     postInput([established](ZoneNode &node) { node.watchChanged(established); });
                 },
                 [this](bool ok) {
                     postInput([ok](ZoneNode &node) { node.storeCallEnded(ok, steadyNow()); });
                 },
                 [this](std::string detail) {
                     ++m_regressions;
                     postInput([detail = std::move(detail)](ZoneNode &node) {
                         node.storeRegressed(detail);
                     });
                 }})
{
}

internal::RegistrarHandlers ZoneService::Implementation::registrarHandlers()
{
    return {[this](std::int64_t incarnation, std::int64_t revision, std::vector<Member> members) {
                postInput([incarnation, revision, members = std::move(members)](ZoneNode &node) {
                    node.registered(incarnation, revision, members, steadyNow());
                });
            },
            [this](bool ok) {
                postInput([ok](ZoneNode &node) { node.storeCallEnded(ok, steadyNow()); });
            }};
}

Result<int> ZoneService::Implementation::start()
{
    auto port = m_loop.listen(m_settings.listenAddress);
    if (!port)
        return port;
    Member &self = m_settings.zone.self;
    const std::string &address = m_settings.listenAddress;
    self.peerAddress = address.substr(0, address.rfind(':') + 1) + std::to_string(*port);
    self.incarnation = unixMilliseconds();
    m_node.emplace(m_settings.zone);
    m_registrar.emplace(self, m_settings.leaseSeconds, m_store, m_fence, m_timeline,
                        registrarHandlers());
    m_loop.post([this] {
        m_node->start(steadyNow());
        execute();
    });
    m_loop.start();
    m_registrar->start();
    m_watcher.start();
    return port;
}

void ZoneService::Implementation::stop()
{
    if (!m_node)
        return;
    postInput([](ZoneNode &node) { node.leave(); });
    m_watcher.stop();
    m_registrar->stop();
    m_loop.stop();
}

void ZoneService::Implementation::execute()
{
    for (const auto &it : m_node->takeActions())
        std::visit([this](const auto &action) { run(action); }, it);
}

void ZoneService::Implementation::run(const EventAction &action)
{
    m_timeline.record(action.kind, action.subject, action.detail);
    if (internal::needsAttention(action.kind))
        logWarning(toText(action.kind), {{"subject", action.subject}, {"detail", action.detail}});
    else if (action.kind != EventKind::ViewInstalled)
        logInfo(toText(action.kind), {{"subject", action.subject}, {"detail", action.detail}});
}

void ZoneService::Implementation::run(const ReadyAction &action)
{
    if (m_onReady)
        m_onReady(action.ready);
}

void ZoneService::Implementation::updateMetrics()
{
    const ViewPointer view = m_node->builder().view();
    ZoneMetrics metrics;
    metrics.viewRevision = view->revision;
    metrics.ticket = view->configuration.ticket;
    metrics.members = m_node->liveMembers();
    metrics.subscribers = m_node->subscribers();
    metrics.isRelay = m_node->watchWanted();
    metrics.watching = m_node->watching();
    metrics.storeRegressed = m_regressions;
    metrics.registrations = m_registrar->registrations();
    metrics.corruptValues = m_node->builder().corruptValues();
    metrics.traffic = m_loop.traffic();
    const std::lock_guard lock(m_metricsMutex);
    m_metrics = metrics;
}

ZoneMetrics ZoneService::Implementation::metrics() const
{
    const std::lock_guard lock(m_metricsMutex);
    return m_metrics;
}

ZoneService::ZoneService(ZoneServiceSettings settings, Store &store, SharedView &view,
                         MemberReports &reports, Fence &fence, Timeline &timeline)
    : m_implementation(std::make_unique<Implementation>(std::move(settings), store, view, reports,
                                                        fence, timeline))
{
}

ZoneService::~ZoneService() = default;

void ZoneService::onReadinessChange(std::function<void(bool)> function)
{
    m_implementation->setOnReady(std::move(function));
}

Result<int> ZoneService::start()
{
    return m_implementation->start();
}

void ZoneService::stop()
{
    m_implementation->stop();
}

ZoneMetrics ZoneService::metrics() const
{
    return m_implementation->metrics();
}

} // namespace dragonflysill
