#include "dragonflysill/jobs/pacing.h"

#include <algorithm>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** Ratio of tail latency to target above which best-effort tasks are slowed down. */
constexpr double slowThreshold = 0.9;
/** Ratio below which best-effort tasks may be sped up. */
constexpr double raiseThreshold = 0.65;
/** Time until a change of pace shows in the latency, which is measured over half a second. */
constexpr Duration effectDelay = 700ms;
/** Time for which the ratio must be low before the pace is raised. */
constexpr Duration raiseDelay = 1500ms;
/** Percentage points by which the pace is raised at a time. */
constexpr int raiseStep = 15;
/** Pace after the first reduction, in percent; the second one reduces it to 0. */
constexpr int reducedPercent = 30;

} // namespace internal

void Pacing::observe(double worstRatio, TimePoint now)
{
    if (worstRatio >= internal::raiseThreshold)
        m_belowThresholdSince = now;
    if (now - m_changedAt < internal::effectDelay)
        return;
    if (worstRatio > internal::slowThreshold && m_percent > 0) {
        m_percent = m_percent > internal::reducedPercent ? internal::reducedPercent : 0;
        m_changedAt = now;
    } else if (m_percent < 100 && now - m_belowThresholdSince >= internal::raiseDelay) {
        m_percent = std::min(100, m_percent + internal::raiseStep);
        m_changedAt = now;
        m_belowThresholdSince = now;
    }
}

} // namespace dragonflysill
