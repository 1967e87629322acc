// Order of the waiting tasks and choice of their workers.

#include "dragonflysill/jobs/scheduler.h"

#include "schedulerconstants.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace dragonflysill {

Duration Scheduler::remainingWork(const JobRun &job) const
{
    const auto open = job.occurrences().begin();
    return m_runTimes.longestChain(job.job(), [&job, open](int step) {
        return open != job.occurrences().end() && job.stepDone(open->first, step);
    });
}

bool Scheduler::blockedByUnknownRuns(const JobRun &job) const
{
    if (!job.inherited)
        return false;
    const auto it = m_unreachedWorkers.find(job.job().pool);
    return it != m_unreachedWorkers.end() && it->second > 0;
}

void Scheduler::dispatchPools(const std::vector<std::string> &pools, Search search, TimePoint now)
{
    m_startsLeft = m_startLimit;
    const auto first
            = static_cast<std::size_t>(std::ranges::upper_bound(pools, m_lastPool) - pools.begin());
    for (std::size_t n = 0; n < pools.size() && m_startsLeft > 0; ++n) {
        const auto &pool = pools[(first + n) % pools.size()];
        m_changedPools.erase(pool);
        dispatchPool(pool, search, now);
        m_lastPool = pool;
        if (m_startsLeft <= 0)
            m_changedPools.insert(pool);
    }
}

void Scheduler::dispatchPool(const std::string &pool, Search search, TimePoint now)
{
    const auto workers = m_pools.find(pool);
    const auto queue = m_queues.find(pool);
    if (queue == m_queues.end() || workers == m_pools.end())
        return;
    auto largest = largestFreeCapacity(workers->second, now);
    if (!largest)
        return;
    // Amounts for which no worker had free capacity; larger ones need not be tried.
    std::vector<Resources> tooLarge;
    int examined = 0;
    int withoutWorker = 0;
    // Steps by the team whose ceiling keeps them from starting.
    std::map<const TeamAccount *, int> withoutRoom;
    const auto skips = [&](TeamAccount &team, std::int64_t least) {
        const bool full
                = !m_teams.knowsTeams() || !team.hasRoom({std::max<std::int64_t>(least, 1), 1, 0});
        if (full)
            TeamUsage::addBlockedPool(team, pool);
        return full
               || (search == Search::First
                   && withoutRoom[&team] >= internal::maxStepsWithoutTeamRoom);
    };
    const auto visitor = [&](const WaitingStep &it) {
        if (blockedByUnknownRuns(*it.job))
            return true;
        ++m_work.stepsExamined;
        ++examined;
        if (awaitsTeam(*it.job, it.job->job().spec.steps[static_cast<std::size_t>(it.step)])) {
            ++withoutRoom[it.job->team];
        } else if (!startStep(it, tooLarge, now)) {
            ++withoutWorker;
            largest = largestFreeCapacity(workers->second, now).value_or(0);
        }
        if (m_startsLeft <= 0)
            return false;
        return search == Search::All
               || (examined < internal::maxStepsAfterEvent
                   && withoutWorker < internal::maxStepsWithoutWorker);
    };
    queue->second.visit(now, *largest, skips, visitor);
}

std::optional<std::int64_t> Scheduler::largestFreeCapacity(std::span<WorkerState *const> workers,
                                                           TimePoint now)
{
    std::optional<std::int64_t> largest;
    for (const auto *it : workers) {
        if (it->available(now))
            largest = std::max(largest.value_or(0), it->free().milliCores);
    }
    return largest;
}

