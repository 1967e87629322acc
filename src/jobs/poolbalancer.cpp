#include "dragonflysill/jobs/poolbalancer.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** Time constant of the arrival rate: short, so that a burst is seen early. */
constexpr Duration rateMemory = 300ms;
/** Part of an instance's cores that tasks of uneven sizes can fill. */
constexpr double packing = 0.85;
/**
 * Part of an even share of all instances that a pool keeps beyond its need, as far as there are
 * enough: it bears the start of a burst until others have arrived.
 */
constexpr double spareShare = 0.45;
/** How long a pool must be short before it gets instances for its load, and for the start of a
 * burst. */
constexpr Duration shortTime = 100ms;
constexpr Duration belowTargetTime = 1000ms;
/**
 * Instances that were needed within this time stay out of standby: when the demand of one pool
 * ends, that of another begins, and the way back from standby takes as long as any move.
 */
constexpr Duration awakeTime = 6000ms;
/** An instance that has been idle for this long is moved to standby. */
constexpr Duration idleTime = 1200ms;

/** Returns how far a rate can be relied on that @p jobs arrivals of random size speak for. */
double confidence(double jobs)
{
    return jobs <= 1 ? 0 : 1 - 1 / std::sqrt(jobs);
}

} // namespace internal

void PoolBalancer::measure(const FleetView &fleet, TimePoint now)
{
    double coresPerInstance = 1;
    std::erase_if(m_demand, [&](const auto &it) { return !fleet.load.contains(it.first); });
    for (auto &[pool, demand] : m_demand)
        demand.present = 0;
    for (const auto &it : fleet.instances) {
        coresPerInstance = std::max(coresPerInstance, static_cast<double>(it.milliCores) / 1000);
        if (fleet.load.contains(it.pool) && !it.draining && !it.leaving
            && (it.usable || it.orderPending))
            ++m_demand[it.pool].present;
    }
    int total = 0;
    for (const auto &[pool, load] : fleet.load) {
        auto &demand = m_demand[pool];
        measureArrivals(demand, load, now);
        const double present
                = static_cast<double>(load.waitingMilliCores + load.runningMilliCores) / 1000;
        const double cores = std::max(present, demand.rate * internal::confidence(demand.jobs));
        demand.needed = std::max(
                load.spread,
                static_cast<int>(std::ceil(cores / (coresPerInstance * internal::packing))));
        total += demand.needed;
    }
    const auto instances = static_cast<double>(fleet.instances.size());
    const auto pools = static_cast<double>(std::max<std::size_t>(1, fleet.load.size()));
    const double spare = std::clamp((instances - total) / pools, 0.0,
                                    internal::spareShare * instances / pools);
    keepAwake(total + static_cast<int>(spare) * static_cast<int>(fleet.load.size()), now);
    for (auto &[pool, demand] : m_demand) {
        demand.target = demand.needed + static_cast<int>(spare);
        if (demand.present >= demand.needed)
            demand.shortSince = now;
        if (demand.present >= demand.target)
            demand.belowTargetSince = now;
    }
}

void PoolBalancer::keepAwake(int total, TimePoint now)
{
    while (!m_totals.empty() && m_totals.back().second <= total)
        m_totals.pop_back();
    m_totals.emplace_back(now, total);
    while (now - m_totals.front().first > internal::awakeTime)
        m_totals.pop_front();
    m_awake = m_totals.front().second;
}

bool PoolBalancer::wants(const Demand &demand, TimePoint now) const
{
    return (demand.present < demand.needed && now - demand.shortSince >= internal::shortTime)
           || (demand.present < demand.target
               && now - demand.belowTargetSince >= internal::belowTargetTime);
}

void PoolBalancer::measureArrivals(Demand &demand, const PoolLoad &load, TimePoint now) const
{
    if (demand.measuredAt != TimePoint{} && now > demand.measuredAt) {
        const double passed = toSeconds(now - demand.measuredAt);
        const double rate = (load.arrivedWork - demand.arrivedWork) / passed;
        const double weight = 1 - std::exp(-passed / toSeconds(internal::rateMemory));
        demand.rate += weight * (rate - demand.rate);
        demand.jobs = demand.jobs * (1 - weight)
                      + static_cast<double>(load.arrivedJobs - demand.arrivedJobs);
    }
    demand.arrivedWork = load.arrivedWork;
    demand.arrivedJobs = load.arrivedJobs;
    demand.measuredAt = now;
}

int PoolBalancer::neededInstances(const std::string &pool) const
{
    const auto it = m_demand.find(pool);
    return it == m_demand.end() ? 0 : it->second.needed;
}

int PoolBalancer::presentInstances(const std::string &pool) const
{
    const auto it = m_demand.find(pool);
    return it == m_demand.end() ? 0 : it->second.present;
}

bool PoolBalancer::hasShortage(const std::string &pool) const
{
    const auto it = m_demand.find(pool);
    return it != m_demand.end() && it->second.needed > it->second.present;
}

bool PoolBalancer::spareable(const InstanceView &instance) const
{
    if (instance.orderPending || instance.possiblyOrdered || instance.draining || instance.leaving
        || instance.state != FleetInstance::State::Up)
        return false;
    if (instance.standby)
        return true;
    const auto it = m_demand.find(instance.pool);
    return instance.usable && instance.empty && it != m_demand.end()
           && it->second.present > it->second.target;
}

const InstanceView *PoolBalancer::donor(const FleetView &fleet, const std::string &pool) const
{
    const InstanceView *best = nullptr;
    for (const auto &it : fleet.instances) {
        if (it.pool == pool || !spareable(it))
            continue;
        // An idle instance of another pool would be moved anyway; standby is the second choice.
        if (best == nullptr
            || std::pair(it.standby, it.idleSince) < std::pair(best->standby, best->idleSince))
            best = &it;
    }
    return best;
}

std::vector<MoveInstance> PoolBalancer::decide(const FleetView &fleet, TimePoint now)
{
    measure(fleet, now);
    std::vector<MoveInstance> moves;
    auto remaining = fleet;
    const auto order = [&](const InstanceView &instance, const std::string &pool) {
        const std::string name = instance.name;
        moves.push_back({name, pool});
        if (!instance.standby)
            --m_demand[instance.pool].present;
        if (pool != fleet.standbyPool)
            ++m_demand[pool].present;
        std::ranges::find(remaining.instances, name, &InstanceView::name)->orderPending = true;
    };
    for (auto &[pool, demand] : m_demand) {
        while (wants(demand, now)) {
            const auto *it = donor(remaining, pool);
            if (it == nullptr)
                break;
            order(*it, pool);
        }
    }
    if (fleet.standbyPool.empty())
        return moves;
    int awake = 0;
    for (const auto &[pool, demand] : m_demand)
        awake += demand.present;
    for (const auto &it : remaining.instances) {
        if (awake > m_awake && !it.standby && spareable(it)
            && now - it.idleSince >= internal::idleTime) {
            order(it, fleet.standbyPool);
            --awake;
        }
    }
    return moves;
}

} // namespace dragonflysill
