// Tasks that may crash the workers that run them.

#include "dragonflysill/jobs/scheduler.h"

#include "schedulerconstants.h"

#include <algorithm>

namespace dragonflysill {

std::vector<SuspectedRun> Scheduler::suspectedRuns(const WorkerState &worker) const
{
    if (worker.description.draining || worker.leaving || rackFailed(worker))
        return {};
    auto suspected = worker.unexplainedRuns;
    for (const auto &[task, run] : worker.runs) {
        if (mayHaveCrashed(worker, run))
            suspected.push_back({task, run.run, run.confirmed});
    }
    return suspected;
}

bool Scheduler::mayHaveCrashed(const WorkerState &worker, const TaskRun &run)
{
    // The age of an inherited run is not known; a run that was adopted has survived its start.
    return !run.inherited && worker.lastContact - run.startedAt <= internal::crashSuspicionTime;
}

bool Scheduler::rackFailed(const WorkerState &worker) const
{
    const auto &rack = worker.description.rack;
    if (rack.empty() || worker.silentSince == TimePoint{})
        return false;
    const auto silent = std::ranges::count_if(m_workers, [&](const auto &it) {
        const auto &other = it.second;
        return other.silentSince != TimePoint{} && other.description.rack == rack
               && std::chrono::abs(other.silentSince - worker.silentSince)
                          <= internal::rackFailureSpread;
    });
    return silent >= internal::rackFailureWorkers;
}

void Scheduler::recordCrashes(std::span<const SuspectedRun> runs, TimePoint now)
{
    const bool shared = std::ranges::any_of(
            runs, [&runs](const auto &it) { return it.task.job != runs.front().task.job; });
    for (const auto &it : runs) {
        auto *job = find(it.task.job);
        if (job == nullptr || job->hasEnded() || !job->hasTask(it.task))
            continue;
        if (job->recordCrash(it.task, it.run, {it.confirmed, shared}))
            endJob(*job, now);
        else
            queueSave(*job);
    }
}

void Scheduler::settleInheritedTrials(TimePoint now)
{
    for (auto it = m_inheritedTrials.begin(); it != m_inheritedTrials.end();) {
        auto *job = find(*it);
        if (job != nullptr && !job->hasEnded() && blockedByUnknownRuns(*job)) {
            ++it;
            continue;
        }
        std::vector<SuspectedRun> runs;
        if (job != nullptr && !job->hasEnded()) {
            for (const auto &[key, numbers] : job->progress().trials) {
                const auto &[occurrence, step, index] = key;
                for (const int run : numbers)
                    runs.push_back({{*it, occurrence, step, index}, run});
            }
        }
        it = m_inheritedTrials.erase(it);
        recordCrashes(runs, now);
    }
}

bool Scheduler::prepareStart(JobRun &job, const TaskId &id, const Task &task)
{
    if (!m_inheritedTrials.empty() && m_inheritedTrials.contains(id.job))
        return false;
    if (job.crashes(id) == 0)
        return true;
    if (!job.hasTrial(id, task.lastRun + 1)) {
        job.beginTrial(id, task.lastRun + 1);
        queueSave(job);
    }
    return job.crashesSaved();
}

void Scheduler::forgetUnexplainedRuns(WorkerState &worker)
{
    for (const auto &it : worker.unexplainedRuns) {
        if (--m_unexplainedRuns[it.task] == 0)
            m_unexplainedRuns.erase(it.task);
        if (auto *job = find(it.task.job)) {
            job->endTrial(it.task, it.run);
            waitingChanged(*job);
        }
    }
    worker.unexplainedRuns.clear();
}

int Scheduler::suspicion(const JobRun &job, const TaskId &id, const Task &task) const
{
    int count = job.crashes(id);
    if (const auto it = m_unexplainedRuns.find(id); it != m_unexplainedRuns.end())
        count += it->second;
    for (const auto &it : task.workers) {
        const auto *holder = worker(it);
        count += static_cast<int>(holder != nullptr && !holder->reachable);
    }
    return count;
}

} // namespace dragonflysill
