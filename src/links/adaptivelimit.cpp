#include "dragonflysill/links/adaptivelimit.h"

#include <algorithm>

namespace dragonflysill {

AdaptiveLimit::AdaptiveLimit(int initial, int maximum)
    : m_limit(std::clamp(initial, 1, std::max(1, maximum)))
    , m_maximum(std::max(1, maximum))
{
}

bool AdaptiveLimit::requestSent(int inFlight, TimePoint now)
{
    if (inFlight <= m_limit)
        return false;
    m_limit = std::min(inFlight, m_maximum);
    m_nextTrial = now + m_pause;
    return true;
}

void AdaptiveLimit::trialSucceeded()
{
    m_refusals = 0;
    m_pause = minPause;
}

void AdaptiveLimit::requestRefused(int inFlight, Duration pause, TimePoint now)
{
    constexpr int maxDoublings = 4;
    m_limit = std::min(m_limit, std::max(0, inFlight - 1));
    const int factor = 1 << std::min(m_refusals, maxDoublings);
    m_pause = std::clamp<Duration>(pause * factor, minPause, maxPause);
    m_nextTrial = now + m_pause;
    ++m_refusals;
}

void AdaptiveLimit::setMaximum(int maximum)
{
    m_maximum = std::max(1, maximum);
    m_limit = std::min(m_limit, m_maximum);
}

int AdaptiveLimit::value(TimePoint now) const
{
    return std::min(m_maximum, now >= m_nextTrial ? m_limit + 1 : m_limit);
}

} // namespace dragonflysill
