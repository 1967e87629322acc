#include "dragonflysill/jobs/scheduler.h"

#include "schedulerconstants.h"
#include "stoporder.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dragonflysill {

Scheduler::Scheduler(SchedulerSettings settings, int runOffset)
    : m_settings(settings)
    , m_runOffset(runOffset)
    , m_teamRates(settings.teamRates)
{
}

Scheduler::~Scheduler() = default;

JobRun *Scheduler::find(std::string_view id)
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : it->second.get();
}

const JobRun *Scheduler::job(std::string_view id) const
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : it->second.get();
}

WorkerState *Scheduler::findWorker(std::string_view id)
{
    const auto it = m_workers.find(id);
    return it == m_workers.end() ? nullptr : &it->second;
}

const WorkerState *Scheduler::worker(std::string_view id) const
{
    const auto it = m_workers.find(id);
    return it == m_workers.end() ? nullptr : &it->second;
}

void Scheduler::addJob(SubmittedJob job, JobProgress progress, bool inherited, Duration age,
                       TimePoint now)
{
    if (m_jobs.contains(job.id))
        return;
    const std::string id = job.id;
    auto run = std::make_unique<JobRun>(std::move(job), std::move(progress), m_runOffset);
    const auto &policy = run->job().policy;
    const auto chain = m_runTimes.longestChain(run->job());
    run->inherited = inherited;
    run->team = m_teams.account(run->job().team);
    if (inherited && run->team != nullptr)
        m_inheritedTeamJobs.push_back(id);
    run->accepted = now - age;
    run->objective = run->accepted + policy.targetRuntime + scaled(chain, policy.slackFactor);
    if (!run->hasEnded()) {
        m_open[id] = run.get();
        if (inherited && !run->progress().trials.empty())
            m_inheritedTrials.insert(id);
        if (run->team == nullptr)
            recordArrival(*run);
        else
            m_unclassifiedJobs.push_back(id);
        waitingChanged(*run);
    }
    m_jobs.emplace(id, std::move(run));
}

double Scheduler::expectedWork(const JobRun &job) const
{
    double coreSeconds = 0;
    for (const auto &step : job.job().spec.steps) {
        if (step.persistent || step.bestEffort)
            continue;
        const auto time = m_runTimes.expected(job.job().queue, step);
        coreSeconds
                += toSeconds(time) * step.count * static_cast<double>(step.need.milliCores) / 1000;
    }
    return coreSeconds;
}

void Scheduler::cancelJob(std::string_view id, TimePoint now)
{
    auto *it = find(id);
    if (it == nullptr || it->hasEnded())
        return;
    it->cancel();
    endJob(*it, now);
}

void Scheduler::removeJob(std::string_view id)
{
    const auto it = m_jobs.find(id);
    if (it == m_jobs.end() || !it->second->hasEnded())
        return;
    if (it->second->queueOutdated)
        std::erase(m_outdatedJobs, it->second.get());
    m_jobs.erase(it);
}

void Scheduler::queueSave(JobRun &job)
{
    if (job.saveInFlight || job.changes() == job.saved())
        return;
    if (job.hasEnded() && !std::exchange(job.endQueued, true))
        m_unsavedEnds.push_back(job.job().id);
    if (!std::exchange(job.saveQueued, true))
        m_unsavedJobs.push_back(job.job().id);
}

void Scheduler::endJob(JobRun &job, TimePoint now)
{
    const std::string id = job.job().id;
    m_open.erase(id);
    m_queues[job.job().pool].remove(job);
    m_admissions.removeJob(id);
    for (auto &[name, worker] : m_workers) {
        const auto first = worker.runs.lower_bound(TaskId{id, 0, 0, 0});
        for (auto it = first; it != worker.runs.end() && it->first.job == id; ++it)
            stopRun(worker, it->second, now);
    }
    queueSave(job);
}

