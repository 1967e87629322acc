#pragma once

#include <compare>
#include <cstdint>

namespace dragonflysill {

/** A hybrid logical time stamp, ordered by wall time and then by counter. */
struct HybridTime
{
    std::int64_t wallMs = 0; ///< Milliseconds since the Unix epoch.
    std::uint32_t counter = 0; ///< Orders time stamps with the same wall time.

    auto operator<=>(const HybridTime &) const = default;
};

/**
 * A hybrid logical clock (Kulkarni, Demirbas, et al., "Logical Physical Clocks", 2014). Its time
 * stamps order every message's sending before its receipt, even if the clocks of the processes
 * differ. Not thread-safe; the owner must synchronize access.
 */
class HybridClock
{
public:
    /** Returns the time stamp of a local event, or of a message to send, at wall time @p wallMs. */
    HybridTime tick(std::int64_t wallMs);

    /** Merges the time stamp of a received message and returns the time stamp of the receipt. */
    HybridTime receive(const HybridTime &remote, std::int64_t wallMs);

private:
    HybridTime m_last;
};

} // namespace dragonflysill
