#include "dragonflysill/jobs/poolbalancer.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>
#include <vector>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** Time constant for smoothing the arrival rate; short, so that a burst is detected early. */
constexpr Duration rateTimeConstant = 300ms;
/** Time constant of the slower average of the rate, whose difference to the first one is its trend.
 */
constexpr Duration trendTimeConstant = 800ms;
/** Time for which a rising rate is extrapolated: a move and the first contact with the worker. */
constexpr Duration moveLead = 2100ms;
/** Fraction of an instance's cores that tasks of different sizes can use. */
constexpr double packing = 0.85;
/** The same fraction of its memory; the tasks that need most of it leave larger gaps. */
constexpr double memoryPacking = 0.75;
/**
 * Spare instances of a pool, as a fraction of an even share of all instances, as far as there are
 * enough. They take the start of a burst until other instances have arrived.
 */
constexpr double spareShare = 0.45;
/** Time for which a pool must have fewer instances than needed before it gets more. */
constexpr Duration shortageDelay = 100ms;
/**
 * Time for which a task must exceed all instances of its pool before the pool gets another one; the
 * worker of an instance that has arrived is asked for its state in that time.
 */
constexpr Duration lackingDelay = 500ms;
/** Tolerance for the rounding of sums of shares. */
constexpr double shareRounding = 1e-6;
/** Time for which a pool must have fewer instances than its target before it gets more. */
constexpr Duration belowTargetDelay = 1000ms;
/**
 * Instances that were needed within this time are not moved to standby: when the demand of one pool
 * ends, that of another often begins, and a move back from standby takes as long as any move.
 */
constexpr Duration activeRetention = 6000ms;
/** Time for which an instance must be idle before it is moved to standby. */
constexpr Duration idleTimeBeforeStandby = 1200ms;

/** Time for which a pool must have more than its share of the fleet before it yields instances. */
constexpr Duration yieldDelay = 300ms;

/** Returns the confidence (0 to 1) in a rate based on this many arrivals of random size. */
double confidence(double jobs)
{
    return jobs <= 1 ? 0 : 1 - 1 / std::sqrt(jobs);
}

/**
 * Limits demands to what is available: the largest ones are lowered to the same level, so that
 * small ones are met and an overestimated one takes nothing from them.
 * @return what is left
 */
int limitToShares(std::vector<int> &demands, int available)
{
    std::vector<int *> byDemand;
    byDemand.reserve(demands.size());
    for (auto &it : demands)
        byDemand.push_back(&it);
    std::ranges::sort(byDemand, {}, [](const int *it) { return *it; });
    auto open = static_cast<int>(byDemand.size());
    for (auto *it : byDemand) {
        *it = std::min(*it, available / open);
        available -= *it;
        --open;
    }
    return available;
}

} // namespace internal

double PoolBalancer::share(const InstanceView &instance) const
{
    const double cores = static_cast<double>(instance.milliCores) / 1000 / m_coresPerInstance;
    const double memory = static_cast<double>(instance.memoryMb) / m_memoryPerInstance;
    return m_memoryPerInstance > 1 ? std::min(cores, memory) : cores;
}

int PoolBalancer::shortage(const Demand &demand)
{
    return std::max(0, static_cast<int>(std::ceil(demand.needed - demand.capable
                                                  - internal::shareRounding)));
}

void PoolBalancer::countInstances(const FleetView &fleet)
{
    m_coresPerInstance = 1;
    m_memoryPerInstance = 1;
    for (const auto &it : fleet.instances) {
        m_coresPerInstance
                = std::max(m_coresPerInstance, static_cast<double>(it.milliCores) / 1000);
        m_memoryPerInstance = std::max(m_memoryPerInstance, static_cast<double>(it.memoryMb));
    }
    std::erase_if(m_demand, [&](const auto &it) { return !fleet.load.contains(it.first); });
    for (auto &[pool, demand] : m_demand) {
        demand.present = 0;
        demand.capable = 0;
        demand.arriving = 0;
    }
    double capable = 0;
    for (const auto &it : fleet.instances)
        capable += it.quarantined ? 0 : share(it);
    m_capableInstances = static_cast<int>(std::ceil(capable - internal::shareRounding));
    for (const auto &it : fleet.instances) {
        if (!fleet.load.contains(it.pool) || it.draining || it.leaving
            || (!it.usable && !it.orderPending))
            continue;
        auto &demand = m_demand[it.pool];
        ++demand.present;
        demand.arriving += static_cast<int>(it.orderPending);
        if (it.orderPending || !it.quarantined)
            demand.capable += share(it);
    }
}

