// What workers answer: reports of runs and ends, and the outcome of starts and stops.

#include "dragonflysill/jobs/scheduler.h"

#include "schedulertimes.h"

#include <algorithm>

namespace dragonflysill {

HoldRequest Scheduler::holdRequest(std::string_view id, TimePoint now)
{
    HoldRequest request;
    auto *it = findWorker(id);
    if (it == nullptr)
        return request;
    // The numbers of ends begin anew with each life of a worker: without a recent report that lists
    // ends, an acknowledgement could reach another life and make it forget an end that nobody saw.
    if (it->reachable && it->endsListed)
        request.acknowledgedEnds = it->endsAcknowledged;
    // A hold that is not answered may arrive late; only reachable workers are promised more time.
    if (it->time.known() && it->reachable) {
        request.holdUntil = it->time.at(now, m_settings.hold);
        it->heldUntil = std::max(it->heldUntil,
                                 it->time.latest(*request.holdUntil) + internal::holdMargin);
    }
    return request;
}

void Scheduler::holdAnswered(std::string_view id, const WorkerReport &report, TimePoint sentAt,
                             TimePoint now)
{
    auto *it = findWorker(id);
    if (it == nullptr || it->retired || report.startedMs < it->startedMs)
        return;
    it->lastContact = now;
    it->lastReport = now;
    it->endsListed = !report.ended.empty();
    it->reachable = true;
    it->fenced = true;
    if (it->startedMs != report.startedMs)
        beginLife(*it, report, sentAt, now);
    it->time.observe(report.clock, now);
    for (const auto &end : report.ended) {
        if (end.number <= it->endsSeen)
            continue;
        it->endsSeen = end.number;
        applyEnd(*it, end, now);
    }
    applyRunning(*it, report, sentAt, now);
    acknowledgeSaved(*it);
}

void Scheduler::holdUnanswered(std::string_view id, TimePoint /*now*/)
{
    if (auto *it = findWorker(id))
        it->reachable = false;
}

void Scheduler::beginLife(WorkerState &worker, const WorkerReport &report, TimePoint sentAt,
                          TimePoint now)
{
    const bool first = worker.startedMs == 0;
    worker.startedMs = report.startedMs;
    worker.time.forget();
    worker.endsSeen = 0;
    worker.endsAcknowledged = 0;
    worker.pendingEnds.clear();
    if (first)
        return;
    worker.health = {};
    worker.heldUntil = now;
    for (auto it = worker.runs.begin(); it != worker.runs.end();) {
        const auto run = it++;
        const bool listed = std::ranges::any_of(report.running, [&](const RunningReport &row) {
            return row.task == run->first && row.run == run->second.run;
        });
        // A start that is not settled, or was after the hold was sent, may have reached the new
        // life; a run that is being stopped is settled by the answer to the stop.
        const bool later
                = run->second.phase != TaskRun::Phase::Running || run->second.settledAt >= sentAt;
        if (!listed && !later)
            releaseRun(worker, run, now);
    }
}

void Scheduler::releaseRun(WorkerState &worker, std::map<TaskId, TaskRun>::iterator run,
                           TimePoint now)
{
    worker.reserved -= run->second.reserved;
    worker.persistentRuns -= static_cast<int>(run->second.persistent);
    if (run->second.leftover && --m_leftovers[run->first] == 0)
        m_leftovers.erase(run->first);
    if (auto *owner = find(run->first.job)) {
        if (auto *task = owner->task(run->first);
            task != nullptr && !run->second.checkpoint.empty())
            task->checkpoint = run->second.checkpoint;
        owner->deactivate(run->first, worker.description.id, now);
    }
    worker.runs.erase(run);
}

void Scheduler::loseRuns(WorkerState &worker, TimePoint now)
{
    for (auto it = worker.runs.begin(); it != worker.runs.end();) {
        const auto run = it++;
        if (run->second.phase != TaskRun::Phase::Starting)
            releaseRun(worker, run, now);
    }
}

void Scheduler::applyEnd(WorkerState &worker, const EndReport &end, TimePoint now)
{
    const auto run = worker.runs.find(end.task);
    const bool current = run != worker.runs.end() && run->second.run == end.run;
    auto *owner = find(end.task.job);
    std::uint64_t change = 0;
    if (owner != nullptr && !owner->hasEnded() && owner->valid(end.task)) {
        if (auto *task = owner->task(end.task))
            task->lastRun = std::max(task->lastRun, end.run);
        keepCheckpoint(*owner, end, current ? &run->second : nullptr);
        if (end.end == RunEnd::Done && !owner->step(end.task).persistent)
            applyDone(worker, end, current ? &run->second : nullptr, now);
        else if (end.end == RunEnd::Failed && !owner->step(end.task).persistent)
            applyFailure(worker, end, now);
        markDirty(*owner);
    }
    // Also an end that changes nothing rests on what has been learnt from other ends.
    if (owner != nullptr)
        change = owner->changes();
    worker.strays.erase(end.task);
    if (current)
        releaseRun(worker, worker.runs.find(end.task), now);
    const bool unsaved = change != 0 && owner->saved() < change;
    worker.pendingEnds.push_back({end.number, unsaved ? end.task.job : std::string(), change});
}

void Scheduler::keepCheckpoint(JobRun &job, const EndReport &end, TaskRun *run)
{
    if (end.checkpoint.empty())
        return;
    if (auto *task = job.task(end.task))
        task->checkpoint = end.checkpoint;
    if (run != nullptr)
        run->checkpoint = end.checkpoint;
}

void Scheduler::applyDone(WorkerState &worker, const EndReport &end, const TaskRun *run,
                          TimePoint now)
{
    auto &owner = *find(end.task.job);
    worker.health.succeeded(now);
    if (run != nullptr && run->checkpoint.empty() && run->settledAt != TimePoint{})
        observeRun(worker, *run, now);
    if (!owner.complete(end.task, now))
        return;
    stopOtherRuns(end.task, worker.description.id, now);
    if (owner.hasEnded())
        endJob(owner, now);
}

void Scheduler::observeRun(WorkerState &worker, const TaskRun &run, TimePoint now)
{
    auto &owner = *find(run.task.job);
    const auto &step = owner.step(run.task);
    m_runTimes.observe(owner.job().queue, step, now - run.startedAt);
    observePace(worker, run, now - run.startedAt, now);
}

void Scheduler::observeProgress(WorkerState &worker, const TaskRun &run, TimePoint now)
{
    if (run.percent >= internal::tellingPercent)
        observePace(worker, run, (now - run.startedAt) * internal::atWork / run.percent, now);
}

void Scheduler::observePace(WorkerState &worker, const TaskRun &run, Duration took, TimePoint now)
{
    auto *owner = find(run.task.job);
    if (owner == nullptr || run.inherited || run.pace < internal::atWork)
        return;
    const auto &step = owner->step(run.task);
    // Runs far from their data are slower wherever they are, and those of a gang wait for others.
    if (step.persistent || step.bestEffort || step.gang || !step.dataRack.empty())
        return;
    if (const auto ratio = owner->comparePace(run.task, worker.description.id, took))
        worker.health.observePace(*ratio, now);
}

void Scheduler::applyFailure(WorkerState &worker, const EndReport &end, TimePoint now)
{
    auto &owner = *find(end.task.job);
    worker.health.failed(end.task.job, now);
    if (auto *task = owner.task(end.task)) {
        task->failedOn.insert(worker.description.id);
        task->failedAt = now;
    }
    if (!owner.fail(end.task, end.run))
        return;
    for (auto &[id, other] : m_workers)
        other.health.exonerate(end.task.job);
    endJob(owner, now);
}

void Scheduler::applyRunning(WorkerState &worker, const WorkerReport &report, TimePoint sentAt,
                             TimePoint now)
{
    std::map<TaskId, int> listed;
    worker.strays.clear();
    for (const auto &row : report.running) {
        listed[row.task] = row.run;
        const auto run = worker.runs.find(row.task);
        if (run == worker.runs.end()) {
            worker.strays[row.task] = row;
            continue;
        }
        auto &known = run->second;
        if (known.run != row.run)
            continue;
        if (known.phase == TaskRun::Phase::Starting || known.phase == TaskRun::Phase::Unconfirmed) {
            known.phase = TaskRun::Phase::Running;
            known.settledAt = now;
        }
        const bool outlivedStop = known.phase == TaskRun::Phase::Stopping && known.stopAnswered
                                  && known.settledAt + m_settings.stopTime < sentAt;
        if (outlivedStop)
            known.stopAnswered = false;
        if (known.percent != row.percent || known.progressAt == TimePoint{})
            known.progressAt = now;
        known.percent = row.percent;
        known.usage = row.usage;
        if (known.phase == TaskRun::Phase::Running)
            observeProgress(worker, known, now);
        if (!row.checkpoint.empty())
            known.checkpoint = row.checkpoint;
    }
    if (report.ended.size() >= internal::endsPerReport)
        return;
    for (auto it = worker.runs.begin(); it != worker.runs.end();) {
        const auto run = it++;
        const auto row = listed.find(run->first);
        if (row != listed.end() && row->second == run->second.run)
            continue;
        const auto &known = run->second;
        const bool running = known.phase == TaskRun::Phase::Running && known.settledAt < sentAt;
        const bool stopped = known.phase == TaskRun::Phase::Stopping && known.stopAnswered
                             && known.settledAt + m_settings.stopTime < sentAt;
        if (running || stopped)
            releaseRun(worker, run, now);
    }
}

void Scheduler::settleStrays(WorkerState &worker, TimePoint now)
{
    for (auto it = worker.strays.begin(); it != worker.strays.end();) {
        const auto *owner = find(it->first.job);
        const auto unresolved = m_unresolved.find(worker.description.pool);
        // Its step becomes ready as soon as the ends of earlier steps have been reported.
        const bool early = owner != nullptr && owner->inherited && !owner->hasEnded()
                           && owner->valid(it->first)
                           && find(it->first.job)->task(it->first) == nullptr
                           && unresolved != m_unresolved.end() && unresolved->second > 0;
        if (early) {
            ++it;
            continue;
        }
        if (!worker.runs.contains(it->first))
            adopt(worker, it->second, now);
        it = worker.strays.erase(it);
    }
}

void Scheduler::adopt(WorkerState &worker, const RunningReport &report, TimePoint now)
{
    TaskRun run;
    run.task = report.task;
    run.run = report.run;
    run.inherited = true;
    run.phase = TaskRun::Phase::Running;
    run.startedAt = now;
    run.settledAt = now;
    run.progressAt = now;
    run.percent = report.percent;
    run.checkpoint = report.checkpoint;
    run.usage = report.usage;
    auto *owner = find(report.task.job);
    auto *task = owner == nullptr ? nullptr : owner->task(report.task);
    const bool wanted = task != nullptr && !owner->hasEnded() && task->phase != Task::Phase::Done
                        && (task->workers.empty()
                            || (owner->step(report.task).speculative && task->workers.size() < 2));
    auto &known = worker.runs[report.task] = std::move(run);
    if (!wanted) {
        known.leftover = true;
        ++m_leftovers[report.task];
        stopRun(worker, known, now);
        return;
    }
    task->lastRun = std::max(task->lastRun, report.run);
    known.reserved = owner->step(report.task).reserved();
    worker.reserved += known.reserved;
    known.persistent = owner->step(report.task).persistent;
    worker.persistentRuns += static_cast<int>(known.persistent);
    owner->activate(report.task, worker.description.id);
    owner->noteStarted();
    markDirty(*owner);
}

void Scheduler::acknowledgeSaved(WorkerState &worker)
{
    while (!worker.pendingEnds.empty()) {
        const auto &end = worker.pendingEnds.front();
        const auto *owner = end.job.empty() ? nullptr : find(end.job);
        if (owner != nullptr && owner->saved() < end.change)
            return;
        worker.endsAcknowledged = end.number;
        worker.pendingEnds.pop_front();
    }
}

void Scheduler::startConfirmed(const StartTask &start, WorkerClock clock, TimePoint now)
{
    auto *worker = findWorker(start.worker);
    if (worker == nullptr)
        return;
    worker->lastContact = now;
    worker->time.observe(clock, now);
    auto *run = worker->findRun(start.task, start.run);
    if (run == nullptr)
        return;
    run->settledAt = now;
    if (run->phase == TaskRun::Phase::Starting)
        run->phase = TaskRun::Phase::Running;
}

void Scheduler::startRefused(const StartTask &start, StartRefusal refusal, TimePoint now)
{
    auto *worker = findWorker(start.worker);
    if (worker == nullptr)
        return;
    switch (refusal) {
    case StartRefusal::Fenced:
        m_replaced = true;
        break;
    case StartRefusal::InvalidTicket:
        m_admissions.refused({start.task.job, start.task.occurrence, start.task.step},
                             start.worker);
        break;
    case StartRefusal::InsufficientCapacity:
    case StartRefusal::StaleRun:
        worker->pausedUntil = now + internal::roomPause;
        break;
    case StartRefusal::Unhealthy:
        worker->pausedUntil = now + internal::unhealthyPause;
        break;
    case StartRefusal::HoldExpired:
    case StartRefusal::OtherIncarnation:
    case StartRefusal::Invalid:
        // The next report gives the clock and the life anew.
        worker->reachable = false;
        break;
    }
    if (worker->findRun(start.task, start.run) != nullptr)
        releaseRun(*worker, worker->runs.find(start.task), now);
}

void Scheduler::startUnanswered(const StartTask &start, TimePoint now)
{
    auto *worker = findWorker(start.worker);
    if (worker == nullptr)
        return;
    auto *run = worker->findRun(start.task, start.run);
    if (run == nullptr || run->phase != TaskRun::Phase::Starting)
        return;
    // It may still take effect, so that it has to be blocked before the task starts elsewhere.
    run->phase = TaskRun::Phase::Unconfirmed;
    run->settledAt = now;
    stopRun(*worker, *run, now);
}

void Scheduler::stopConfirmed(const StopTask &stop, TimePoint now)
{
    auto *worker = findWorker(stop.worker);
    if (worker == nullptr)
        return;
    worker->lastContact = now;
    if (auto *run = worker->findRun(stop.task, stop.run)) {
        run->stopAnswered = true;
        run->settledAt = now;
    }
}

void Scheduler::stopUnanswered(const StopTask &stop, TimePoint now)
{
    auto *worker = findWorker(stop.worker);
    if (worker == nullptr)
        return;
    if (auto *run = worker->findRun(stop.task, stop.run))
        run->settledAt = now;
}

void Scheduler::paceAnswered(const PaceTask &pace, bool confirmed)
{
    auto *worker = findWorker(pace.worker);
    if (worker == nullptr)
        return;
    if (auto *run = worker->findRun(pace.task, pace.run))
        run->paceConfirmed = confirmed && run->pace == pace.percent;
}

} // namespace dragonflysill
