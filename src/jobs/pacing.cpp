#include "dragonflysill/jobs/pacing.h"

#include <algorithm>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** Ratio of tail latency to target above which filling tasks are slowed down. */
constexpr double slowAbove = 0.9;
/** Ratio below which they may be let go on. */
constexpr double raiseBelow = 0.65;
/** A changed pace shows in the measured half second only after this time. */
constexpr Duration settleTime = 700ms;
/** How long there must be room before the pace is raised. */
constexpr Duration calmTime = 1500ms;
/** Steps of the pace, in percent. */
constexpr int raiseStep = 15;
constexpr int firstCut = 30;

} // namespace internal

void Pacing::observe(double worstRatio, TimePoint now)
{
    if (worstRatio >= internal::raiseBelow)
        m_calmSince = now;
    if (now - m_changedAt < internal::settleTime)
        return;
    if (worstRatio > internal::slowAbove && m_percent > 0) {
        m_percent = m_percent > internal::firstCut ? internal::firstCut : 0;
        m_changedAt = now;
    } else if (m_percent < 100 && now - m_calmSince >= internal::calmTime) {
        m_percent = std::min(100, m_percent + internal::raiseStep);
        m_changedAt = now;
        m_calmSince = now;
    }
}

} // namespace dragonflysill
