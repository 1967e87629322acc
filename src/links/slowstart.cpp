#include "dragonflysill/links/slowstart.h"

#include <algorithm>

namespace dragonflysill {

double SlowStart::share(TimePoint now) const
{
    constexpr double initialShare = 0.1;
    if (!m_started)
        return 1;
    const std::chrono::duration<double> elapsed = now - *m_started;
    return std::clamp(elapsed / std::chrono::duration<double>(rampTime), initialShare, 1.0);
}

} // namespace dragonflysill
