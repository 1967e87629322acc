#pragma once

#include "cluster.h"
#include "policy.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace dragonflysill {

/** The figures of one run. */
struct RunFigures
{
    double usefulCoreHours = 0; ///< Work of tasks that ended well.
    double wastedCoreHours = 0; ///< Work that was lost by stops and failures.
    double tasksFinished = 0;
    double coresUsed = 0; ///< Mean part of the good workers' cores that tasks really use.
    double memoryUsed = 0; ///< Mean part of their memory.
    double tasksLostToBadWorkers = 0;
    double tasksOutOfMemory = 0;
    double urgentMeanWaitSeconds = 0;
    double urgentP99WaitSeconds = 0;
    double urgentNeverStarted = 0; ///< Urgent tasks that no decision started.
    double impossibleRefused = 0;
    double possibleRefused = 0;
    double impossible = 0;
    double cancelDecisionMs = 0; ///< Real time of the cancellation with its decision.
    double cancelledLeft = 0; ///< Cancelled tasks that run on after that decision.
};

/**
 * Runs a workload for four hours in steps of one second. A worker's cores are shared in proportion
 * if its tasks use more than it has; if they use more memory than it has, the newest one fails. On
 * a bad worker every task fails after five seconds. Usage is reported ten seconds late.
 */
class Run
{
public:
    Run(const Workload &workload, PlacementPolicy &policy);

    RunFigures run();

private:
    static constexpr std::int64_t stepMs = 1000;
    static constexpr std::int64_t endMs = 4LL * 3'600'000;

    struct Task
    {
        std::size_t job = 0;
        int index = 0;
        std::size_t worker = 0;
        std::int64_t startMs = 0;
        double leftMs = 0; ///< Work that is left, with all cores that it can use.
        bool throttled = false;
        bool reported = false;
    };
    using Key = std::pair<std::size_t, int>;

    void submit();
    void cancel();
    void execute(const std::vector<PlacementAction> &actions);
    void start(const PlacementAction &action);
    void stop(const PlacementAction &action);
    void advanceWorker(std::size_t worker);
    void finish(const Key &key, TaskOutcome outcome);
    void finishWaits();

    const Workload &m_workload;
    PlacementPolicy &m_policy;
    std::int64_t m_nowMs = 0;
    std::map<std::string, std::size_t> m_jobs;
    std::map<std::string, std::size_t> m_workers;
    std::vector<std::vector<Key>> m_onWorker;
    std::map<Key, Task> m_running;
    std::map<Key, double> m_savedMs; ///< Work left of tasks that were checkpointed.
    std::map<Key, bool> m_startedOnce;
    std::vector<double> m_urgentWaits;
    RunFigures m_figures;
};

} // namespace dragonflysill
