// Tasks that may crash the workers that run them.

#include "dragonflysill/jobs/scheduler.h"

#include "schedulerconstants.h"

#include <algorithm>
#include <utility>

namespace dragonflysill {

std::vector<SuspectedRun> Scheduler::suspectedRuns(const WorkerState &worker) const
{
    if (worker.description.draining || worker.leaving || rackFailed(worker))
        return {};
    auto suspected = worker.unexplainedRuns;
    for (const auto &[task, run] : worker.runs) {
        if (mayHaveCrashed(worker, run))
            suspected.push_back({task, run.run, worker.startedMs, run.confirmed});
    }
    return suspected;
}

bool Scheduler::mayHaveCrashed(const WorkerState &worker, const TaskRun &run)
{
    // The age of an inherited run is not known; a run that was adopted has survived its start.
    return !run.inherited && !run.incarnationEnded
           && worker.lastContact - run.startedAt <= internal::crashSuspicionTime;
}

bool Scheduler::rackFailed(const WorkerState &worker) const
{
    const auto &rack = worker.description.rack;
    if (rack.empty() || worker.silentSince == TimePoint{})
        return false;
    std::ptrdiff_t silent = 0;
    for (const auto &[id, other] : m_workers) {
        if (other.description.rack != rack)
            continue;
        if (other.reachable && other.lastContact >= worker.silentSince)
            return false;
        silent += static_cast<std::ptrdiff_t>(
                !other.reachable && other.silentSince != TimePoint{}
                && std::chrono::abs(other.silentSince - worker.silentSince)
                           <= internal::rackFailureSpread);
    }
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
        it = m_inheritedTrials.erase(it);
        if (job != nullptr && !job->hasEnded())
            settleTrials(*job, now);
    }
}

Scheduler::TrialOutcome Scheduler::trialOutcome(const StartTarget &target) const
{
    // An owner records its workers until it knows that they have ended.
    const auto *holder = worker(target.worker);
    if (holder == nullptr)
        return TrialOutcome::WorkerEnded;
    if (holder->retired)
        return holder->description.draining ? TrialOutcome::Survived : TrialOutcome::WorkerEnded;
    if (!holder->fenced)
        return TrialOutcome::Unknown;
    // A worker that lists neither the run nor its end has not received the order.
    return holder->startedMs == target.startedMs ? TrialOutcome::Survived
                                                 : TrialOutcome::WorkerEnded;
}

void Scheduler::settleTrials(JobRun &job, TimePoint now)
{
    std::vector<SuspectedRun> crashed;
    std::vector<SuspectedRun> others;
    for (const auto &[key, runs] : job.progress().trials) {
        const auto &[occurrence, step, index] = key;
        const TaskId id{job.job().id, occurrence, step, index};
        const auto *task = job.task(id);
        const bool done = task != nullptr ? task->phase == Task::Phase::Done
                                          : job.stepDone(occurrence, step);
        for (const auto &[run, trial] : runs) {
            const auto outcome = done ? TrialOutcome::Survived : trialOutcome(trial.target);
            const SuspectedRun start{id, run, trial.target.startedMs, trial.confirmed};
            if (outcome == TrialOutcome::Unknown)
                awaitExplanation(m_workers[trial.target.worker], start);
            else
                (outcome == TrialOutcome::Survived ? others : crashed).push_back(start);
        }
    }
    for (const auto &it : others)
        job.endTrial(it.task, it.run);
    // What else ran on the worker is not known.
    for (const auto &it : crashed) {
        if (job.recordCrash(it.task, it.run, {.confirmed = it.confirmed, .shared = true})) {
            endJob(job, now);
            return;
        }
    }
    queueSave(job);
}

StartTarget Scheduler::startTarget(const WorkerState &worker)
{
    return {worker.description.id, worker.startedMs};
}

StringMap<int> Scheduler::expectedTrials(const JobRun &job, const TaskId &except)
{
    StringMap<int> expected;
    for (const auto &[key, runs] : job.progress().trials) {
        const auto &[occurrence, step, index] = key;
        const TaskId id{job.job().id, occurrence, step, index};
        const auto *task = id == except ? nullptr : job.task(id);
        if (task == nullptr || task->phase != Task::Phase::Waiting)
            continue;
        if (const auto it = runs.find(task->lastRun + 1); it != runs.end())
            ++expected[it->second.target.worker];
    }
    return expected;
}

void Scheduler::beginProbation(WorkerState &worker, const std::string &job, TimePoint now)
{
    worker.probationUntil = now + internal::probationTime;
    worker.probationJob = job;
}

void Scheduler::confirmRun(TaskRun &run)
{
    if (std::exchange(run.confirmed, true))
        return;
    auto *job = find(run.task.job);
    if (job == nullptr)
        return;
    job->markStarted();
    if (run.trial)
        job->confirmTrial(run.task, run.run);
    queueSave(*job);
}

void Scheduler::observeSaves(TimePoint now)
{
    if (m_savesInFlight == 0 || m_saveAnswered)
        m_saveWaitsSince = now;
    m_saveAnswered = false;
    m_saveDelayed = m_lastSaveFailed || now - m_saveWaitsSince >= internal::delayedSaveTime;
}

bool Scheduler::prepareStart(JobRun &job, const TaskId &id, const Task &task, WorkerState &worker,
                             TimePoint now)
{
    const int run = task.lastRun + 1;
    const auto target = startTarget(worker);
    if (job.crashes(id) == 0) {
        if (!job.mayHaveStarted(id))
            return true;
        // Few tasks crash workers, so that the save is only waited for if it may be lost.
        job.beginTrial(id, run, target);
        queueSave(job);
        return !m_saveDelayed || job.trialSaved(task);
    }
    const auto *known = job.trialTarget(id, run);
    if (known != nullptr && *known == target)
        return job.trialSaved(task);
    job.beginTrial(id, run, target);
    beginProbation(worker, id.job, now);
    queueSave(job);
    return false;
}

void Scheduler::awaitExplanation(WorkerState &worker, const SuspectedRun &run)
{
    worker.unexplainedRuns.push_back(run);
    ++m_unexplainedRuns[run.task];
}

void Scheduler::forgetUnexplainedRuns(WorkerState &worker)
{
    for (const auto &it : worker.unexplainedRuns) {
        if (--m_unexplainedRuns[it.task] == 0)
            m_unexplainedRuns.erase(it.task);
        if (auto *job = find(it.task.job)) {
            job->endTrial(it.task, it.run);
            queueSave(*job);
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
