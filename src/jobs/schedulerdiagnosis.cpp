// Obstacles between waiting tasks and workers, for decisions and for the log.

#include "dragonflysill/jobs/scheduler.h"

#include "schedulerconstants.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace dragonflysill {

std::string_view obstacleName(StartObstacle obstacle)
{
    static constexpr std::array<std::string_view, startObstacleCount> names{
            "unlisted",       "leaving",      "paused",
            "quarantined",    "too-small",    "label",
            "step-limit",     "no-ticket",    "no-free-capacity",
            "has-run",        "probation",    "not-alone",
            "awaits-success", "team-ceiling", "exceeds-team-ceiling"};
    return names.at(static_cast<std::size_t>(obstacle));
}

Scheduler::Candidate Scheduler::candidate(const JobRun &job, const TaskId &id,
                                          const Task &task) const
{
    return {job,
            id,
            task,
            job.step(id),
            suspicion(job, id, task),
            isLastAttempt(job, id),
            admissionSettings(job) != nullptr};
}

std::optional<StartObstacle>
Scheduler::startObstacle(const WorkerState &worker, const Candidate &candidate, TimePoint now) const
{
    if (worker.available(now) && worker.health.quarantined(now))
        return StartObstacle::Quarantined;
    return otherObstacle(worker, candidate, now);
}

std::optional<StartObstacle>
Scheduler::otherObstacle(const WorkerState &worker, const Candidate &candidate, TimePoint now) const
{
    const auto &[job, id, task, step, suspected, lastAttempt, needsTicket] = candidate;
    if (!worker.listed || !worker.reachable || !worker.fenced)
        return StartObstacle::Unlisted;
    if (worker.description.draining || worker.leaving)
        return StartObstacle::Leaving;
    if (now < worker.pausedUntil)
        return StartObstacle::Paused;
    if (!worker.description.capacity.covers(step.reserved()))
        return StartObstacle::TooSmall;
    if (!worker.description.hasLabel(step.requiredLabel))
        return StartObstacle::MissingLabel;
    if (step.maxPerWorker > 0) {
        const auto first = worker.runs.lower_bound(TaskId{id.job, id.occurrence, id.step, 0});
        const auto last = worker.runs.lower_bound(TaskId{id.job, id.occurrence, id.step + 1, 0});
        if (std::distance(first, last) >= step.maxPerWorker)
            return StartObstacle::StepLimit;
    }
    if (!worker.free().covers(step.reserved()))
        return StartObstacle::NoFreeCapacity;
    const bool mayWait = now - task.waitingSince < internal::emptyWorkerDelay;
    if (mayWait && now < worker.probationUntil && worker.probationJob != id.job)
        return StartObstacle::Probation;
    if (mayWait && suspected > 0 && std::ranges::any_of(worker.runs, [&candidate](const auto &it) {
            return it.first.job != candidate.id.job;
        }))
        return StartObstacle::NotAlone;
    if (worker.runs.contains(id))
        return StartObstacle::HasRun;
    if (needsTicket
        && m_admissions
                   .ticket({id.job, id.occurrence, id.step}, worker.description.id,
                           worker.startedMs, now)
                   .empty())
        return StartObstacle::NoTicket;
    if (lastAttempt && !worker.health.succeededSince(task.failedAt)
        && now - task.failedAt < internal::lastAttemptWait)
        return StartObstacle::AwaitsSuccess;
    return std::nullopt;
}

int Scheduler::lackingWorkers(const JobRun &job, const JobStep &step, TimePoint now) const
{
    int lacking = step.persistent && step.maxPerWorker > 0
                          ? (step.count + step.maxPerWorker - 1) / step.maxPerWorker
                          : 1;
    const auto pool = m_pools.find(job.job().pool);
    if (pool == m_pools.end())
        return lacking;
    for (const auto *it : pool->second) {
        if (lacking == 0)
            break;
        lacking -= static_cast<int>(it->listed && it->reachable && !it->leaving
                                    && !it->description.draining && !it->health.quarantined(now)
                                    && it->description.capacity.covers(step.reserved()));
    }
    return lacking;
}

