#include "dragonflysill/jobs/linkbudget.h"

#include <algorithm>
#include <chrono>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** Part of the bandwidth that may be used; the counted bytes are without headers of TCP and IP. */
constexpr double usableShare = 0.8;
/** Time of the usable bandwidth that may be saved up, or be overdrawn by other traffic. */
constexpr Duration maxUnused = 100ms;
constexpr Duration maxOverdrawn = 500ms;
/** Bytes in each direction that follow a start at once, before they are recorded. */
constexpr double bytesPerStart = 150;

} // namespace internal

LinkBudget::Direction::Direction(double usableBytesPerSecond)
    : m_rate(usableBytesPerSecond)
    , m_unused(usableBytesPerSecond * toSeconds(internal::maxUnused))
{
}

void LinkBudget::Direction::record(std::uint64_t total, Duration period)
{
    m_unused += m_rate * toSeconds(std::min(period, internal::maxUnused))
                - static_cast<double>(total - m_total);
    m_unused = std::clamp(m_unused, -m_rate * toSeconds(internal::maxOverdrawn),
                          m_rate * toSeconds(internal::maxUnused));
    m_total = total;
}

LinkBudget::LinkBudget(double bytesPerSecond)
    : m_limited(bytesPerSecond > 0)
    , m_sent(bytesPerSecond * internal::usableShare)
    , m_received(bytesPerSecond * internal::usableShare)
{
}

void LinkBudget::record(std::uint64_t sent, std::uint64_t received, TimePoint now)
{
    const auto period = now - m_recordedAt;
    m_sent.record(sent, period);
    m_received.record(received, period);
    m_recordedAt = now;
    m_started = 0;
}

int LinkBudget::starts(int limit) const
{
    if (!m_limited)
        return limit;
    const double starts
            = std::min(m_sent.unused(), m_received.unused()) / internal::bytesPerStart - m_started;
    return static_cast<int>(std::clamp(starts, 0.0, static_cast<double>(limit)));
}

} // namespace dragonflysill
