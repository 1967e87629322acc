#include "dragonflysill/base/hybridclock.h"

#include <algorithm>

namespace dragonflysill {

HybridTime HybridClock::tick(std::int64_t wallMs)
{
    if (wallMs > m_last.wallMs)
        m_last = {wallMs, 0};
    else
        ++m_last.counter;
    return m_last;
}

HybridTime HybridClock::receive(const HybridTime &remote, std::int64_t wallMs)
{
    m_last = std::max(m_last, remote);
    return tick(wallMs);
}

} // namespace dragonflysill