void Scheduler::addOrUpdateWorker(const WorkerDescription &description, TimePoint now)
{
    auto &worker = m_workers[description.id];
    m_workersChanged = true;
    // What earlier incarnations may have received still counts.
    if (worker.isLaterIncarnation(description)) {
        worker.ended = false;
        worker.retired = false;
    }
    const bool known = !worker.description.id.empty();
    if (worker.retired || (known && description.startedMs < worker.description.startedMs))
        return;
    if (known && description.startedMs > worker.description.startedMs) {
        // Another incarnation: nothing is started on it before it has reported its runs.
        worker.reachable = false;
        worker.fenced = false;
        holdCopiesUntilAnswer(worker);
        chargeReleasedRuns(worker, now);
    }
    if (!known || worker.description.pool != description.pool) {
        if (known)
            std::erase(m_pools[worker.description.pool], &worker);
        m_pools[description.pool].push_back(&worker);
    }
    worker.description = description;
    worker.listed = true;
    worker.unlistAt.reset();
    if (!known) {
        worker.lastContact = now;
        retirePreviousWorkers(worker, now);
    }
}

void Scheduler::retirePreviousWorkers(const WorkerState &worker, TimePoint now)
{
    const auto &description = worker.description;
    const bool answered = worker.startedMs != 0;
    const auto startedMs = answered ? worker.startedMs : description.startedMs;
    if (description.instance.empty() || startedMs == 0)
        return;
    for (auto &[id, other] : m_workers) {
        if (id == description.id || other.description.instance != description.instance
            || other.latestStart() >= startedMs)
            continue;
        const bool fellSilent = other.fenced && !other.reachable;
        if (answered || fellSilent)
            retire(other, WorkerEnd::Replaced, now);
    }
}

void Scheduler::retireWorker(std::string_view id, WorkerEnd end, TimePoint now)
{
    if (auto *it = findWorker(id))
        retire(*it, end, now);
}

void Scheduler::retire(WorkerState &worker, WorkerEnd end, TimePoint now)
{
    const auto suspected = suspectedRuns(worker);
    forgetUnexplainedRuns(worker);
    worker.listed = false;
    worker.reachable = false;
    // The next incarnation has seen no fencing token and carries out what still arrives.
    worker.fenced = false;
    worker.heldUntil = end == WorkerEnd::Down ? std::max(now, worker.earlierOrdersUntil) : now;
    worker.unadoptedRuns.clear();
    worker.otherRuns.clear();
    m_workersChanged = true;
    chargeReleasedRuns(worker, now);
    // No order reaches a worker that has been replaced.
    if (end == WorkerEnd::Replaced) {
        for (auto &it : worker.releasedRuns) {
            it.team = nullptr;
            it.charge = {};
        }
    }
    for (auto it = worker.runs.begin(); it != worker.runs.end();) {
        const auto run = it++;
        if (end == WorkerEnd::Down && now < run->second.copiesUntil) {
            awaitCopies(worker, run->second, now);
            continue;
        }
        recordAnomaly(RunAnomalyKind::WorkerEnded, worker, run->second, now);
        run->second.charge = {};
        releaseRun(worker, run, now);
    }
    // A worker with runs left is still asked, so that a later incarnation is heard of.
    worker.ended = true;
    worker.retired = worker.mayBeRetired(now);
    recordCrashes(suspected, now);
}

void Scheduler::addInheritedWorker(const WorkerDescription &description, TimePoint now)
{
    addOrUpdateWorker(description, now);
    auto &worker = m_workers[description.id];
    worker.listed = false;
    worker.recordedStartMs = description.startedMs;
    worker.restarted = description.restarted;
    const auto lastOrder = now + m_settings.previousOwner;
    worker.earlierOrdersUntil = lastOrder + internal::maxCallTime;
    worker.heldUntil = lastOrder + internal::maxHoldTime(m_settings.hold);
}

void Scheduler::unlistWorker(std::string_view id, TimePoint now)
{
    auto *it = findWorker(id);
    if (it == nullptr)
        return;
    // Entries expire during a store outage; a reachable worker has some time to register again.
    if (it->reachable && !it->description.draining && it->listed)
        it->unlistAt = now + internal::unlistGrace;
    else
        it->listed = false;
}

void Scheduler::setLeaving(std::string_view id, bool leaving)
{
    if (auto *it = findWorker(id))
        it->leaving = leaving;
}

void Scheduler::setMaintenanceDeadline(std::string_view id, std::optional<TimePoint> deadline)
{
    if (auto *it = findWorker(id))
        it->maintenanceDeadline = deadline;
}

void Scheduler::stopRun(WorkerState &worker, TaskRun &run, TimePoint now)
{
    if (run.phase == TaskRun::Phase::Stopping)
        return;
    run.moved = run.phase == TaskRun::Phase::Running && run.percent >= internal::fullPercent;
    run.phase = TaskRun::Phase::Stopping;
    run.stopSentAt = now;
    run.stopAnswered = false;
    m_actions.emplace_back(internal::stopOrder(worker, run.task, run.run));
}

