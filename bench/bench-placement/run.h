#pragma once

#include "cluster.h"
#include "policy.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace dragonflysill {

/** The results of one simulation. */
struct RunResult
{
    double usefulCoreHours = 0; ///< Work of tasks that succeeded.
    double wastedCoreHours = 0; ///< Work lost through stops and failures.
    double tasksFinished = 0;
    double coresUsed = 0; ///< Mean share of the working workers' cores in use.
    double memoryUsed = 0; ///< Mean share of their memory in use.
    double tasksLostToBadWorkers = 0;
    double tasksOutOfMemory = 0;
    double urgentMeanWaitSeconds = 0;
    double urgentP99WaitSeconds = 0;
    double urgentNeverStarted = 0; ///< Urgent tasks that were not started until the end.
    double impossibleRefused = 0;
    double possibleRefused = 0;
    double impossible = 0;
    double cancelDecisionMs = 0; ///< Real time of the cancellation and the decision after it.
    double cancelledLeft = 0; ///< Cancelled tasks that still run after that decision.
};

/**
 * Simulates a workload for four hours in steps of one second. If the tasks of a worker need more
 * cores than it has, all slow down by the same factor; if they need more memory than it has, the
 * newest one fails. On a bad worker every task fails after five seconds. Usage is reported with a
 * delay of ten seconds.
 */
class Run
{
public:
    Run(const Workload &workload, PlacementPolicy &policy);

    RunResult run();

private:
    static constexpr std::int64_t stepMs = 1000;
    static constexpr std::int64_t endMs = 4LL * 3'600'000;

    struct Task
    {
        std::size_t job = 0;
        int index = 0;
        std::size_t worker = 0;
        std::int64_t startMs = 0;
        double remainingMs = 0; ///< Remaining run time with all its cores.
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
    void computeUrgentWaits();

    const Workload &m_workload;
    PlacementPolicy &m_policy;
    std::int64_t m_nowMs = 0;
    std::map<std::string, std::size_t> m_jobs;
    std::map<std::string, std::size_t> m_workers;
    std::vector<std::vector<Key>> m_onWorker;
    std::map<Key, Task> m_running;
    std::map<Key, double> m_checkpointedMs; ///< Remaining run time of checkpointed tasks.
    std::map<Key, bool> m_startedOnce;
    std::vector<double> m_urgentWaits;
    RunResult m_result;
};

} // namespace dragonflysill
