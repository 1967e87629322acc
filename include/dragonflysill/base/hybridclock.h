#pragma once

#include <compare>
#include <cstdint>

namespace dragonflysill {

/** A hybrid logical time stamp: wall time in milliseconds, then a counter. */
struct HybridTime
{
    std::int64_t wallMs = 0;
    std::uint32_t counter = 0;

    auto operator<=>(const HybridTime &) const = default;
};

/**
 * A hybrid logical clock (Kulkarni, Demirbas, et al., "Logical Physical Clocks", 2014). Events of
 * all processes are ordered consistently with the messages between them, even when the machines'
 * clocks differ. Not thread-safe; the owner guards it.
 */
class HybridClock
{
public:
    /** Returns the stamp of a local event or a message to send at wall time @p wallMs. */
    HybridTime tick(std::int64_t wallMs);

    /** Merges the stamp of a received message and returns the stamp of its receipt. */
    HybridTime receive(const HybridTime &remote, std::int64_t wallMs);

private:
    HybridTime m_last;
};

} // namespace dragonflysill
