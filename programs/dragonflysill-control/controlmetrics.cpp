#include "controlmetrics.h"

#include <chrono>
#include <utility>

namespace dragonflysill {

namespace {

constexpr std::chrono::seconds updateInterval{1};

} // namespace

ControlMetrics::ControlMetrics(std::shared_ptr<prometheus::Registry> registry,
                               const ZoneService &service, const StoreClient &store)
    : m_registry(std::move(registry))
    , m_service(service)
    , m_store(store)
{
    using Z = ZoneMetrics;
    using S = StoreClientCounters;
    const auto asDouble = [](auto value) { return static_cast<double>(value); };
    add("dragonflysill_view_revision", "Store revision of the view in effect",
        [=](const Z &z, const S &) { return asDouble(z.viewRevision); });
    add("dragonflysill_view_ticket", "Number of the last ticket in effect",
        [=](const Z &z, const S &) { return asDouble(z.ticket); });
    add("dragonflysill_members_alive", "Live members, this one included",
        [=](const Z &z, const S &) { return asDouble(z.members); });
    add("dragonflysill_view_subscribers", "Connections that receive changes of the view",
        [=](const Z &z, const S &) { return asDouble(z.subscribers); });
    add("dragonflysill_is_relay", "1 while this process is its availability zone's relay",
        [=](const Z &z, const S &) { return asDouble(z.isRelay); });
    add("dragonflysill_store_watch_established", "1 while the watch on the store is established",
        [=](const Z &z, const S &) { return asDouble(z.watching); });
    add("dragonflysill_store_regressed_total", "Answers of the store with an older state",
        [=](const Z &z, const S &) { return asDouble(z.storeRegressed); });
    add("dragonflysill_registrations_total", "Registrations in the store since the start",
        [=](const Z &z, const S &) { return asDouble(z.registrations); });
    add("dragonflysill_corrupt_values_total", "Values of the store that could not be decoded",
        [=](const Z &z, const S &) { return asDouble(z.corruptValues); });
    add("dragonflysill_peer_bytes_sent_total", "Bytes sent to peers and the entry process",
        [=](const Z &z, const S &) { return asDouble(z.traffic.bytesSent); });
    add("dragonflysill_peer_bytes_received_total",
        "Bytes received from peers and the entry process",
        [=](const Z &z, const S &) { return asDouble(z.traffic.bytesReceived); });
    add("dragonflysill_frames_refused_total", "Frames that were oversized, truncated or invalid",
        [=](const Z &z, const S &) { return asDouble(z.traffic.framesRefused); });
    add("dragonflysill_store_calls_total", "Calls to the store, watches included",
        [=](const Z &, const S &s) { return asDouble(s.calls); });
    add("dragonflysill_store_unavailable_total", "Calls that the store did not answer",
        [=](const Z &, const S &s) { return asDouble(s.unavailable); });
}

ControlMetrics::~ControlMetrics()
{
    stop();
}

void ControlMetrics::add(const std::string &name, const std::string &help, Reader reader)
{
    auto &gauge = prometheus::BuildGauge().Name(name).Help(help).Register(*m_registry).Add({});
    m_gauges.emplace_back(&gauge, std::move(reader));
}

void ControlMetrics::start()
{
    m_thread = std::thread([this] { run(); });
}

void ControlMetrics::stop()
{
    if (!m_thread.joinable())
        return;
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wakeup.notify_all();
    m_thread.join();
}

void ControlMetrics::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        update();
        m_wakeup.wait_for(lock, updateInterval, [this] { return m_stopping; });
    }
}

void ControlMetrics::update()
{
    const ZoneMetrics zone = m_service.metrics();
    const StoreClientCounters store = m_store.counters();
    for (const auto &it : m_gauges)
        it.first->Set(it.second(zone, store));
}

} // namespace dragonflysill
