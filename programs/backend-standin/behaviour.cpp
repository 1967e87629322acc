#include "behaviour.h"

#include <algorithm>
#include <cmath>

namespace dragonflysill {

namespace internal {

/** Exponent of the Pareto distribution; above 1, the mean is finite despite the heavy tail. */
constexpr double paretoExponent = 1.5;
/** Upper bound of the heavy-tailed service time, as a multiple of the mean. */
constexpr double paretoLimit = 100;

} // namespace internal

double ServiceTime::draw(Random &random) const
{
    switch (shape) {
    case Shape::Fixed:
        return meanMs;
    case Shape::Exponential:
        return random.exponential(meanMs);
    case Shape::HeavyTail: {
        const double scale = meanMs * (internal::paretoExponent - 1) / internal::paretoExponent;
        const double value = scale / std::pow(1 - random.unit(), 1 / internal::paretoExponent);
        return std::min(value, meanMs * internal::paretoLimit);
    }
    }
    return meanMs;
}

void Behaviour::change(const nlohmann::json &json)
{
    const std::lock_guard lock(m_mutex);
    m_settings.slowFactor = json.value("slow_factor", m_settings.slowFactor);
    m_settings.failRate = json.value("fail_rate", m_settings.failRate);
    m_settings.dropRate = json.value("drop_rate", m_settings.dropRate);
    m_settings.lateRate = json.value("late_rate", m_settings.lateRate);
    m_settings.lateMs = json.value("late_ms", m_settings.lateMs);
    m_settings.hang = json.value("hang", m_settings.hang);
    m_settings.halfOpen = json.value("half_open", m_settings.halfOpen);
    m_settings.refuse = json.value("refuse", m_settings.refuse);
}

BehaviourSettings Behaviour::settings() const
{
    const std::lock_guard lock(m_mutex);
    return m_settings;
}

RequestPlan Behaviour::plan()
{
    const std::lock_guard lock(m_mutex);
    double ms = m_serviceTime.draw(m_random) * m_settings.slowFactor;
    if (m_random.unit() < m_settings.lateRate)
        ms += m_random.unit() * m_settings.lateMs;
    RequestPlan plan;
    plan.serviceTime = std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000));
    plan.fails = m_random.unit() < m_settings.failRate;
    plan.drops = m_random.unit() < m_settings.dropRate;
    return plan;
}

nlohmann::json toJson(const BehaviourSettings &settings)
{
    return {{"slow_factor", settings.slowFactor}, {"fail_rate", settings.failRate},
            {"drop_rate", settings.dropRate},     {"late_rate", settings.lateRate},
            {"late_ms", settings.lateMs},         {"hang", settings.hang},
            {"half_open", settings.halfOpen},     {"refuse", settings.refuse}};
}

} // namespace dragonflysill
