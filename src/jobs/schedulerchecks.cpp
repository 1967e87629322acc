// Time-driven checks: lost workers, stalled runs, repeated orders, emptying of workers.

#include "dragonflysill/jobs/scheduler.h"

#include "schedulerconstants.h"
#include "stoporder.h"

#include <algorithm>
#include <vector>

namespace dragonflysill {

void Scheduler::countUnreachedWorkers(TimePoint now)
{
    m_unreachedWorkers.clear();
    m_unreachedCapacities.clear();
    for (const auto &[id, worker] : m_workers) {
        if (worker.fenced || worker.retired || now >= worker.heldUntil)
            continue;
        ++m_unreachedWorkers[worker.description.pool];
        // This owner knows what it has started itself on a worker that has answered it before.
        if (worker.startedMs != 0 && now >= worker.earlierOrdersUntil)
            continue;
        auto &capacity = m_unreachedCapacities[worker.description.pool];
        capacity.sum += worker.description.capacity;
        capacity.known = capacity.known && worker.description.capacity != Resources{};
    }
    boundInheritedRuns();
}

bool Scheduler::hasSilentWorkers(TimePoint now) const
{
    return std::ranges::any_of(m_workers, [now](const auto &it) {
        const auto &worker = it.second;
        return !worker.reachable && !worker.retired && worker.busy() && now < worker.heldUntil;
    });
}

void Scheduler::checkWorkers(TimePoint now)
{
    countUnreachedWorkers(now);
    std::erase_if(m_lackingForMoves, [now](const auto &it) {
        return now - it.second.since >= internal::lackingRetention;
    });
    countInheritedTasks(now);
    findUrgentMoves(now);
    for (auto it = m_workers.begin(); it != m_workers.end();) {
        auto &worker = it->second;
        std::erase_if(worker.releasedRuns,
                      [now](const ReleasedRun &run) { return now >= run.copiesUntil; });
        processUnadoptedRuns(worker, now);
        if (worker.unlistAt && (now >= *worker.unlistAt || !worker.reachable)) {
            worker.listed = false;
            worker.unlistAt.reset();
        }
        if (!worker.reachable && now >= worker.heldUntil)
            loseRuns(worker, now);
        worker.retired = worker.retired || worker.mayBeRetired(now);
        if (now - worker.runsCheckedAt >= internal::runCheckInterval) {
            worker.runsCheckedAt = now;
            for (auto &[task, run] : worker.runs)
                checkRun(worker, run, now);
            m_work.runsChecked += worker.runs.size();
        }
        if (worker.reachable)
            paceBestEffortRuns(worker, now);
        // Instances are emptied a few at a time, but persistent tasks take long to move, so that
        // they leave all instances of a wave from its start.
        const bool mustLeave = worker.leaving || worker.description.draining;
        worker.leavingSince
                = mustLeave ? worker.leavingSince.value_or(now) : std::optional<TimePoint>();
        if ((mustLeave || worker.maintenanceDeadline) && worker.persistentRuns > 0)
            movePersistentTasksAway(worker, now);
        // A retired worker is kept as long as the store may still list its entry.
        const bool mayBeRemoved
                = !worker.retired || now - worker.heldUntil >= internal::retiredRetention;
        // Trials of earlier owners become unexplained runs of workers that have not answered.
        const bool mayGetTrials = worker.startedMs == 0 && !m_inheritedTrials.empty();
        const bool awaitsAnswer = (mayGetTrials || !worker.unexplainedRuns.empty())
                                  && now - worker.lastContact < internal::unexplainedRetention;
        const bool remove = !worker.listed && worker.runs.empty() && now >= worker.heldUntil
                            && mayBeRemoved && !awaitsAnswer
                            && (worker.pendingEnds.empty() || !worker.reachable);
        if (remove) {
            forgetUnexplainedRuns(worker);
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
        // Without an answer the stop order may be lost. Stop orders are idempotent.
        if (!run.stopAnswered && now - run.stopSentAt > internal::orderRetryDelay
            && worker.reachable) {
            run.stopSentAt = now;
            m_actions.emplace_back(internal::stopOrder(worker, run.task, run.run));
        }
        return;
    }
    if (run.phase != TaskRun::Phase::Running || !worker.reachable)
        return;
    auto *job = find(run.task.job);
    if (job == nullptr)
        return;
    if (run.trial && now - run.startedAt > internal::crashSuspicionTime) {
        run.trial = false;
        job->endTrial(run.task, run.run);
        queueSave(*job);
    }
    const auto &step = job->step(run.task);
    if (step.persistent) {
        if (run.percent < internal::fullPercent
            && now - run.orderSettledAt > internal::startupTimeout) {
            worker.health.failed(run.task.job, now);
            job->task(run.task)->failedOn.insert(worker.description.id);
            stopRun(worker, run, now);
        }
        return;
    }
    if (step.bestEffort || step.gang || run.pace < internal::fullPercent)
        return;
    const auto expected = m_runTimes.expected(job->job().queue, step);
    if (run.progressAt == TimePoint{})
        return;
    if (worker.lastReport - run.progressAt
        > std::max<Duration>(internal::minStallTimeout, expected / 2)) {
        worker.health.failed(run.task.job, now);
        job->task(run.task)->failedOn.insert(worker.description.id);
        stopRun(worker, run, now);
    }
}

void Scheduler::paceBestEffortRuns(WorkerState &worker, TimePoint now)
{
    double worst = 0;
    std::vector<TaskRun *> bestEffort;
    for (auto &[id, run] : worker.runs) {
        auto *job = find(id.job);
        if (job == nullptr || run.phase != TaskRun::Phase::Running)
            continue;
        const auto &step = job->step(id);
        if (step.bestEffort)
            bestEffort.push_back(&run);
        else if (step.latencyTarget.count() > 0 && run.usage)
            worst = std::max(worst, *run.usage / static_cast<double>(step.latencyTarget.count()));
    }
    if (bestEffort.empty())
        return;
    worker.pacing.observe(worst, now);
    for (auto *run : bestEffort) {
        const bool repeat = !run->paceConfirmed && now - run->pacedAt > internal::orderRetryDelay;
        if (run->pace == worker.pacing.percent() && !repeat)
            continue;
        run->pace = worker.pacing.percent();
        run->paceConfirmed = false;
        run->pacedAt = now;
        m_actions.emplace_back(PaceTask{worker.description.id, run->task, run->run, run->pace});
    }
}

int Scheduler::unavailableTasks(const JobRun &job, const TaskId &task) const
{
    int count = 0;
    const auto &run
            = job.occurrences().at(task.occurrence).steps[static_cast<std::size_t>(task.step)];
    for (std::size_t n = 0; n < run.tasks.size(); ++n) {
        if (static_cast<int>(n) == task.index)
            continue;
        const TaskId other{task.job, task.occurrence, task.step, static_cast<int>(n)};
        const bool serving = std::ranges::any_of(run.tasks[n].workers, [&](const std::string &id) {
            const auto *holder = worker(id);
            if (holder == nullptr || !holder->reachable)
                return false;
            const auto known = holder->runs.find(other);
            return known != holder->runs.end() && known->second.phase == TaskRun::Phase::Running
                   && known->second.percent >= internal::fullPercent;
        });
        count += static_cast<int>(!serving);
    }
    return count;
}

void Scheduler::movePersistentTasksAway(WorkerState &worker, TimePoint now)
{
    // The tasks of a step find room on the same workers.
    std::map<std::pair<std::string_view, int>, bool> roomForStep;
    for (auto &[id, run] : worker.runs) {
        auto *job = find(id.job);
        if (job == nullptr || run.phase != TaskRun::Phase::Running || !job->step(id).persistent)
            continue;
        if (job->inherited && !worker.description.draining && previousOwnerMayBeActive(now))
            continue;
        if (!worker.leavingSince && !isUrgentMove(id))
            continue;
        const auto *task = job->task(id);
        if (task == nullptr || (!job->crashesSaved() && suspicion(*job, id, *task) > 0)
            || (job->team != nullptr && !job->team->mayReplace(run.charge.amount())))
            continue;
        const auto [room, isFirst] = roomForStep.try_emplace({id.job, id.step}, false);
        if (isFirst)
            room->second = findsRoomSoon(worker, id, *task, now);
        if (!room->second && worker.leavingSince)
            m_lackingForMoves[worker.description.pool] = {job->step(id).reserved(), now};
        if (room->second && unavailableTasks(*job, id) < std::max(1, job->step(id).maxUnavailable))
            stopRun(worker, run, now);
    }
}

void Scheduler::findUrgentMoves(TimePoint now)
{
    m_urgentMoves.clear();
    struct Moves
    {
        int tasks = 0;
        int budget = 1;
        TimePoint deadline = TimePoint::max();
    };
    std::map<std::pair<std::string_view, int>, Moves> moves;
    for (const auto &[id, worker] : m_workers) {
        if (!worker.maintenanceDeadline || worker.persistentRuns == 0)
            continue;
        for (const auto &[task, run] : worker.runs) {
            const auto *job = find(task.job);
            if (!run.persistent || job == nullptr)
                continue;
            auto &it = moves[{task.job, task.step}];
            ++it.tasks;
            it.budget = std::max(1, job->step(task).maxUnavailable);
            it.deadline = std::min(it.deadline, *worker.maintenanceDeadline);
        }
    }
    for (const auto &[step, it] : moves) {
        const int rounds = (it.tasks + it.budget - 1) / it.budget;
        if (now + internal::moveTimeReserve * rounds * internal::persistentMoveTime >= it.deadline)
            m_urgentMoves.emplace(std::string(step.first), step.second);
    }
}

bool Scheduler::findsRoomSoon(const WorkerState &worker, const TaskId &id, const Task &task,
                              TimePoint now) const
{
    const auto &job = *this->job(id.job);
    // A task on a worker that awaits maintenance would have to be moved again.
    const bool takesAnyWorker
            = !isUrgentMove(id) || worker.description.draining
              || (worker.leavingSince
                  && now - *worker.leavingSince >= internal::maintainedWorkerDelay);
    const auto pool = m_pools.find(job.job().pool);
    if (pool == m_pools.end())
        return false;
    const auto moving = candidate(job, id, task);
    int busyWorkers = 0;
    for (const auto *it : pool->second) {
        if (it->maintenanceDeadline && !takesAnyWorker)
            continue;
        const auto obstacle = startObstacle(*it, moving, now);
        if (!obstacle && !it->health.slow(now))
            return true;
        if (obstacle != StartObstacle::NoFreeCapacity)
            continue;
        Resources free = it->description.capacity;
        for (const auto &[other, run] : it->runs) {
            if (run.persistent)
                free -= run.reserved;
        }
        busyWorkers += static_cast<int>(free.covers(moving.step.reserved()));
    }
    return busyWorkers >= internal::minBusyWorkersForMove;
}

} // namespace dragonflysill
