#include "maintenancereplay.h"

#include "scale.h"

#include "dragonflysill/base/time.h"

#include <cstdio>

namespace dragonflysill {

namespace {

constexpr std::size_t zones = 7;
constexpr std::size_t rackSize = 4;
/** About a tenth of a pool of 31 instances. */
constexpr int maxUnavailable = 3;
constexpr int failuresPerDay = 140;
constexpr int stepsPerDay = 48;

} // namespace

MaintenanceReplay::MaintenanceReplay(std::uint64_t seed)
    : m_random(seed)
{
    declare();
}

void MaintenanceReplay::declare()
{
    for (std::size_t n = 0; n < Scale::fullWorkers; ++n) {
        const auto rack = n / rackSize;
        char name[16];
        std::snprintf(name, sizeof name, "i%05zu", n);
        const auto poolName = "pool-" + std::to_string(n % Scale::fullPools);
        Pool &pool = m_inputs.configuration.pools[poolName];
        pool.name = poolName;
        pool.maxUnavailable = maxUnavailable;
        pool.instances.push_back({name, "10.0.0.1:80", "zone-" + std::to_string(rack % zones),
                                  "rack-" + std::to_string(rack)});
        InstanceRecord record;
        record.name = name;
        record.pool = poolName;
        record.zone = pool.instances.back().zone;
        record.rack = pool.instances.back().rack;
        record.epoch = 1;
        m_inputs.records[name] = record;
        m_inputs.platform[name] = PlatformState::Live;
    }
    Maintenance order;
    order.name = "all";
    order.maxParallel = maxParallel;
    for (const auto &it : m_inputs.configuration.pools)
        order.pools.push_back(it.first);
    m_inputs.configuration.maintenance["all"] = order;
    m_declared = declaredInstances(m_inputs.configuration);
    for (auto &it : m_inputs.records)
        m_records.push_back(&it.second);
}

void MaintenanceReplay::failInstance(InstanceRecord &record)
{
    if (record.phase != InstancePhase::Serving)
        return;
    record.phase = InstancePhase::Failed;
    record.sinceMs = m_inputs.nowMs;
    m_inputs.platform[record.name] = PlatformState::Terminated;
}

void MaintenanceReplay::injectFailures(int step)
{
    const int before = failuresPerDay * step / stepsPerDay;
    const int after = failuresPerDay * (step + 1) / stepsPerDay;
    for (int n = before; n < after; ++n)
        failInstance(*m_records[m_random.below(m_records.size())]);
    if (step % (7 * stepsPerDay) != 3 * stepsPerDay)
        return;
    const auto first = m_random.below(m_records.size() / rackSize) * rackSize;
    for (std::size_t n = first; n < first + rackSize; ++n)
        failInstance(*m_records[n]);
}

void MaintenanceReplay::completeRepairsAndMaintenance()
{
    for (auto *it : m_records) {
        const bool repaired
                = it->phase == InstancePhase::Failed && m_inputs.nowMs - it->sinceMs >= repairMs;
        if (!repaired && it->phase != InstancePhase::Maintenance)
            continue;
        it->phase = InstancePhase::Serving;
        ++it->epoch;
        m_inputs.platform[it->name] = PlatformState::Live;
    }
}

void MaintenanceReplay::decide(ReplayResult &result)
{
    const auto start = steadyNow();
    const SharedBuffer buffer(m_inputs.configuration);
    WaveBudget budget(m_inputs, m_declared, m_waves, buffer);
    WavePlanner planner(m_inputs, m_declared, budget);
    const auto stored = m_waves.find("all");
    const auto plan = planner.decide(&m_inputs.configuration.maintenance.at("all"),
                                     stored == m_waves.end() ? nullptr : &stored->second);
    const auto elapsed = steadyNow() - start;
    result.meanDecisionMs += std::chrono::duration<double, std::milli>(elapsed).count();
    m_waves["all"] = *plan.progress;
    for (auto &it : m_waves["all"].active) {
        auto &record = m_inputs.records.find(it.first)->second;
        if (record.phase != InstancePhase::Serving || record.epoch != it.second.epoch)
            continue;
        record.phase = InstancePhase::Maintenance;
        it.second.drained = true;
    }
}

double MaintenanceReplay::hoursOverBudget() const
{
    ByName<int> out;
    ByName<int> maintained;
    for (const auto *it : m_records) {
        out[it->pool] += it->phase == InstancePhase::Serving ? 0 : 1;
        maintained[it->pool] += it->phase == InstancePhase::Maintenance ? 1 : 0;
    }
    double over = 0;
    for (const auto &it : out)
        over += it.second > maxUnavailable && maintained[it.first] > 0 ? it.second - maxUnavailable
                                                                       : 0;
    return over * static_cast<double>(stepMs) / 3'600'000;
}

ReplayResult MaintenanceReplay::run()
{
    ReplayResult result;
    constexpr double msPerDay = 24 * 3'600'000.0;
    result.calculatedDays = static_cast<double>(Scale::fullWorkers) / maxParallel
                            * static_cast<double>(stepMs) / msPerDay;
    int step = 0;
    for (; step < steps; ++step) {
        m_inputs.nowMs = (step + 1) * stepMs;
        completeRepairsAndMaintenance();
        injectFailures(step);
        decide(result);
        result.hoursOverBudget += hoursOverBudget();
        if (m_waves["all"].state == WaveState::Finished)
            break;
    }
    result.maintained = static_cast<double>(m_waves["all"].done.size());
    result.days = static_cast<double>(m_inputs.nowMs) / msPerDay;
    result.meanDecisionMs /= step + 1;
    return result;
}

} // namespace dragonflysill