void Scheduler::awaitCopies(WorkerState &worker, TaskRun &run, TimePoint now)
{
    run.incarnationEnded = true;
    run.copyHeldUntil = {};
    // What the earlier incarnation answered does not count for the next one.
    run.stopAnswered = false;
    run.stopSentAt = now;
    if (run.phase == TaskRun::Phase::Stopping)
        m_actions.emplace_back(internal::stopOrder(worker, run.task, run.run));
    else if (run.phase != TaskRun::Phase::Starting)
        stopRun(worker, run, now);
}

void Scheduler::stopOtherRuns(const WorkerState &worker, const EndReport &end, TimePoint now)
{
    auto *job = find(end.task.job);
    const auto *it = job == nullptr ? nullptr : job->task(end.task);
    if (it == nullptr)
        return;
    for (const auto &id : std::vector<std::string>(it->workers)) {
        auto *holder = findWorker(id);
        if (holder == nullptr)
            continue;
        const auto run = holder->runs.find(end.task);
        const bool hasEnded
                = holder == &worker && run != holder->runs.end() && run->second.run == end.run;
        if (run != holder->runs.end() && !hasEnded)
            stopRun(*holder, run->second, now);
    }
}

std::vector<ProgressUpdate> Scheduler::takeUpdates(std::size_t limit)
{
    std::vector<ProgressUpdate> updates;
    for (auto *queue : {&m_unsavedEnds, &m_unsavedJobs}) {
        while (updates.size() < limit && !queue->empty()) {
            auto *it = find(queue->front());
            queue->pop_front();
            // A job that has ended is in both queues.
            if (it == nullptr || !std::exchange(it->saveQueued, false))
                continue;
            it->endQueued = false;
            it->saveInFlight = true;
            updates.push_back({it->job().id, it->changes(), it->progress()});
        }
    }
    m_savesInFlight += static_cast<int>(!updates.empty());
    return updates;
}

void Scheduler::updatesSaved(std::span<const ProgressUpdate> updates, bool saved)
{
    if (!updates.empty()) {
        --m_savesInFlight;
        m_saveAnswered = true;
        m_lastSaveFailed = !saved;
    }
    for (const auto &update : updates) {
        auto *it = find(update.job);
        if (it == nullptr)
            continue;
        it->saveInFlight = false;
        if (saved) {
            it->markSaved(update.change);
            // Its trials may start now.
            if (!update.progress.trials.empty())
                m_changedPools.insert(it->job().pool);
        }
        queueSave(*it);
    }
    if (!saved)
        return;
    for (auto &[id, worker] : m_workers)
        acknowledgeSaved(worker);
}

std::vector<SchedulerAction> Scheduler::decide(TimePoint now, std::int64_t unixMs)
{
    if (!m_firstDecisionAt)
        m_firstDecisionAt = now;
    observeSaves(now);
    openOccurrences(unixMs, now);
    checkWorkers(now);
    settleInheritedTrials(now);
    if (now - m_queuesRebuiltAt >= internal::queueRebuildInterval) {
        m_queuesRebuiltAt = now;
        for (const auto &[id, job] : m_open)
            waitingChanged(*job);
    }
    updateQueues(unixMs, now);
    planOverload(now);
    updateQueues(unixMs, now);
    std::vector<std::string> pools;
    for (const auto &[pool, queue] : m_queues)
        pools.push_back(pool);
    dispatchPools(pools, Search::All, now);
    startCopies(now);
    return std::exchange(m_actions, {});
}

std::vector<SchedulerAction> Scheduler::decideAfterEvent(TimePoint now, std::int64_t unixMs)
{
    if (!m_firstDecisionAt)
        return decide(now, unixMs);
    observeSaves(now);
    if (std::exchange(m_workersChanged, false) || !m_unreachedWorkers.empty())
        countUnreachedWorkers(now);
    // A run that a worker reported must be known before its task may be started elsewhere.
    if (std::exchange(m_unadoptedRunsReported, false)) {
        for (auto &[id, worker] : m_workers) {
            processUnadoptedRuns(worker, now);
            m_unadoptedRunsReported = m_unadoptedRunsReported || !worker.unadoptedRuns.empty();
        }
    }
    updateQueues(unixMs, now);
    m_changedPools.merge(m_teams.takeFreedPools());
    dispatchPools({m_changedPools.begin(), m_changedPools.end()}, Search::First, now);
    return std::exchange(m_actions, {});
}

