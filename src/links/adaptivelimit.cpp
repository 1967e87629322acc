#include "dragonflysill/links/adaptivelimit.h"

#include <algorithm>

namespace dragonflysill {

namespace internal {

// A larger increase causes more refusals per success, a smaller one leaves freed slots idle longer.
constexpr double increase = 0.25;
constexpr double decrease = 0.85;

} // namespace internal

AdaptiveLimit::AdaptiveLimit(int initial, int maximum)
    : m_limit(std::clamp(initial, 1, std::max(1, maximum)))
    , m_maximum(std::max(1, maximum))
{
}

void AdaptiveLimit::succeeded(int inFlight)
{
    if (inFlight < value())
        return; // The limit was not reached, so the success says nothing about a higher one.
    m_limit = std::min(m_maximum, m_limit + internal::increase / m_limit);
}

void AdaptiveLimit::refused(int inFlight)
{
    const double reached = std::min(m_limit, static_cast<double>(inFlight));
    m_limit = std::max(1.0, reached * internal::decrease);
}

void AdaptiveLimit::setMaximum(int maximum)
{
    m_maximum = std::max(1, maximum);
    m_limit = std::min(m_limit, m_maximum);
}

} // namespace dragonflysill
