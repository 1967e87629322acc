#include "dragonflysill/links/backendhealth.h"

#include <algorithm>

namespace dragonflysill {

HealthChange BackendHealth::note(AttemptResult result, bool freshConnection)
{
    switch (result) {
    case AttemptResult::Success:
        return noteSuccess();
    case AttemptResult::Silent:
        return noteSilence(freshConnection);
    case AttemptResult::ConnectFailed:
    case AttemptResult::Failed:
        return noteFailure();
    case AttemptResult::Refused:
    case AttemptResult::Abandoned:
        return HealthChange::None;
    }
    return HealthChange::None;
}

HealthChange BackendHealth::noteSuccess()
{
    const bool restored = m_state != HealthState::Normal && m_consecutiveEjections > 0;
    m_state = HealthState::Normal;
    m_consecutiveFailures = 0;
    m_consecutiveEjections = 0;
    return restored ? HealthChange::Restored : HealthChange::None;
}

HealthChange BackendHealth::noteSilence(bool freshConnection)
{
    if (m_state == HealthState::Checking && freshConnection)
        return HealthChange::WantsEjection;
    if (m_state == HealthState::Normal)
        m_state = HealthState::Checking;
    return HealthChange::None;
}

HealthChange BackendHealth::noteFailure()
{
    ++m_consecutiveFailures;
    const bool failedCheck = m_state == HealthState::Checking;
    const bool wants = failedCheck || m_consecutiveFailures >= failureLimit;
    return wants && m_state != HealthState::Ejected ? HealthChange::WantsEjection
                                                    : HealthChange::None;
}

void BackendHealth::eject(TimePoint now)
{
    constexpr int maxDoublings = 5;
    const int factor = 1 << std::min(m_consecutiveEjections, maxDoublings);
    m_ejectedUntil = now + std::min(firstEjection * factor, longestEjection);
    m_state = HealthState::Ejected;
    m_consecutiveFailures = 0;
    ++m_consecutiveEjections;
}

HealthState BackendHealth::state(TimePoint now)
{
    if (m_state == HealthState::Ejected && now >= m_ejectedUntil)
        m_state = HealthState::Checking;
    return m_state;
}

} // namespace dragonflysill