void PoolBalancer::updateDemand(const FleetView &fleet, TimePoint now)
{
    countInstances(fleet);
    int total = 0;
    const auto instancesFor = [&](double cores, std::int64_t memoryMb) {
        const double byCores = cores / (m_coresPerInstance * internal::packing);
        const double byMemory = m_memoryPerInstance > 1
                                        ? static_cast<double>(memoryMb)
                                                  / (m_memoryPerInstance * internal::memoryPacking)
                                        : 0;
        return static_cast<int>(std::ceil(std::max(byCores, byMemory)));
    };
    for (const auto &[pool, load] : fleet.load) {
        auto &demand = m_demand[pool];
        updateArrivalRate(demand, load, now);
        const double present
                = static_cast<double>(load.waitingMilliCores + load.runningMilliCores) / 1000;
        const double expected = expectedRate(demand) * internal::confidence(demand.jobs);
        demand.needed
                = std::max(load.spread, instancesFor(std::max(present, expected), load.memoryMb));
        const double inTime = present - static_cast<double>(load.lateMilliCores) / 1000;
        demand.inTime = std::max(load.spread, instancesFor(std::max(inTime, expected),
                                                           load.memoryMb - load.lateMemoryMb));
        total += demand.needed;
    }
    const auto instances = static_cast<double>(fleet.instances.size());
    const auto pools = static_cast<double>(std::max<std::size_t>(1, fleet.load.size()));
    const double spare = std::clamp((instances - total) / pools, 0.0,
                                    internal::spareShare * instances / pools);
    updateActiveInstances(total + static_cast<int>(spare) * static_cast<int>(fleet.load.size()),
                          now);
    m_overloaded = total > m_capableInstances;
    if (m_overloaded)
        shareInstances(m_capableInstances);
    for (auto &[pool, demand] : m_demand) {
        if (!m_overloaded || demand.present <= demand.needed)
            demand.aboveShareSince = now;
        demand.target = demand.needed + static_cast<int>(spare);
        if (shortage(demand) == 0)
            demand.shortSince = now;
        const int arriving = demand.arriving;
        if (std::ranges::none_of(fleet.load.at(pool).lacking,
                                 [arriving](const auto &it) { return it.count > arriving; }))
            demand.lackingSince = now;
        if (demand.present >= demand.target)
            demand.belowTargetSince = now;
    }
}

void PoolBalancer::shareInstances(int instances)
{
    std::vector<int> inTime;
    std::vector<int> late;
    for (const auto &[pool, demand] : m_demand) {
        inTime.push_back(demand.inTime);
        late.push_back(demand.needed - demand.inTime);
    }
    const auto left = internal::limitToShares(inTime, instances);
    internal::limitToShares(late, left);
    std::size_t n = 0;
    for (auto &[pool, demand] : m_demand) {
        demand.needed = inTime[n] + late[n];
        ++n;
    }
}

void PoolBalancer::chooseYielding(const FleetView &fleet, TimePoint now)
{
    int shortage = 0;
    std::map<std::string, int> excess;
    for (const auto &[pool, demand] : m_demand) {
        shortage += PoolBalancer::shortage(demand);
        if (now - demand.aboveShareSince >= internal::yieldDelay)
            excess[pool]
                    = static_cast<int>(demand.capable + internal::shareRounding) - demand.needed;
    }
    if (shortage == 0 || excess.empty()) {
        m_yielding.clear();
        return;
    }
    std::vector<const InstanceView *> candidates;
    for (const auto &it : fleet.instances) {
        if (it.usable && !it.leaving && !it.draining && !it.orderPending && !it.possiblyOrdered
            && !it.hasPersistentTasks && excess.contains(it.pool))
            candidates.push_back(&it);
    }
    // An instance that has begun to yield goes on, since it will be empty first.
    std::stable_partition(candidates.begin(), candidates.end(),
                          [this](const InstanceView *it) { return m_yielding.contains(it->name); });
    std::set<std::string> chosen;
    for (const auto *it : candidates) {
        if (shortage == 0)
            break;
        if (excess[it->pool]-- <= 0)
            continue;
        chosen.insert(it->name);
        --shortage;
    }
    m_yielding = std::move(chosen);
}

void PoolBalancer::updateActiveInstances(int total, TimePoint now)
{
    while (!m_totalNeeds.empty() && m_totalNeeds.back().second <= total)
        m_totalNeeds.pop_back();
    m_totalNeeds.emplace_back(now, total);
    while (now - m_totalNeeds.front().first > internal::activeRetention)
        m_totalNeeds.pop_front();
    m_activeInstances = m_totalNeeds.front().second;
}

bool PoolBalancer::needsInstance(const Demand &demand, TimePoint now) const
{
    return (shortage(demand) > 0 && now - demand.shortSince >= internal::shortageDelay)
           || (demand.present < demand.target
               && now - demand.belowTargetSince >= internal::belowTargetDelay);
}

