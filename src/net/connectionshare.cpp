#include "dragonflysill/net/connectionshare.h"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** A caller that has connected sends its request within this time, also on a slow link. */
constexpr Duration connectionGrace = 1s;
/** Room is made for more than the last read, so that not every read searches all connections. */
constexpr std::size_t roomDivisor = 8;

/** Returns whether a connection may be closed without an unknown outcome. */
bool isUnfinished(ConnectionPhase phase)
{
    return phase == ConnectionPhase::Receiving || phase == ConnectionPhase::Sending;
}

} // namespace internal

std::string_view closeCauseName(CloseCause cause)
{
    static constexpr std::array<std::string_view, closeCauseCount> names{
            "memory",           "connections",  "header-timeout", "body-timeout",
            "response-timeout", "idle-timeout", "too-large",      "malformed"};
    return names.at(static_cast<std::size_t>(cause));
}

std::optional<ConnectionShare::Id> ConnectionShare::open(std::size_t idleBytes, TimePoint now,
                                                         Refuse refuse)
{
    if (m_limits.connections != 0 && m_entries.size() >= m_limits.connections) {
        const auto victim = mostDispensable(now);
        countClosed(CloseCause::Connections);
        if (victim == m_entries.end())
            return std::nullopt;
        const auto close = std::move(victim->second.refuse);
        this->close(victim->first);
        close(CloseCause::Connections);
    }
    const auto id = ++m_lastId;
    m_entries[id] = {ConnectionPhase::Idle, 0, idleBytes, now, false, std::move(refuse)};
    update(id, ConnectionPhase::Idle, idleBytes, now);
    return id;
}

void ConnectionShare::update(Id id, ConnectionPhase phase, std::size_t bytes, TimePoint now)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end() || it->second.phase == ConnectionPhase::Closing)
        return;
    auto &entry = it->second;
    entry.served = entry.served || (phase == ConnectionPhase::Idle && entry.phase != phase);
    if (std::exchange(entry.phase, phase) != phase)
        entry.since = now;
    m_bytes += bytes;
    m_bytes -= std::exchange(entry.bytes, bytes);
    m_peakBytes = std::max(m_peakBytes, m_bytes);
    makeRoom(now);
}

void ConnectionShare::close(Id id)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end())
        return;
    m_bytes -= it->second.bytes;
    m_entries.erase(it);
}

void ConnectionShare::makeRoom(TimePoint now)
{
    if (m_limits.bytes == 0 || m_bytes <= m_limits.bytes || std::exchange(m_makingRoom, true))
        return;
    while (m_bytes > m_limits.bytes - m_limits.bytes / internal::roomDivisor) {
        const auto victim = largestHolder(now);
        if (victim == m_entries.end())
            break;
        auto &entry = victim->second;
        // Its memory returns before anything else is read.
        m_bytes -= std::exchange(entry.bytes, 0);
        entry.phase = ConnectionPhase::Closing;
        entry.since = now;
        countClosed(CloseCause::Memory);
        const auto refuse = entry.refuse;
        refuse(CloseCause::Memory);
    }
    m_makingRoom = false;
}

ConnectionShare::Entries::iterator ConnectionShare::largestHolder(TimePoint now)
{
    auto largest = m_entries.end();
    double largestProduct = 0;
    for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
        const auto &entry = it->second;
        if (!internal::isUnfinished(entry.phase) || entry.bytes <= entry.idleBytes)
            continue;
        const auto held = std::max<Duration>(now - entry.since, std::chrono::milliseconds(1));
        const auto product = toSeconds(held) * static_cast<double>(entry.bytes - entry.idleBytes);
        if (product > largestProduct) {
            largest = it;
            largestProduct = product;
        }
    }
    return largest;
}

ConnectionShare::Entries::iterator ConnectionShare::mostDispensable(TimePoint now)
{
    using Rank = std::tuple<int, bool, Duration>;
    const auto rank = [now](const Entry &entry) -> Rank {
        const auto time = now - entry.since;
        const bool late = time >= internal::connectionGrace;
        if (entry.phase == ConnectionPhase::Closing)
            return {5, false, time};
        if (entry.phase == ConnectionPhase::Idle)
            return {late ? 4 : 2, !entry.served, time};
        if (internal::isUnfinished(entry.phase))
            return {late ? 3 : 1, false, time};
        return {0, false, time};
    };
    auto best = m_entries.end();
    Rank bestRank{0, true, Duration::max()};
    for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
        if (const auto candidate = rank(it->second); candidate > bestRank) {
            best = it;
            bestRank = candidate;
        }
    }
    return best;
}

} // namespace dragonflysill
