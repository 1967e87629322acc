// What the passing of time changes: lost workers, stalled runs, repeated stops, emptying workers.

#include "dragonflysill/jobs/scheduler.h"

#include "schedulertimes.h"

#include <algorithm>
#include <vector>

namespace dragonflysill {

void Scheduler::checkWorkers(TimePoint now)
{
    m_unresolved.clear();
    for (const auto &[id, worker] : m_workers) {
        if (!worker.fenced && !worker.retired && now < worker.heldUntil)
            ++m_unresolved[worker.description.pool];
    }
    for (auto it = m_workers.begin(); it != m_workers.end();) {
        auto &worker = it->second;
        settleStrays(worker, now);
        if (worker.unlistAt && (now >= *worker.unlistAt || !worker.reachable)) {
            worker.listed = false;
            worker.unlistAt.reset();
        }
        if (!worker.reachable && now >= worker.heldUntil)
            loseRuns(worker, now);
        for (auto &[task, run] : worker.runs)
            checkRun(worker, run, now);
        if (worker.reachable)
            paceFilling(worker, now);
        if (worker.leaving || worker.description.draining)
            moveAway(worker, now);
        // A retired worker is remembered as long as its entry may still be reported.
        const bool forgettable = !worker.retired || now - worker.heldUntil >= internal::retiredTime;
        const bool gone = !worker.listed && worker.runs.empty() && now >= worker.heldUntil
                          && forgettable && (worker.pendingEnds.empty() || !worker.reachable);
        if (gone) {
            std::erase(m_pools[worker.description.pool], &worker);
            it = m_workers.erase(it);
        } else {
            ++it;
        }
    }
}

void Scheduler::checkRun(WorkerState &worker, TaskRun &run, TimePoint now)
{
    if (run.phase == TaskRun::Phase::Stopping) {
        // Without an answer it may not have arrived; a stop can be repeated.
        if (!run.stopAnswered && now - run.stopSentAt > internal::stopRepeat && worker.reachable) {
            run.stopSentAt = now;
            m_actions.emplace_back(StopTask{worker.description.id, run.task, run.run});
        }
        return;
    }
    if (run.phase != TaskRun::Phase::Running || !worker.reachable)
        return;
    auto *owner = find(run.task.job);
    if (owner == nullptr)
        return;
    const auto &step = owner->step(run.task);
    if (step.persistent) {
        if (run.percent < internal::atWork && now - run.settledAt > internal::startupTime) {
            worker.health.failed(run.task.job, now);
            stopRun(worker, run, now);
        }
        return;
    }
    if (step.bestEffort || step.gang || run.pace < internal::atWork)
        return;
    const auto expected = m_runTimes.expected(owner->job().queue, step);
    if (run.progressAt == TimePoint{})
        return;
    if (worker.lastReport - run.progressAt
        > std::max<Duration>(internal::stallTime, expected / 2)) {
        worker.health.failed(run.task.job, now);
        owner->task(run.task)->failedOn.insert(worker.description.id);
        stopRun(worker, run, now);
    }
}

void Scheduler::paceFilling(WorkerState &worker, TimePoint now)
{
    double worst = 0;
    std::vector<TaskRun *> filling;
    for (auto &[id, run] : worker.runs) {
        auto *owner = find(id.job);
        if (owner == nullptr || run.phase != TaskRun::Phase::Running)
            continue;
        const auto &step = owner->step(id);
        if (step.bestEffort)
            filling.push_back(&run);
        else if (step.latencyTarget.count() > 0 && run.usage)
            worst = std::max(worst, *run.usage / static_cast<double>(step.latencyTarget.count()));
    }
    if (filling.empty())
        return;
    worker.pacing.observe(worst, now);
    for (auto *run : filling) {
        const bool repeat = !run->paceConfirmed && now - run->pacedAt > internal::stopRepeat;
        if (run->pace == worker.pacing.percent() && !repeat)
            continue;
        run->pace = worker.pacing.percent();
        run->paceConfirmed = false;
        run->pacedAt = now;
        m_actions.emplace_back(PaceTask{worker.description.id, run->task, run->run, run->pace});
    }
}

int Scheduler::unavailable(const JobRun &job, const TaskId &task) const
{
    int count = 0;
    const auto &run
            = job.occurrences().at(task.occurrence).steps[static_cast<std::size_t>(task.step)];
    for (std::size_t n = 0; n < run.tasks.size(); ++n) {
        if (static_cast<int>(n) == task.index)
            continue;
        const TaskId other{task.job, task.occurrence, task.step, static_cast<int>(n)};
        const bool atWork = std::ranges::any_of(run.tasks[n].workers, [&](const std::string &id) {
            const auto *holder = worker(id);
            if (holder == nullptr || !holder->reachable)
                return false;
            const auto known = holder->runs.find(other);
            return known != holder->runs.end() && known->second.phase == TaskRun::Phase::Running
                   && known->second.percent >= internal::atWork;
        });
        count += static_cast<int>(!atWork);
    }
    return count;
}

void Scheduler::moveAway(WorkerState &worker, TimePoint now)
{
    for (auto &[id, run] : worker.runs) {
        auto *owner = find(id.job);
        if (owner == nullptr || run.phase != TaskRun::Phase::Running || !owner->step(id).persistent)
            continue;
        if (owner->inherited && !worker.description.draining && mayOverlap(now))
            continue;
        const auto *task = owner->task(id);
        const int budget = std::max(1, owner->step(id).maxUnavailable);
        if (task != nullptr && unavailable(*owner, id) < budget
            && choose(*owner, id, *task, now) != nullptr)
            stopRun(worker, run, now);
    }
}

} // namespace dragonflysill