void PoolBalancer::updateArrivalRate(Demand &demand, const PoolLoad &load, TimePoint now) const
{
    if (demand.measuredAt != TimePoint{} && now > demand.measuredAt) {
        const double passed = toSeconds(now - demand.measuredAt);
        const double rate = (load.arrivedWork - demand.arrivedWork) / passed;
        const double weight = 1 - std::exp(-passed / toSeconds(internal::rateTimeConstant));
        demand.rate += weight * (rate - demand.rate);
        const double slowWeight = 1 - std::exp(-passed / toSeconds(internal::trendTimeConstant));
        demand.slowRate += slowWeight * (rate - demand.slowRate);
        demand.jobs = demand.jobs * (1 - weight)
                      + static_cast<double>(load.arrivedJobs - demand.arrivedJobs);
    }
    demand.arrivedWork = load.arrivedWork;
    demand.arrivedJobs = load.arrivedJobs;
    demand.measuredAt = now;
}

double PoolBalancer::expectedRate(const Demand &demand)
{
    const double trend = (demand.rate - demand.slowRate)
                         / toSeconds(internal::trendTimeConstant - internal::rateTimeConstant);
    return demand.rate + std::max(0.0, trend) * toSeconds(internal::moveLead);
}

int PoolBalancer::neededInstances(const std::string &pool) const
{
    const auto it = m_demand.find(pool);
    return it == m_demand.end() ? 0 : it->second.needed;
}

std::map<std::string, double, std::less<>> PoolBalancer::obtainableCores() const
{
    int left = m_capableInstances;
    for (const auto &[pool, demand] : m_demand)
        left -= demand.needed;
    std::map<std::string, double, std::less<>> cores;
    for (const auto &[pool, demand] : m_demand)
        cores[pool] = (demand.needed + std::max(0, left)) * m_coresPerInstance;
    return cores;
}

int PoolBalancer::presentInstances(const std::string &pool) const
{
    const auto it = m_demand.find(pool);
    return it == m_demand.end() ? 0 : it->second.present;
}

bool PoolBalancer::hasShortage(const std::string &pool) const
{
    const auto it = m_demand.find(pool);
    return it != m_demand.end() && shortage(it->second) > 0;
}

bool PoolBalancer::canBeMoved(const InstanceView &instance) const
{
    if (instance.orderPending || instance.possiblyOrdered || instance.draining || instance.leaving
        || instance.state != FleetInstance::State::Up)
        return false;
    if (instance.standby)
        return true;
    const auto it = m_demand.find(instance.pool);
    return instance.usable && instance.empty && it != m_demand.end()
           && it->second.present > it->second.target
           && it->second.capable - share(instance) >= it->second.needed;
}

const InstanceView *PoolBalancer::chooseInstance(const FleetView &fleet, const Ordered &ordered,
                                                 const std::string &pool,
                                                 const Resources &need) const
{
    const InstanceView *best = nullptr;
    for (const auto &it : fleet.instances) {
        if (it.pool == pool || !canBeMoved(it) || ordered.contains(&it)
            || it.milliCores < need.milliCores || it.memoryMb < need.memoryMb)
            continue;
        // Prefer idle instances of other pools, which would be moved anyway, to those in standby.
        // One that comes for a need that no present one meets should stay.
        const auto rank = [particular = need != Resources{}](const InstanceView &instance) {
            return std::tuple(particular && instance.awaitsMaintenance, instance.standby,
                              instance.idleSince);
        };
        if (best == nullptr || rank(it) < rank(*best))
            best = &it;
    }
    return best;
}

std::vector<MoveInstance> PoolBalancer::decide(const FleetView &fleet, TimePoint now)
{
    updateDemand(fleet, now);
    std::vector<MoveInstance> moves;
    Ordered ordered;
    const auto order = [&](const InstanceView &instance, const std::string &pool) {
        moves.push_back({instance.name, pool});
        if (!instance.standby) {
            auto &demand = m_demand[instance.pool];
            --demand.present;
            demand.capable -= instance.quarantined ? 0 : share(instance);
        }
        if (pool != fleet.standbyPool) {
            ++m_demand[pool].present;
            m_demand[pool].capable += share(instance);
        }
        ordered.insert(&instance);
    };
    for (auto &[pool, demand] : m_demand) {
        for (const auto &lacking : fleet.load.at(pool).lacking) {
            if (now - demand.lackingSince < internal::lackingDelay)
                break;
            for (; demand.arriving < lacking.count; ++demand.arriving) {
                const auto *it = chooseInstance(fleet, ordered, pool, lacking.need);
                if (it == nullptr)
                    break;
                order(*it, pool);
            }
        }
        while (needsInstance(demand, now)) {
            const auto *it = chooseInstance(fleet, ordered, pool, {});
            if (it == nullptr)
                break;
            order(*it, pool);
        }
    }
    chooseYielding(fleet, now);
    if (fleet.standbyPool.empty())
        return moves;
    int active = 0;
    for (const auto &[pool, demand] : m_demand)
        active += demand.present;
    for (const auto &it : fleet.instances) {
        if (active > m_activeInstances && !it.standby && canBeMoved(it) && !ordered.contains(&it)
            && now - it.idleSince >= internal::idleTimeBeforeStandby) {
            order(it, fleet.standbyPool);
            --active;
        }
    }
    return moves;
}

} // namespace dragonflysill
