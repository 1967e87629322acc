#pragma once

#include "dragonflysill/base/storekeys.h"
#include "dragonflysill/contracts/codec.h"
#include "dragonflysill/machines/fleetrunner.h"
#include "dragonflysill/standin/memorystore.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace dragonflysill::support {

/**
 * Several FleetRunners on one MemoryStore with a fake clock, entry processes that acknowledge
 * drained instances, and a platform list. Each runner can be paused with its view and its lease,
 * as a stopped process is.
 */
class FleetHarness : public FleetPlatform
{
public:
    static constexpr std::int64_t leaseSeconds = 5;
    static constexpr std::int64_t stepMs = 500;
    static constexpr std::int64_t rebootMs = 2000;

    explicit FleetHarness(int processes)
        : store([this] { return TimePoint(std::chrono::milliseconds(nowMs)); })
    {
        for (int n = 0; n < processes; ++n) {
            auto process = std::make_unique<Process>();
            process->name = "e" + std::to_string(n + 1);
            process->runner
                    = std::make_unique<FleetRunner>(process->name, store, process->fence, *this);
            put(storekeys::entries, process->name, "{}");
            m_processes.push_back(std::move(process));
            renew(*m_processes.back());
        }
    }

    Result<Done> drain(const std::string &instance) override
    {
        platform[instance] = PlatformState::Leaving;
        return Done{};
    }

    Result<Done> reboot(const std::string &instance) override
    {
        ++reboots[instance];
        rebooting[instance] = nowMs + rebootMs;
        return Done{};
    }

    void put(std::string_view prefix, const std::string &name, const std::string &value,
             LeaseId lease = 0)
    {
        Transaction transaction;
        transaction.success.emplace_back(PutOperation{storekeys::join(prefix, name), value, lease});
        (void)store.commit(transaction);
    }

    /** Declares a pool with instances that are named with their zone as "z1-r1-a". */
    void declare(const std::string &name, const std::vector<std::string> &instances,
                 int maxUnavailable)
    {
        Pool pool;
        pool.name = name;
        pool.spare = name == "spare";
        pool.maxUnavailable = maxUnavailable;
        for (const auto &it : instances) {
            platform.emplace(it, PlatformState::Live);
            pool.instances.push_back({it, "10.0.0.1:" + it, it.substr(0, 2), it.substr(0, 5)});
        }
        put(storekeys::pools, name, nlohmann::json(pool).dump());
    }

    void order(const Maintenance &order)
    {
        put(storekeys::maintenance, order.name, nlohmann::json(order).dump());
    }

    /** Returns the newest status of a wave, or a default one if no process reports it. */
    WaveStatus wave(const std::string &name)
    {
        WaveStatus newest;
        for (const auto &process : m_processes) {
            for (const auto &it : process->report.status.waves) {
                if (it.name == name && !paused.contains(process->name))
                    newest = it;
            }
        }
        return newest;
    }

    /** Advances the clock by one step and runs a pass of every process that is not paused. */
    void step(const FleetInputs *fixedInputs = nullptr)
    {
        nowMs += stepMs;
        for (auto it = rebooting.begin(); it != rebooting.end();) {
            if (it->second <= nowMs)
                platform[it->first] = PlatformState::Live;
            it = it->second <= nowMs ? rebooting.erase(it) : std::next(it);
        }
        for (auto &it : m_processes) {
            if (paused.contains(it->name))
                continue;
            renew(*it);
            it->report = it->runner->runPass(fixedInputs != nullptr ? *fixedInputs : inputs());
        }
        readHistory();
    }

    void steps(int count)
    {
        for (int n = 0; n < count; ++n)
            step();
    }

    /** Reads the inputs of a pass from the store, past injected faults. */
    FleetInputs inputs()
    {
        const auto engine = store.snapshot();
        FleetInputs inputs;
        inputs.revision = engine.revision();
        inputs.nowMs = nowMs;
        inputs.platform = platform;
        for (const auto &it : values(engine, storekeys::pools))
            inputs.configuration.pools[it.first] = *decodeStored<Pool>(it.second);
        for (const auto &it : values(engine, storekeys::maintenance))
            inputs.configuration.maintenance[it.first] = *decodeStored<Maintenance>(it.second);
        for (const auto &it : values(engine, storekeys::instances))
            inputs.records[it.first] = *decodeRecord(it.second);
        for (const auto &it : values(engine, storekeys::members))
            inputs.members.push_back(it.first);
        for (const auto &it : inputs.records) {
            if (it.second.phase != InstancePhase::Leaving)
                continue;
            for (const auto &n : values(engine, storekeys::entries)) {
                if (!silentEntries.contains(n.first))
                    inputs.acknowledgements.add(n.first, it.first, it.second.epoch);
            }
        }
        return inputs;
    }