bool Scheduler::startStep(const WaitingStep &waiting, std::vector<Resources> &tooLarge,
                          TimePoint now)
{
    auto &job = *waiting.job;
    const auto &step = job.job().spec.steps[static_cast<std::size_t>(waiting.step)];
    const auto need = step.reserved();
    if (std::ranges::any_of(tooLarge,
                            [&need](const Resources &amount) { return need.covers(amount); }))
        return false;
    if (step.gang)
        startGang(job, waiting.occurrence, waiting.step, now);
    else
        startWaiting(job, waiting.occurrence, waiting.step, now);
    const bool needsTicket = admissionSettings(job) != nullptr;
    const bool constrained
            = needsTicket || step.gang || step.maxPerWorker > 0 || !step.requiredLabel.empty();
    const auto &run = job.occurrences()[waiting.occurrence];
    const bool started = run.steps[static_cast<std::size_t>(waiting.step)].waiting == 0;
    if (!started && !constrained && !step.persistent && m_startsLeft > 0
        && !mayHaveRoom(job.job().pool, need, now))
        tooLarge.push_back(need);
    return started;
}

bool Scheduler::mayHaveRoom(const std::string &pool, const Resources &need, TimePoint now) const
{
    std::int64_t poolMilliCores = 0;
    std::int64_t reservedMilliCores = 0;
    bool reluctantly = false;
    for (const auto *it : m_pools.at(pool)) {
        poolMilliCores += it->description.capacity.milliCores;
        reservedMilliCores += it->reserved.milliCores;
        if (!it->available(now) || !it->free().covers(need))
            continue;
        if (!it->health.quarantined(now) && !it->health.slow(now))
            return true;
        reluctantly = true;
    }
    return reluctantly && 2 * reservedMilliCores <= poolMilliCores;
}

void Scheduler::startWaiting(JobRun &job, int occurrence, int step, TimePoint now)
{
    TaskId id{job.job().id, occurrence, step, 0};
    if (admissionSettings(job) != nullptr)
        requestAdmission(job, occurrence, step, now);
    const int count = job.job().spec.steps[static_cast<std::size_t>(step)].count;
    for (; id.index < count && m_startsLeft > 0; ++id.index) {
        auto *task = job.task(id);
        if (task == nullptr || task->phase != Task::Phase::Waiting || m_unwantedRuns.contains(id)
            || m_inheritedTrials.contains(id.job))
            continue;
        if (awaitsTeam(job, job.step(id)))
            return;
        auto *worker = chooseWorker(job, id, *task, now);
        // Only last attempts and suspected tasks may find no worker where others of the step do.
        if (worker == nullptr && !isLastAttempt(job, id) && suspicion(job, id, *task) == 0)
            return;
        if (worker != nullptr && prepareStart(job, id, *task, *worker, now))
            startRun(job, id, *task, *worker, now);
    }
}

void Scheduler::startGang(JobRun &job, int occurrence, int step, TimePoint now)
{
    const auto &spec = job.job().spec.steps[static_cast<std::size_t>(step)];
    auto &run = job.occurrences()[occurrence].steps[static_cast<std::size_t>(step)];
    if (run.waiting != static_cast<int>(run.tasks.size()))
        return;
    if (admissionSettings(job) != nullptr)
        requestAdmission(job, occurrence, step, now);
    std::vector<std::pair<TaskId, WorkerState *>> placed;
    int lastRun = 0;
    std::string checkpoint;
    for (int n = 0; n < spec.count; ++n) {
        const TaskId id{job.job().id, occurrence, step, n};
        if (m_unwantedRuns.contains(id))
            break;
        auto &task = run.tasks[static_cast<std::size_t>(n)];
        lastRun = std::max(lastRun, task.lastRun);
        if (!task.checkpoint.empty())
            checkpoint = task.checkpoint;
        // Another crash before the last one is saved would leave a successor with too low a count.
        if (!job.crashesSaved() && suspicion(job, id, task) > 0)
            break;
        auto *worker = chooseWorker(job, id, task, now);
        if (worker == nullptr)
            break;
        worker->reserved += spec.reserved();
        // Placeholder that counts towards maxPerWorker; removed below.
        worker->runs[id] = {};
        placed.emplace_back(id, worker);
    }
    for (const auto &[id, worker] : placed) {
        worker->reserved -= spec.reserved();
        worker->runs.erase(id);
    }
    if (static_cast<int>(placed.size()) < spec.count)
        return;
    for (const auto &[id, worker] : placed) {
        auto &task = run.tasks[static_cast<std::size_t>(id.index)];
        task.lastRun = lastRun;
        task.checkpoint = checkpoint;
        startRun(job, id, task, *worker, now);
    }
}