bool Scheduler::isLastAttempt(const JobRun &job, const TaskId &id)
{
    const auto failures = job.failures(id);
    return failures > 0 && failures >= job.job().policy.attempts - 1;
}

WaitingTaskReport Scheduler::describeWaiting(const JobRun &job, const TaskId &id, const Task &task,
                                             TimePoint now) const
{
    WaitingTaskReport report;
    report.job = id.job;
    report.position = id.position();
    report.pool = job.job().pool;
    report.waited = std::chrono::duration_cast<Milliseconds>(now - task.waitingSince);
    report.awaitsInheritedRuns = blockedByUnknownRuns(job);
    report.awaitsUnwantedRun = m_unwantedRuns.contains(id);
    const auto pool = m_pools.find(report.pool);
    if (pool == m_pools.end())
        return report;
    report.team = job.job().team;
    report.teamObstacle = teamObstacle(job, job.step(id));
    const auto waiting = candidate(job, id, task);
    for (const auto *it : pool->second) {
        if (it->reachable) {
            report.poolMilliCores += it->description.capacity.milliCores;
            report.reservedMilliCores += it->reserved.milliCores;
        }
        auto obstacle = startObstacle(*it, waiting, now);
        if (!obstacle)
            obstacle = report.teamObstacle;
        if (obstacle) {
            ++report.obstacles.at(static_cast<std::size_t>(*obstacle));
            continue;
        }
        ++report.suitableWorkers;
        report.slowWorkers += static_cast<int>(it->health.slow(now));
    }
    return report;
}

std::set<std::string_view> Scheduler::busyPools() const
{
    std::set<std::string_view> busy;
    for (const auto &[pool, workers] : m_pools) {
        std::int64_t milliCores = 0;
        std::int64_t reserved = 0;
        for (const auto *it : workers) {
            if (!it->reachable)
                continue;
            milliCores += it->description.capacity.milliCores;
            reserved += it->reserved.milliCores;
        }
        if (2 * reserved > milliCores)
            busy.insert(pool);
    }
    return busy;
}

std::vector<WaitingTaskReport> Scheduler::longWaitingTasks(Duration waited, std::size_t limit,
                                                           TimePoint now) const
{
    std::vector<WaitingTaskReport> reports;
    // Waits for a ceiling are usual and must not hide others.
    std::vector<WaitingTaskReport> ofTeams;
    const auto busy = busyPools();
    for (const auto &[jobId, job] : m_open) {
        if (reports.size() >= limit)
            break;
        if (busy.contains(job->job().pool))
            continue;
        const Task *longest = nullptr;
        TaskId id;
        bool anyActive = false;
        for (const auto &[occurrence, run] : job->occurrences()) {
            for (std::size_t n = 0; n < run.steps.size(); ++n) {
                const auto &step = run.steps[n];
                for (std::size_t index = 0; index < step.tasks.size(); ++index) {
                    const auto &task = step.tasks[index];
                    anyActive = anyActive || task.phase == Task::Phase::Active;
                    if (task.phase != Task::Phase::Waiting
                        || (longest != nullptr && longest->waitingSince <= task.waitingSince))
                        continue;
                    longest = &task;
                    id = {jobId, occurrence, static_cast<int>(n), static_cast<int>(index)};
                }
            }
        }
        if (anyActive || longest == nullptr || now - longest->waitingSince < waited)
            continue;
        const bool awaitsTeam = teamObstacle(*job, job->step(id)).has_value();
        if (awaitsTeam && ofTeams.size() >= limit)
            continue;
        (awaitsTeam ? ofTeams : reports).push_back(describeWaiting(*job, id, *longest, now));
    }
    for (auto &it : ofTeams) {
        if (reports.size() < limit)
            reports.push_back(std::move(it));
    }
    return reports;
}

} // namespace dragonflysill
