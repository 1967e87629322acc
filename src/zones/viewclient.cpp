#include "dragonflysill/zones/viewclient.h"

#include "dragonflysill/base/time.h"
#include "dragonflysill/telemetry/log.h"
#include "dragonflysill/wire/messageloop.h"
#include "dragonflysill/zones/deltaassembler.h"

#include <algorithm>
#include <atomic>
#include <utility>
#include <variant>

namespace dragonflysill {

namespace internal {

constexpr std::chrono::milliseconds clientTick{100};
constexpr std::chrono::milliseconds firstReconnect{100};
/** Caps the time that a restarted control process waits for its entry process. */
constexpr std::chrono::milliseconds longestReconnect{1000};

} // namespace internal

class ViewClient::Implementation
{
public:
    Implementation(ViewClientSettings settings, SharedView &view, Timeline &timeline)
        : m_settings(std::move(settings))
        , m_view(view)
        , m_timeline(timeline)
        , m_incarnation(unixMilliseconds())
        , m_loop({[this](LinkId link) { opened(link); },
                  [this](LinkId link, const Envelope &envelope) { received(link, envelope); },
                  [this](LinkId link, const Error &) { closed(link); }, [this] { ticked(); }},
                 internal::clientTick)
    {
    }

    void start() { m_loop.start(); }

    void stop()
    {
        m_loop.post([this] { sendAck(true); });
        m_loop.stop();
        m_connected = false;
    }

    void reportDrained(std::vector<DrainedInstance> drained)
    {
        m_loop.post([this, drained = std::move(drained)] {
            if (drained == m_drained)
                return;
            m_drained = drained;
            sendAck(false);
        });
    }

    [[nodiscard]] bool connected() const { return m_connected; }

private:
    void ticked();
    void opened(LinkId link);
    void closed(LinkId link);
    void received(LinkId link, const Envelope &envelope);
    void handle(const ViewDelta &delta);
    void send(Message message);
    void sendAck(bool stopping);

    const ViewClientSettings m_settings;
    SharedView &m_view;
    Timeline &m_timeline;
    const std::int64_t m_incarnation;
    std::atomic<bool> m_connected = false;
    ViewBuilder m_builder;
    DeltaAssembler m_assembler;
    std::vector<DrainedInstance> m_drained;
    LinkId m_link = 0;
    LinkId m_lastLink = 1;
    bool m_open = false;
    TimePoint m_nextConnect;
    std::chrono::milliseconds m_delay = internal::firstReconnect;
    // The last member, because its thread uses the others until it is destroyed.
    MessageLoop m_loop;
};

void ViewClient::Implementation::ticked()
{
    if (m_link != 0 || steadyNow() < m_nextConnect)
        return;
    m_lastLink += 2;
    m_link = m_lastLink;
    m_loop.connect(m_link, m_settings.controlAddress);
}

void ViewClient::Implementation::opened(LinkId link)
{
    if (link != m_link)
        return;
    m_open = true;
    m_connected = true;
    m_delay = internal::firstReconnect;
    m_assembler = {};
    send(Hello{m_settings.name, m_settings.region, m_settings.zone, true, m_incarnation, {}});
    send(ViewRequest{m_builder.view()->revision, true});
    if (m_builder.view()->revision > 0)
        sendAck(false);
    logInfo("control-connected", {{"address", m_settings.controlAddress}});
}

void ViewClient::Implementation::closed(LinkId link)
{
    if (link != m_link)
        return;
    m_link = 0;
    m_nextConnect = steadyNow() + m_delay;
    m_delay = std::min(m_delay * 2, internal::longestReconnect);
    if (!std::exchange(m_open, false))
        return;
    m_connected = false;
    logWarning("control-connection-lost", {{"address", m_settings.controlAddress}});
}

void ViewClient::Implementation::received(LinkId link, const Envelope &envelope)
{
    m_timeline.observe(envelope.time);
    if (const auto *delta = std::get_if<ViewDelta>(&envelope.message); delta && link == m_link)
        handle(*delta);
}

void ViewClient::Implementation::handle(const ViewDelta &delta)
{
    const std::int64_t mine = m_builder.view()->revision;
    const DeltaOutcome outcome = m_assembler.add(delta, mine);
    if (outcome == DeltaOutcome::Request)
        send(ViewRequest{mine, true});
    if (outcome != DeltaOutcome::Apply && outcome != DeltaOutcome::Replace)
        return;
    const auto view = outcome == DeltaOutcome::Replace
                              ? m_builder.replace(m_assembler.updates(), delta.toRevision)
                              : m_builder.apply(m_assembler.updates(), delta.toRevision);
    if (!view) {
        m_timeline.record(EventKind::StoreRegressed, m_settings.name, view.error().detail);
        logWarning("store-regressed", {{"detail", view.error().detail}});
        return;
    }
    m_timeline.record(EventKind::ViewInstalled, std::to_string(delta.toRevision),
                      "ticket " + std::to_string((*view)->configuration.ticket));
    m_view.set(*view);
    sendAck(false);
}

void ViewClient::Implementation::send(Message message)
{
    const LinkId link = m_link;
    if (m_open)
        m_loop.send({&link, 1}, {m_timeline.stamp(), std::move(message)});
}

void ViewClient::Implementation::sendAck(bool stopping)
{
    ViewAck ack{m_builder.view()->revision, {}, stopping};
    for (const auto &it : m_drained)
        ack.drained.push_back({it.name, it.epoch});
    send(std::move(ack));
}

ViewClient::ViewClient(ViewClientSettings settings, SharedView &view, Timeline &timeline)
    : m_implementation(std::make_unique<Implementation>(std::move(settings), view, timeline))
{
}

ViewClient::~ViewClient() = default;

void ViewClient::start()
{
    m_implementation->start();
}

void ViewClient::stop()
{
    m_implementation->stop();
}

void ViewClient::reportDrained(std::vector<DrainedInstance> drained)
{
    m_implementation->reportDrained(std::move(drained));
}

bool ViewClient::connected() const
{
    return m_implementation->connected();
}

} // namespace dragonflysill