WorkerState *Scheduler::chooseWorker(const JobRun &job, const TaskId &id, const Task &task,
                                     TimePoint now)
{
    const auto &step = job.step(id);
    const auto pool = m_pools.find(job.job().pool);
    const auto waiting = candidate(job, id, task);
    bool fasterOneMayTakeIt = false;
    std::int64_t poolMilliCores = 0;
    std::int64_t reservedMilliCores = 0;
    const bool waitedLong = task.phase == Task::Phase::Waiting
                            && now - task.waitingSince >= internal::betterWorkerDelay;
    const bool urgentMove = step.persistent && isUrgentMove(id);
    WorkerState *quarantined = nullptr;
    std::tuple<bool, bool, Duration, std::int64_t> quarantinedScore;
    WorkerState *best = nullptr;
    std::tuple<bool, bool, std::ptrdiff_t, bool, bool, bool, bool, bool, std::int64_t, bool, bool,
               double>
            bestScore;
    const auto *target = job.trialTarget(id, task.lastRun + 1);
    const auto expected = waiting.suspicion > 0 ? expectedTrials(job, id) : StringMap<int>{};
    // The answers of the workers that do not answer now decide whether it is tried again.
    if (waiting.suspicion > job.crashes(id) && waiting.suspicion >= job.crashLimit(id)
        && now - task.waitingSince < internal::crashAnswerDelay)
        return nullptr;
    for (auto *it : pool->second) {
        const bool slow = it->health.slow(now);
        const bool isTarget = target != nullptr && *target == startTarget(*it);
        const auto obstacle = startObstacle(*it, waiting, now);
        fasterOneMayTakeIt = fasterOneMayTakeIt || (!slow && (!obstacle || passesSoon(*obstacle)));
        poolMilliCores += it->description.capacity.milliCores;
        reservedMilliCores += it->reserved.milliCores;
        if (obstacle == StartObstacle::Quarantined && waitedLong
            && !otherObstacle(*it, waiting, now)) {
            // A last attempt goes to the worker that has completed a run most recently.
            const auto sinceSuccess
                    = waiting.lastAttempt ? now - it->health.succeededAt() : Duration{0};
            const std::tuple score(
                    !isTarget, waiting.lastAttempt && task.failedOn.contains(it->description.id),
                    sinceSuccess, it->reserved.milliCores);
            if (quarantined == nullptr || score < quarantinedScore) {
                quarantined = it;
                quarantinedScore = score;
            }
        }
        if (obstacle)
            continue;
        const bool failedHere = task.failedOn.contains(it->description.id);
        const bool suspect = !task.failedOn.empty() && it->health.suspect(now);
        const bool noRecentSuccess
                = waiting.lastAttempt && !it->health.succeededSince(task.failedAt);
        const bool remote = !step.dataRack.empty() && !it->description.hasLabel(step.dataRack);
        const double load = static_cast<double>(it->reserved.milliCores)
                            / static_cast<double>(
                                    std::max<std::int64_t>(1, it->description.capacity.milliCores));
        // A worker that crashes by itself is always empty, but has never been up for long.
        const auto startedMs = waiting.suspicion > 0 ? it->latestStart() : std::int64_t{0};
        // Prefer workers with persistent tasks, then fuller ones: the others become idle and can be
        // moved to another pool or maintained.
        const auto others = expected.find(it->description.id);
        const auto neighbours
                = waiting.suspicion > 0
                          ? std::ssize(it->runs) + (others == expected.end() ? 0 : others->second)
                          : 0;
        // Of two suspected tasks on one worker, the crash would count for both.
        const bool besideSuspect
                = waiting.suspicion > 0 && now < it->probationUntil && it->probationJob != id.job;
        // A persistent task would have to be moved again before the maintenance.
        const bool movesAgain = urgentMove && it->maintenanceDeadline;
        const std::tuple score(!isTarget || slow, besideSuspect, neighbours, slow, failedHere,
                               suspect, noRecentSuccess, remote, startedMs, movesAgain,
                               it->persistentRuns == 0, -load);
        if (best == nullptr || score < bestScore) {
            best = it;
            bestScore = score;
        }
    }
    // Persistent tasks must run however full the pool is.
    const bool mostlyFree = step.persistent || 2 * reservedMilliCores <= poolMilliCores;
    if (best == nullptr)
        return mostlyFree ? quarantined : nullptr;
    const bool awaitsFasterOne = fasterOneMayTakeIt && !(waitedLong && mostlyFree);
    return awaitsFasterOne && best->health.slow(now) ? nullptr : best;
}

