#include "dragonflysill/telemetry/timeline.h"

#include "dragonflysill/base/time.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <tuple>
#include <utility>

namespace dragonflysill {

namespace internal {

constexpr std::array<std::pair<EventKind, std::string_view>, 31> kindNames{
        {{EventKind::ProcessStarted, "process-started"},
         {EventKind::ProcessStopping, "process-stopping"},
         {EventKind::ReadyChanged, "ready-changed"},
         {EventKind::TicketAccepted, "ticket-accepted"},
         {EventKind::TicketRefused, "ticket-refused"},
         {EventKind::ViewInstalled, "view-installed"},
         {EventKind::StoreReachable, "store-reachable"},
         {EventKind::StoreUnreachable, "store-unreachable"},
         {EventKind::StoreRegressed, "store-regressed"},
         {EventKind::MemberJoined, "member-joined"},
         {EventKind::MemberFailed, "member-failed"},
         {EventKind::MemberLeft, "member-left"},
         {EventKind::RelayChanged, "relay-changed"},
         {EventKind::PoolOwnerChanged, "pool-owner-changed"},
         {EventKind::InstancePhaseChanged, "instance-phase-changed"},
         {EventKind::InstanceDrained, "instance-drained"},
         {EventKind::MoveStarted, "move-started"},
         {EventKind::MoveFinished, "move-finished"},
         {EventKind::WaveStarted, "wave-started"},
         {EventKind::WavePaused, "wave-paused"},
         {EventKind::WaveResumed, "wave-resumed"},
         {EventKind::WaveFinished, "wave-finished"},
         {EventKind::TaskPlaced, "task-placed"},
         {EventKind::TaskRefused, "task-refused"},
         {EventKind::WorkerQuarantined, "worker-set-aside"},
         {EventKind::BackendEjected, "backend-ejected"},
         {EventKind::BackendRestored, "backend-restored"},
         {EventKind::ConnectionSilent, "connection-silent"},
         {EventKind::SheddingStarted, "shedding-started"},
         {EventKind::SheddingStopped, "shedding-stopped"},
         {EventKind::LeaseLost, "lease-lost"}}};

bool parseKind(std::string_view text, EventKind &kind)
{
    for (const auto &it : kindNames) {
        if (it.second == text) {
            kind = it.first;
            return true;
        }
    }
    return false;
}

} // namespace internal

std::string_view toText(EventKind kind)
{
    for (const auto &it : internal::kindNames) {
        if (it.first == kind)
            return it.second;
    }
    return "unknown";
}

Timeline::Timeline(std::string process, std::size_t capacity)
    : m_process(std::move(process))
    , m_capacity(capacity)
{
}

void Timeline::record(EventKind kind, std::string_view subject, std::string_view detail)
{
    const std::lock_guard lock(m_mutex);
    const HybridTime time = m_clock.tick(unixMilliseconds());
    m_events.push_back({time, m_process, kind, std::string(subject), std::string(detail)});
    if (m_events.size() > m_capacity) {
        m_events.pop_front();
        ++m_dropped;
    }
}

HybridTime Timeline::stamp()
{
    const std::lock_guard lock(m_mutex);
    return m_clock.tick(unixMilliseconds());
}

void Timeline::observe(const HybridTime &remote)
{
    const std::lock_guard lock(m_mutex);
    m_clock.receive(remote, unixMilliseconds());
}

std::vector<Event> Timeline::events() const
{
    const std::lock_guard lock(m_mutex);
    return {m_events.begin(), m_events.end()};
}

std::size_t Timeline::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

std::vector<Event> mergeEvents(std::vector<Event> events)
{
    std::stable_sort(events.begin(), events.end(), [](const Event &a, const Event &b) {
        return std::tie(a.time, a.process) < std::tie(b.time, b.process);
    });
    return events;
}

std::string eventsToJson(std::span<const Event> events)
{
    auto array = nlohmann::json::array();
    for (const auto &it : events) {
        array.push_back({{"wall_ms", it.time.wallMs},
                         {"counter", it.time.counter},
                         {"process", it.process},
                         {"kind", toText(it.kind)},
                         {"subject", it.subject},
                         {"detail", it.detail}});
    }
    return array.dump();
}

Result<std::vector<Event>> eventsFromJson(std::string_view text)
{
    const auto array = nlohmann::json::parse(text, nullptr, false);
    if (!array.is_array())
        return Error(ErrorKind::Corrupt, "timeline is not a JSON array");
    std::vector<Event> events;
    try {
        for (const auto &it : array) {
            Event event;
            it.at("wall_ms").get_to(event.time.wallMs);
            it.at("counter").get_to(event.time.counter);
            it.at("process").get_to(event.process);
            it.at("subject").get_to(event.subject);
            it.at("detail").get_to(event.detail);
            const auto kind = it.at("kind").get<std::string>();
            if (!internal::parseKind(kind, event.kind))
                return Error(ErrorKind::Corrupt, "timeline has unknown event kind " + kind);
            events.push_back(std::move(event));
        }
    } catch (const nlohmann::json::exception &e) {
        return Error(ErrorKind::Corrupt, e.what());
    }
    return events;
}

std::string eventsToText(std::span<const Event> events)
{
    std::string text;
    for (const auto &it : events) {
        text += std::to_string(it.time.wallMs) + "." + std::to_string(it.time.counter) + "  "
                + it.process + "  " + std::string(toText(it.kind)) + "  " + it.subject;
        if (!it.detail.empty())
            text += "  " + it.detail;
        text += '\n';
    }
    return text;
}

std::string eventsToChromeTrace(std::span<const Event> events)
{
    constexpr std::int64_t microsecondsPerMillisecond = 1000;
    std::map<std::string, int> rows;
    auto array = nlohmann::json::array();
    for (const auto &it : events) {
        const auto [row, isNew] = rows.try_emplace(it.process, static_cast<int>(rows.size()) + 1);
        if (isNew) {
            array.push_back({{"ph", "M"},
                             {"name", "process_name"},
                             {"pid", row->second},
                             {"args", {{"name", it.process}}}});
        }
        const auto offset = std::min<std::int64_t>(it.time.counter, microsecondsPerMillisecond - 1);
        array.push_back({{"ph", "i"},
                         {"s", "p"},
                         {"name", std::string(toText(it.kind)) + " " + it.subject},
                         {"pid", row->second},
                         {"tid", 1},
                         {"ts", it.time.wallMs * microsecondsPerMillisecond + offset},
                         {"args", {{"subject", it.subject}, {"detail", it.detail}}}});
    }
    return nlohmann::json{{"traceEvents", array}}.dump();
}

} // namespace dragonflysill
