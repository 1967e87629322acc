#include "dragonflysill/links/backendhealth.h"

#include <algorithm>

namespace dragonflysill {

HealthChange BackendHealth::recordResult(AttemptResult result, bool freshConnection)
{
    switch (result) {
    case AttemptResult::Success:
        return recordSuccess();
    case AttemptResult::Silent:
        return recordSilence(freshConnection);
    case AttemptResult::ConnectFailed:
    case AttemptResult::Failed:
        return recordFailure();
    case AttemptResult::Refused:
    case AttemptResult::Abandoned:
        return HealthChange::None;
    }
    return HealthChange::None;
}

HealthChange BackendHealth::recordSuccess()
{
    const bool restored = m_state != HealthState::Normal && m_consecutiveEjections > 0;
    m_state = HealthState::Normal;
    m_consecutiveFailures = 0;
    m_consecutiveEjections = 0;
    return restored ? HealthChange::Restored : HealthChange::None;
}

HealthChange BackendHealth::recordSilence(bool freshConnection)
{
    if (m_state == HealthState::Probing && freshConnection)
        return HealthChange::EjectionRequested;
    if (m_state == HealthState::Normal)
        m_state = HealthState::Probing;
    return HealthChange::None;
}

HealthChange BackendHealth::recordFailure()
{
    ++m_consecutiveFailures;
    const bool failedCheck = m_state == HealthState::Probing;
    const bool requestsEjection = failedCheck || m_consecutiveFailures >= ejectionThreshold;
    return requestsEjection && m_state != HealthState::Ejected ? HealthChange::EjectionRequested
                                                               : HealthChange::None;
}

void BackendHealth::eject(TimePoint now)
{
    constexpr int maxDoublings = 5;
    const int factor = 1 << std::min(m_consecutiveEjections, maxDoublings);
    m_ejectedUntil = now + std::min(firstEjectionTime * factor, maxEjectionTime);
    m_state = HealthState::Ejected;
    m_consecutiveFailures = 0;
    ++m_consecutiveEjections;
}

HealthState BackendHealth::state(TimePoint now)
{
    if (m_state == HealthState::Ejected && now >= m_ejectedUntil)
        m_state = HealthState::Probing;
    return m_state;
}

} // namespace dragonflysill
