#include "dragonflysill/jobs/maintenanceplanner.h"

#include <algorithm>
#include <tuple>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** Expected time to empty, take down and restart as many instances as may be down at once. */
constexpr Duration roundTime = 4000ms;
/** Maximum age of the list of instances. */
constexpr Duration listLag = 1000ms;
/** Expected time to move the tasks of an instance to others. */
constexpr Duration emptyingTime = 2500ms;
/** Maximum part of a pool's instances that a wave empties at the same time, and their minimum. */
constexpr double maxEmptyingShare = 0.08;
constexpr int minEmptying = 2;

int emptyingShare(int instances)
{
    return static_cast<int>(instances * maxEmptyingShare);
}

int maxEmptying(int instances)
{
    return std::max(minEmptying, emptyingShare(instances));
}

} // namespace internal

void MaintenancePlanner::addWave(const MaintenanceWave &wave, std::set<std::string> maintained,
                                 TimePoint now)
{
    if (m_waves.contains(wave.number))
        return;
    auto &it = m_waves[wave.number];
    it.request = wave;
    it.maintained = std::move(maintained);
    it.deadline = now + wave.duration;
}

void MaintenancePlanner::accepted(std::int64_t wave, const std::string &instance, TimePoint now)
{
    const auto it = m_waves.find(wave);
    if (it == m_waves.end())
        return;
    it->second.maintained.insert(instance);
    it->second.down[instance] = now;
}

void MaintenancePlanner::excluded(std::int64_t wave, const std::string &instance)
{
    const auto it = m_waves.find(wave);
    if (it != m_waves.end())
        it->second.maintained.insert(instance);
}

const std::set<std::string> &MaintenancePlanner::maintainedInstances(std::int64_t wave) const
{
    static const std::set<std::string> none;
    const auto it = m_waves.find(wave);
    return it == m_waves.end() ? none : it->second.maintained;
}

bool MaintenancePlanner::completed(std::int64_t wave) const
{
    const auto it = m_waves.find(wave);
    return it != m_waves.end() && it->second.completed;
}

const MaintenanceWave *MaintenancePlanner::request(std::int64_t wave) const
{
    const auto it = m_waves.find(wave);
    return it == m_waves.end() ? nullptr : &it->second.request;
}

TimePoint MaintenancePlanner::deadline(std::int64_t wave) const
{
    const auto it = m_waves.find(wave);
    return it == m_waves.end() ? TimePoint{} : it->second.deadline;
}

std::vector<std::int64_t> MaintenancePlanner::waves() const
{
    std::vector<std::int64_t> numbers;
    for (const auto &[number, wave] : m_waves)
        numbers.push_back(number);
    return numbers;
}

std::vector<std::int64_t> MaintenancePlanner::openWaves() const
{
    std::vector<std::int64_t> open;
    for (const auto &[number, wave] : m_waves) {
        if (!wave.completed)
            open.push_back(number);
    }
    return open;
}

MaintenanceDecision
MaintenancePlanner::decide(const FleetView &fleet,
                           const std::function<bool(const std::string &)> &hasShortage,
                           TimePoint now)
{
    MaintenanceDecision decision;
    if (openWaves().empty())
        return decision;
    InstancesByName instances;
    InstanceCounts poolSizes;
    for (const auto &it : fleet.instances) {
        instances.emplace(it.name, &it);
        ++poolSizes[it.pool];
    }
    for (auto &[number, wave] : m_waves) {
        if (!wave.completed)
            decideWave(wave, instances, poolSizes, hasShortage, now, decision);
    }
    return decision;
}

void MaintenancePlanner::updateDownInstances(Wave &wave, const InstanceView &instance,
                                             TimePoint now) const
{
    if (instance.state == FleetInstance::State::Maintenance) {
        // The order may have been given by the previous owner.
        wave.down.emplace(instance.name, now);
        return;
    }
    // The list of instances may be older than the order.
    const auto it = wave.down.find(instance.name);
    if (it != wave.down.end() && instance.state == FleetInstance::State::Up
        && !instance.orderPending && now - it->second >= m_downTime + internal::listLag)
        wave.down.erase(it);
}

void MaintenancePlanner::decideWave(Wave &wave, const InstancesByName &instances,
                                    const InstanceCounts &poolSizes,
                                    const std::function<bool(const std::string &)> &hasShortage,
                                    TimePoint now, MaintenanceDecision &decision)
{
    std::vector<const InstanceView *> open;
    int present = 0;
    int possiblyDown = 0;
    for (const auto &name : wave.request.instances) {
        const auto found = instances.find(name);
        if (found == instances.end()) {
            wave.down.erase(name);
            continue;
        }
        const auto *it = found->second;
        updateDownInstances(wave, *it, now);
        ++present;
        // The previous owner may have taken it down shortly before the takeover.
        possiblyDown += static_cast<int>(it->possiblyOrdered && !it->usable && !it->orderPending
                                         && !wave.down.contains(name));
        if (!wave.maintained.contains(name)) {
            open.push_back(it);
            decision.open.emplace(name, wave.deadline);
        }
    }
    if (open.empty() && present > 0) {
        wave.completed = true;
        return;
    }
    const auto rounds = (static_cast<int>(open.size()) + wave.request.maxInstancesDown - 1)
                        / std::max(1, wave.request.maxInstancesDown);
    const bool late = now + (rounds + 1) * internal::roundTime >= wave.deadline;
    // Persistent tasks move away a few of each job at a time, which takes longest, so that their
    // instances come first; the others are ready at once.
    std::ranges::sort(open, {}, [](const InstanceView *it) {
        return std::tuple(!it->leaving, !it->hasPersistentTasks, !it->standby, !it->empty,
                          it->name);
    });
    // Occupied instances take longer, because only some of a pool are emptied at the same time.
    InstanceCounts occupied;
    for (const auto *it : open)
        occupied[it->pool] += static_cast<int>(!it->standby && !it->empty);
    const auto lateIn = [&](const std::string &pool) {
        const int limit = internal::maxEmptying(poolSizes.at(pool));
        const int emptyings = (occupied[pool] + limit - 1) / limit;
        return late
               || now + emptyings * internal::emptyingTime + internal::roundTime >= wave.deadline;
    };
    int down = static_cast<int>(wave.down.size()) + possiblyDown;
    for (const auto *it : open)
        down += static_cast<int>(it->orderPending);
    std::map<std::string, int> emptying;
    for (const auto *it : open) {
        if (it->orderPending || it->possiblyOrdered || it->draining
            || it->state != FleetInstance::State::Up)
            continue;
        // Emptying an instance of persistent tasks takes too long to wait for the end of a
        // shortage, if the pool can spare one.
        const bool spared = it->hasPersistentTasks
                            && emptying[it->pool] < internal::emptyingShare(poolSizes.at(it->pool));
        if (!it->standby && hasShortage(it->pool) && !lateIn(it->pool) && !it->leaving && !spared)
            continue;
        if (it->standby || (it->empty && it->usable) || (it->empty && it->leaving)) {
            if (down >= wave.request.maxInstancesDown) {
                // An instance that was emptied stays so until its turn has come.
                if (it->leaving) {
                    ++emptying[it->pool];
                    decision.leaving.insert(it->name);
                }
                continue;
            }
            decision.orders.push_back({it->name, wave.request.number});
            decision.leaving.insert(it->name);
            ++down;
            continue;
        }
        if (it->usable || it->leaving) {
            if (emptying[it->pool]++ >= internal::maxEmptying(poolSizes.at(it->pool)))
                continue;
            decision.leaving.insert(it->name);
        }
    }
}

} // namespace dragonflysill