void Scheduler::startRun(JobRun &job, const TaskId &id, Task &task, WorkerState &worker,
                         TimePoint now)
{
    TaskRun run;
    run.task = id;
    run.run = ++task.lastRun;
    run.reserved = job.step(id).reserved();
    run.charge = chargeFor(id);
    run.startedAt = now;
    run.copiesUntil = now + internal::maxCallTime;
    run.resumed = !task.checkpoint.empty();
    worker.reserved += run.reserved;
    StartTask action;
    action.worker = worker.description.id;
    action.task = id;
    action.run = run.run;
    action.payload = job.job().spec.payload;
    action.checkpoint = task.checkpoint;
    if (admissionSettings(job) != nullptr)
        action.ticket = m_admissions.ticket({id.job, id.occurrence, id.step}, action.worker,
                                            worker.startedMs, now);
    action.holdUntil = extendHold(worker, now);
    action.startedMs = worker.startedMs;
    if (suspicion(job, id, task) > 0)
        beginProbation(worker, id.job, now);
    run.trial = job.trialTarget(id, run.run) != nullptr;
    run.persistent = job.step(id).persistent;
    worker.persistentRuns += static_cast<int>(run.persistent);
    worker.runs[id] = std::move(run);
    job.activate(id, worker.description.id);
    waitingChanged(job);
    m_actions.emplace_back(std::move(action));
    --m_startsLeft;
}

void Scheduler::startCopies(TimePoint now)
{
    for (const auto &[id, job] : m_open) {
        const auto &steps = job->job().spec.steps;
        if (std::ranges::none_of(steps, &JobStep::speculative) || blockedByUnknownRuns(*job))
            continue;
        for (auto &[occurrence, run] : job->occurrences()) {
            for (int n = 0; n < static_cast<int>(steps.size()); ++n) {
                auto &step = run.steps[static_cast<std::size_t>(n)];
                if (steps[static_cast<std::size_t>(n)].speculative && step.ready)
                    startStepCopies(*job, occurrence, n, now);
            }
        }
    }
}

void Scheduler::startStepCopies(JobRun &job, int occurrence, int step, TimePoint now)
{
    auto &run = job.occurrences()[occurrence].steps[static_cast<std::size_t>(step)];
    for (std::size_t n = 0; n < run.tasks.size(); ++n) {
        auto &task = run.tasks[n];
        if (task.phase != Task::Phase::Active || task.workers.size() != 1)
            continue;
        const TaskId id{job.job().id, occurrence, step, static_cast<int>(n)};
        const auto *holder = worker(task.workers.front());
        const auto known = holder->runs.find(id);
        if (known == holder->runs.end())
            continue;
        const auto limit = internal::copyThresholdFactor
                           * m_runTimes.expected(job.job().queue, job.step(id));
        const bool needsCopy = !holder->reachable || holder->health.quarantined(now)
                               || known->second.phase == TaskRun::Phase::Stopping
                               || now - known->second.startedAt > limit;
        // One more copy if the holder may have crashed, but none of a task that crashes workers.
        if (!needsCopy || job.crashes(id) > 0 || suspicion(job, id, task) > 1
            || m_inheritedTrials.contains(id.job) || awaitsTeam(job, job.step(id)))
            continue;
        auto *other = chooseWorker(job, id, task, now);
        if (other != nullptr && prepareStart(job, id, task, *other, now))
            startRun(job, id, task, *other, now);
    }
}

} // namespace dragonflysill