void Scheduler::openOccurrences(std::int64_t unixMs, TimePoint now)
{
    for (const auto &[id, job] : m_open) {
        const auto due = job->nextDueMs();
        if ((due != 0 ? due <= unixMs : job->occurrences().empty())
            && job->openDueOccurrences(unixMs, now))
            waitingChanged(*job);
    }
}

void Scheduler::waitingChanged(JobRun &job)
{
    if (!std::exchange(job.queueOutdated, true))
        m_outdatedJobs.push_back(&job);
}

void Scheduler::updateQueues(std::int64_t unixMs, TimePoint now)
{
    classifyJobs();
    for (auto *job : std::exchange(m_outdatedJobs, {})) {
        job->queueOutdated = false;
        if (!job->hasEnded() && job->occurrences().empty())
            job->openDueOccurrences(unixMs, now);
        if (job->hasEnded()) {
            // Opening an occurrence completes it if workers reported its ends to this owner before.
            if (m_open.contains(job->job().id))
                endJob(*job, now);
            continue;
        }
        const auto remaining = remainingWork(*job);
        if (!job->job().spec.scheduled)
            job->latestStart = job->objective - remaining;
        m_queues[job->job().pool].update(*job, remaining, now);
        m_changedPools.insert(job->job().pool);
    }
}

namespace internal {

/** Maximum number of different needs that a pool's load names. */
constexpr std::size_t maxLackingNeeds = 8;

/** Returns what a number of tasks, which may be a part of one, needs of a resource. */
std::int64_t amountOf(std::int64_t need, double tasks)
{
    return std::llround(static_cast<double>(need) * tasks);
}

} // namespace internal

void Scheduler::addLackingWorkers(std::vector<LackingWorkers> &known, const LackingWorkers &added)
{
    const auto it = std::ranges::find(known, added.need, &LackingWorkers::need);
    if (it != known.end())
        it->count = std::max(it->count, added.count);
    else if (known.size() < internal::maxLackingNeeds)
        known.push_back(added);
}

std::map<std::string, PoolLoad, std::less<>> Scheduler::loads(TimePoint now) const
{
    auto loads = m_acceptedLoad;
    const auto shares = startableShares();
    for (const auto &[id, job] : m_open) {
        auto &load = loads[job->job().pool];
        for (const auto &[occurrence, run] : job->occurrences()) {
            for (std::size_t n = 0; n < run.steps.size(); ++n) {
                const auto &step = job->job().spec.steps[n];
                const auto &tasks = run.steps[n];
                if (step.persistent && step.maxPerWorker > 0)
                    load.spread = std::max(load.spread, (step.count + step.maxPerWorker - 1)
                                                                / step.maxPerWorker);
                const auto waiting = startableTasks(*job, step, tasks.waiting, shares);
                const auto lacking = waiting > 0 ? lackingWorkers(*job, step, now) : 0;
                if (lacking > 0)
                    addLackingWorkers(load.lacking, {lacking, step.reserved()});
                const auto cpu = step.reserved().milliCores;
                const int running = tasks.ready ? static_cast<int>(tasks.tasks.size())
                                                          - tasks.waiting - tasks.done
                                                : 0;
                const auto needed = waiting + running;
                load.waitingMilliCores += internal::amountOf(cpu, waiting);
                load.runningMilliCores += cpu * running;
                load.memoryMb += internal::amountOf(step.need.memoryMb, needed);
                const bool outranked
                        = now > job->latestStart || job->rateClass == RateClass::Excess;
                if (outranked && !step.persistent) {
                    load.lateMilliCores += internal::amountOf(cpu, needed);
                    load.lateMemoryMb += internal::amountOf(step.need.memoryMb, needed);
                }
            }
        }
    }
    // All workers that the persistent tasks need may be in use while some have to leave theirs.
    for (const auto &[pool, lacking] : m_lackingForMoves) {
        addLackingWorkers(loads[pool].lacking, {1, lacking.need});
        ++loads[pool].spread;
    }
    return loads;
}

} // namespace dragonflysill