    FleetReport &report(int process) { return m_processes.at(process)->report; }
    FleetRunner &runner(int process) { return *m_processes.at(process)->runner; }

    /** Returns true if every declared instance serves in its pool and no other record exists. */
    bool settled()
    {
        const auto now = inputs();
        const auto declared = declaredInstances(now.configuration);
        for (const auto &it : now.records) {
            const auto found = declared.find(it.first);
            if (found == declared.end() || it.second.phase != InstancePhase::Serving
                || it.second.pool != found->second.pool)
                return false;
        }
        return now.records.size() == declared.size();
    }

    /** Runs passes until settled() or the limit; returns the passes or -1. */
    int runUntilConverged(int limit)
    {
        for (int n = 0; n < limit; ++n) {
            if (settled())
                return n;
            step();
        }
        return settled() ? limit : -1;
    }

    std::int64_t nowMs = 1'000'000;
    MemoryStore store;
    ByName<PlatformState> platform;
    std::map<std::string, int> reboots; ///< Reboot requests by instance.
    std::map<std::string, std::int64_t> rebooting; ///< By instance: end of its reboot.
    std::set<std::string> paused; ///< Processes that run no pass and renew no lease.
    std::set<std::string> silentEntries; ///< Entries that acknowledge nothing.
    std::string transcript; ///< Every change of an instance record, in the store's order.
    std::map<std::string, int> poolChanges; ///< By instance.
    std::vector<std::string> violations; ///< Changes that break a rule of moves.

private:
    struct Process
    {
        std::string name;
        Fence fence;
        LeaseId lease = 0;
        std::unique_ptr<FleetRunner> runner;
        FleetReport report;
    };

    static std::map<std::string, std::string> values(const StoreEngine &engine,
                                                     std::string_view prefix)
    {
        std::map<std::string, std::string> found;
        const auto range = engine.range({std::string(prefix), storekeys::rangeEnd(prefix)});
        for (const auto &it : range.keyValues)
            found[it.key.substr(prefix.size())] = it.value;
        return found;
    }

    /** Renews the lease of a process or registers it again, as its control process does. */
    void renew(Process &process)
    {
        const auto renewed = store.renewLease(process.lease);
        if (renewed.ok() || !renewed.error().is(ErrorKind::LeaseLost))
            return;
        const auto lease = store.grantLease(leaseSeconds);
        if (!lease)
            return;
        process.lease = lease->id;
        put(storekeys::members, process.name, "{}", lease->id);
        const auto key = storekeys::join(storekeys::members, process.name);
        const auto range = store.range({key, {}});
        if (range.ok() && !range->keyValues.empty())
            process.fence.set(key, range->keyValues.front().createRevision);
    }

    void readHistory()
    {
        const auto engine = store.snapshot();
        const auto prefix = storekeys::instances;
        const auto batch = engine.changes({std::string(prefix), storekeys::rangeEnd(prefix)},
                                          m_historyRead + 1);
        if (!batch)
            return;
        for (const auto &it : batch->updates)
            noteChange(it.key.substr(prefix.size()), it);
        m_historyRead = batch->revision;
    }

    void noteChange(const std::string &name, const KeyUpdate &update)
    {
        const auto before = m_last.find(name);
        transcript += std::to_string(nowMs) + " " + name + " ";
        if (update.deleted) {
            transcript += "removed\n";
            if (before != m_last.end() && before->second.phase != InstancePhase::Leaving
                && before->second.phase != InstancePhase::Maintenance)
                violations.push_back(name + " removed without a drain");
            m_last.erase(name);
            return;
        }
        const auto record = *decodeRecord(update.value);
        transcript += std::string(toText(record.phase)) + " in " + record.pool + " epoch "
                      + std::to_string(record.epoch) + "\n";
        if (before != m_last.end() && before->second.pool != record.pool) {
            ++poolChanges[name];
            if (before->second.phase != InstancePhase::Leaving
                || record.epoch != before->second.epoch + 1)
                violations.push_back(name + " changed its pool without a drain");
        }
        m_last[name] = record;
    }

    std::vector<std::unique_ptr<Process>> m_processes;
    std::map<std::string, InstanceRecord> m_last;
    std::int64_t m_historyRead = 0;
};

} // namespace dragonflysill::support
