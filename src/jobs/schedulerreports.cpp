// Handling of workers' answers: reports of runs and ends, outcomes of start and stop orders.

#include "dragonflysill/jobs/scheduler.h"

#include "schedulerconstants.h"
#include "stoporder.h"

#include <algorithm>
#include <set>
#include <utility>

namespace dragonflysill {

namespace internal {

/** Returns whether a report lists a run as running. */
bool lists(const WorkerReport &report, const TaskId &task, int run)
{
    return std::ranges::any_of(report.running, [&](const RunningReport &row) {
        return row.task == task && row.run == run;
    });
}

} // namespace internal

HoldRequest Scheduler::holdRequest(std::string_view id, TimePoint now)
{
    HoldRequest request;
    auto *it = findWorker(id);
    if (it == nullptr)
        return request;
    request.startedMs = it->startedMs;
    // The numbers of ends restart with each incarnation of a worker. Without a recent report that
    // lists ends, an acknowledgement could reach another incarnation and make it forget an end that
    // no owner has processed.
    if (it->reachable && it->lastReportListedEnds)
        request.acknowledgedEnds = it->lastSavedEnd;
    // An unanswered hold request may arrive late, so only reachable workers get a longer hold.
    if (it->time.known() && it->reachable)
        request.holdUntil = extendHold(*it, now);
    return request;
}

WorkerClock Scheduler::extendHold(WorkerState &worker, TimePoint now) const
{
    worker.holdSent = worker.time.clockAt(now, m_settings.hold);
    worker.holdSentAt = now;
    worker.heldUntil = std::max(worker.heldUntil,
                                worker.time.latestTimeOf(worker.holdSent) + internal::holdMargin);
    return worker.holdSent;
}

TimePoint Scheduler::earlierOrdersUntil(const WorkerState &worker, std::optional<Duration> age,
                                        TimePoint now)
{
    if (!age)
        return worker.earlierOrdersUntil;
    const auto latestStart = now - *age + internal::maxWallClockError;
    return std::min(worker.earlierOrdersUntil, latestStart + internal::maxFirstContactTime);
}

void Scheduler::holdCopiesUntilAnswer(WorkerState &worker) const
{
    for (auto &[task, run] : worker.runs) {
        // None, if the incarnation before has answered after the last copy could arrive.
        if (run.copiesUntil > worker.lastContact)
            run.copyHeldUntil = run.copiesUntil + internal::maxHoldTime(m_settings.maxHold);
    }
}

TimePoint Scheduler::heldByEarlierClock(const WorkerState &worker, const WorkerReport &report,
                                        TimePoint now) const
{
    const auto longest = internal::maxHoldTime(m_settings.maxHold);
    auto until = std::max(now, earlierOrdersUntil(worker, report.age, now) + longest);
    for (const auto &it : worker.earlierHolds)
        until = std::max(until,
                         std::min(it.arrivesUntil + longest,
                                  worker.time.latestTimeOf(it.until) + internal::holdMargin));
    return until;
}

void Scheduler::holdAnswered(std::string_view id, const WorkerReport &report, TimePoint sentAt,
                             TimePoint now)
{
    auto *it = findWorker(id);
    if (it == nullptr || it->retired || report.startedMs < it->startedMs)
        return;
    // A delegate leaves the list out of most reports. Without it, the runs that the new incarnation
    // has would count as ended; the next hold asks for it.
    if (it->startedMs != report.startedMs && !report.runningListed && !it->runs.empty()) {
        it->reachable = false;
        holdCopiesUntilAnswer(*it);
        return;
    }
    it->lastContact = now;
    it->lastReportListedEnds = !report.ended.empty() && now - sentAt <= internal::maxReportAge;
    if (!it->reachable || !it->fenced)
        m_changedPools.insert(it->description.pool);
    it->reachable = true;
    it->fenced = true;
    it->ended = false;
    if (it->startedMs == report.startedMs) {
        forgetUnexplainedRuns(*it);
        dischargeReleasedRuns(*it);
    } else {
        beginIncarnation(*it, report, sentAt, now);
        retirePreviousWorkers(*it, now);
    }
    it->time.observe(report.clock, now);
    for (const auto &end : report.ended) {
        if (end.number <= it->lastProcessedEnd)
            continue;
        it->lastProcessedEnd = end.number;
        applyEnd(*it, end, now);
    }
    if (report.runningListed) {
        it->lastReport = now;
        applyRunning(*it, report, sentAt, now);
    }
    acknowledgeSaved(*it);
}

void Scheduler::holdUnanswered(std::string_view id, TimePoint now)
{
    auto *it = findWorker(id);
    if (it == nullptr)
        return;
    if (it->reachable)
        it->silentSince = now;
    it->reachable = false;
    chargeReleasedRuns(*it, now);
}

void Scheduler::beginIncarnation(WorkerState &worker, const WorkerReport &report, TimePoint sentAt,
                                 TimePoint now)
{
    const bool first = worker.startedMs == 0;
    worker.restarted
            = worker.restarted || !first
              || (worker.recordedStartMs != 0 && worker.recordedStartMs < report.startedMs);
    auto suspected = suspectedRuns(worker);
    std::erase_if(suspected,
                  [&report](const SuspectedRun &it) { return it.startedMs == report.startedMs; });
    const auto earlierStartedMs = std::exchange(worker.startedMs, report.startedMs);
    worker.time.observe(report.clock, now);
    std::erase_if(worker.earlierHolds, [this, now](const EarlierHold &it) {
        return it.arrivesUntil + internal::maxHoldTime(m_settings.maxHold) <= now;
    });
    const auto holdSent = std::exchange(worker.holdSent, 0);
    if (holdSent != 0)
        worker.earlierHolds.push_back({holdSent, worker.holdSentAt + internal::maxCallTime});
    worker.lastProcessedEnd = 0;
    worker.lastSavedEnd = 0;
    worker.pendingEnds.clear();
    if (first && worker.restarted)
        worker.heldUntil = std::max(worker.heldUntil, heldByEarlierClock(worker, report, now));
    else if (!first)
        worker.heldUntil = heldByEarlierClock(worker, report, now);
    if (worker.restarted)
        m_restarts.push_back(
                {worker.description.id, worker.startedMs, earlierStartedMs, report.clock, holdSent,
                 holdSent == 0 ? Duration{0} : now - worker.holdSentAt, worker.heldUntil - now});
    if (first) {
        forgetUnexplainedRuns(worker);
        recordCrashes(suspected, now);
        return;
    }
    // A start order on its way may have reached the new incarnation, and one that it lists has.
    std::erase_if(suspected, [&](const SuspectedRun &it) {
        const auto *run = worker.findRun(it.task, it.run);
        return (run != nullptr && run->phase == TaskRun::Phase::Starting)
               || internal::lists(report, it.task, it.run);
    });
    forgetUnexplainedRuns(worker);
    chargeReleasedRuns(worker, now);
    worker.otherRuns.clear();
    worker.health = {};
    for (auto it = worker.runs.begin(); it != worker.runs.end();) {
        const auto run = it++;
        auto &known = run->second;
        const bool running = known.phase == TaskRun::Phase::Running;
        // A start order that was not answered before the hold request was sent may have reached the
        // new incarnation.
        const bool undecided = known.phase == TaskRun::Phase::Starting
                               || (running && known.orderSettledAt >= sentAt);
        if (undecided || internal::lists(report, known.task, known.run))
            continue;
        if (now < known.copiesUntil) {
            awaitCopies(worker, known, now);
        } else if (running) {
            recordAnomaly(RunAnomalyKind::EarlierIncarnation, worker, known, now);
            releaseRun(worker, run, now);
        }
    }
    for (const auto &it : worker.releasedRuns) {
        if (now < it.copiesUntil)
            m_actions.emplace_back(internal::stopOrder(worker, it.task, it.run));
    }
    recordCrashes(suspected, now);
}

void Scheduler::recordAnomaly(RunAnomalyKind kind, const WorkerState &worker, const TaskRun &run,
                              TimePoint now)
{
    m_anomalies.push_back({kind, run.task, run.run, worker.description.id, worker.startedMs,
                           run.inherited ? Duration{0} : now - run.startedAt, run.confirmed});
}

void Scheduler::releaseRun(WorkerState &worker, std::map<TaskId, TaskRun>::iterator run,
                           TimePoint now)
{
    std::erase_if(worker.releasedRuns,
                  [now](const ReleasedRun &it) { return now >= it.copiesUntil; });
    if (now < run->second.copiesUntil)
        worker.releasedRuns.push_back({run->first, run->second.run, run->second.copiesUntil,
                                       worker.startedMs, run->second.charge.account(),
                                       run->second.charge.amount(), TeamCharge()});
    worker.reserved -= run->second.reserved;
    worker.persistentRuns -= static_cast<int>(run->second.persistent);
    if (run->second.unwanted && --m_unwantedRuns[run->first] == 0)
        m_unwantedRuns.erase(run->first);
    if (auto *job = find(run->first.job)) {
        if (auto *task = job->task(run->first); task != nullptr && !run->second.checkpoint.empty())
            task->checkpoint = run->second.checkpoint;
        // A run that may have crashed its worker stays a trial until that is known.
        const bool unexplained
                = std::ranges::any_of(worker.unexplainedRuns, [&run](const SuspectedRun &it) {
                      return it.task == run->first && it.run == run->second.run;
                  });
        if (!unexplained) {
            job->endTrial(run->first, run->second.run);
            queueSave(*job);
        }
        job->deactivate(run->first, worker.description.id, now);
        waitingChanged(*job);
    }
    worker.runs.erase(run);
    m_changedPools.insert(worker.description.pool);
}

void Scheduler::loseRuns(WorkerState &worker, TimePoint now)
{
    for (auto it = worker.runs.begin(); it != worker.runs.end();) {
        const auto run = it++;
        if (run->second.phase == TaskRun::Phase::Starting
            || now < std::max(run->second.copiesUntil, run->second.copyHeldUntil))
            continue;
        auto *job = find(run->first.job);
        if (mayHaveCrashed(worker, run->second) && job != nullptr && !job->hasEnded()
            && job->hasTask(run->first)) {
            awaitExplanation(
                    worker, {run->first, run->second.run, worker.startedMs, run->second.confirmed});
            // A successor must learn of the crash, too, if there was one.
            job->beginTrial(run->first, run->second.run, startTarget(worker));
            if (run->second.confirmed)
                job->confirmTrial(run->first, run->second.run);
            queueSave(*job);
        }
        recordAnomaly(RunAnomalyKind::HoldExpired, worker, run->second, now);
        releaseRun(worker, run, now);
    }
    worker.otherRuns.clear();
}

void Scheduler::applyEnd(WorkerState &worker, const EndReport &end, TimePoint now)
{
    const auto run = worker.runs.find(end.task);
    const bool current = run != worker.runs.end() && run->second.run == end.run;
    auto *job = find(end.task.job);
    std::uint64_t change = 0;
    if (job != nullptr && !job->hasEnded() && job->hasTask(end.task)) {
        if (auto *task = job->task(end.task))
            task->lastRun = std::max(task->lastRun, end.run);
        job->markStarted();
        job->endTrial(end.task, end.run);
        recordCheckpoint(*job, end, current ? &run->second : nullptr);
        if (end.end == RunEnd::Done && !job->step(end.task).persistent)
            applyDone(worker, end, current ? &run->second : nullptr, now);
        else if (end.end == RunEnd::Failed)
            applyFailure(worker, end, now);
        queueSave(*job);
    }
    // An end that changes nothing may still depend on unsaved changes caused by other ends.
    if (job != nullptr)
        change = job->changes();
    if (const auto it = worker.unadoptedRuns.find(end.task);
        it != worker.unadoptedRuns.end() && it->second.run == end.run)
        worker.unadoptedRuns.erase(it);
    if (current)
        releaseRun(worker, worker.runs.find(end.task), now);
    const bool unsaved = change != 0 && job->saved() < change;
    worker.pendingEnds.push_back({end.number, unsaved ? end.task.job : std::string(), change});
}

void Scheduler::recordCheckpoint(JobRun &job, const EndReport &end, TaskRun *run)
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
    auto &job = *find(end.task.job);
    worker.health.succeeded(now);
    if (run != nullptr && !run->resumed && run->checkpoint.empty()
        && run->orderSettledAt != TimePoint{})
        observeCompletedRun(worker, *run, now);
    if (!job.complete(end.task, now))
        return;
    waitingChanged(job);
    stopOtherRuns(worker, end, now);
    if (job.hasEnded())
        endJob(job, now);
}

void Scheduler::observeCompletedRun(WorkerState &worker, const TaskRun &run, TimePoint now)
{
    auto &job = *find(run.task.job);
    const auto &step = job.step(run.task);
    m_runTimes.observe(job.job().queue, step, now - run.startedAt);
    observeSlowdown(worker, run, now - run.startedAt, now);
}

void Scheduler::observeProgress(WorkerState &worker, const TaskRun &run, TimePoint now)
{
    // The percentage of a resumed run includes the progress of earlier runs.
    if (run.percent >= internal::minProgressPercent && !run.resumed)
        observeSlowdown(worker, run, (now - run.startedAt) * internal::fullPercent / run.percent,
                        now);
}

void Scheduler::observeSlowdown(WorkerState &worker, const TaskRun &run, Duration took,
                                TimePoint now)
{
    auto *job = find(run.task.job);
    if (job == nullptr || run.inherited || run.pace < internal::fullPercent)
        return;
    const auto &step = job->step(run.task);
    // Not comparable: runs far from their data are slower on any worker, and members of a gang wait
    // for each other.
    if (step.persistent || step.bestEffort || step.gang || !step.dataRack.empty())
        return;
    if (const auto ratio = job->compareRunTime(run.task, worker.description.id, took))
        worker.health.observeSlowdown(*ratio, now);
}

void Scheduler::applyFailure(WorkerState &worker, const EndReport &end, TimePoint now)
{
    auto &job = *find(end.task.job);
    if (auto *task = job.task(end.task)) {
        task->failedOn.insert(worker.description.id);
        task->failedAt = now;
    }
    // Persistent tasks may fail at any time and have no limit of attempts.
    if (job.step(end.task).persistent)
        return;
    worker.health.failed(end.task.job, now);
    if (!job.fail(end.task, end.run))
        return;
    for (auto &[id, other] : m_workers)
        other.health.discardFailures(end.task.job);
    endJob(job, now);
}

void Scheduler::applyRunning(WorkerState &worker, const WorkerReport &report, TimePoint sentAt,
                             TimePoint now)
{
    std::set<std::pair<TaskId, int>> listed;
    std::set<std::pair<TaskId, int>> others;
    worker.unadoptedRuns.clear();
    for (const auto &row : report.running) {
        listed.insert({row.task, row.run});
        const auto run = worker.runs.find(row.task);
        if (run == worker.runs.end()) {
            auto [it, isFirst] = worker.unadoptedRuns.try_emplace(row.task);
            RunningReport &adopted = it->second;
            if (isFirst) {
                adopted = row;
                it->second.charge = chargeFor(row.task);
            } else {
                // The newer one of two runs is adopted.
                auto older = row;
                if (older.run > adopted.run)
                    std::swap(older, adopted);
                others.insert({older.task, older.run});
                stopOtherRun(worker, older, now);
            }
            m_unadoptedRunsReported = true;
            continue;
        }
        auto &known = run->second;
        if (known.run != row.run) {
            others.insert({row.task, row.run});
            stopOtherRun(worker, row, now);
            continue;
        }
        confirmRun(known);
        if (known.phase == TaskRun::Phase::Starting || known.phase == TaskRun::Phase::Unconfirmed) {
            known.phase = TaskRun::Phase::Running;
            known.orderSettledAt = now;
        }
        const bool stopIneffective = known.phase == TaskRun::Phase::Stopping && known.stopAnswered
                                     && known.orderSettledAt + m_settings.stopTime < sentAt;
        if (stopIneffective)
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
    std::erase_if(worker.otherRuns, [&](const auto &it) { return !others.contains(it.first); });
    if (report.ended.size() >= internal::maxEndsPerReport)
        return;
    for (auto it = worker.runs.begin(); it != worker.runs.end();) {
        const auto run = it++;
        if (listed.contains({run->first, run->second.run}))
            continue;
        const auto &known = run->second;
        const bool running
                = known.phase == TaskRun::Phase::Running && known.orderSettledAt < sentAt;
        const bool stopped = known.phase == TaskRun::Phase::Stopping && known.stopAnswered
                             && known.orderSettledAt + m_settings.stopTime < sentAt;
        if (running && now < known.copiesUntil) {
            stopRun(worker, run->second, now);
            continue;
        }
        if (running)
            recordAnomaly(RunAnomalyKind::NotListed, worker, known, now);
        if (running || stopped)
            releaseRun(worker, run, now);
    }
}

void Scheduler::stopOtherRun(WorkerState &worker, const RunningReport &report, TimePoint now)
{
    const auto [it, isNew] = worker.otherRuns.try_emplace({report.task, report.run});
    auto &other = it->second;
    if (isNew) {
        other.charge = chargeFor(report.task);
        m_anomalies.push_back({RunAnomalyKind::OtherRun, report.task, report.run,
                               worker.description.id, worker.startedMs});
    } else if (now - other.stopSentAt <= internal::orderRetryDelay) {
        return;
    }
    other.stopSentAt = now;
    m_actions.emplace_back(internal::stopOrder(worker, report.task, report.run));
}

void Scheduler::processUnadoptedRuns(WorkerState &worker, TimePoint now)
{
    for (auto it = worker.unadoptedRuns.begin(); it != worker.unadoptedRuns.end();) {
        const auto *job = find(it->first.job);
        const auto unreached = m_unreachedWorkers.find(worker.description.pool);
        // The step may become ready when workers that have not answered yet report the ends of
        // earlier steps.
        const bool stepMayBecomeReady
                = job != nullptr && job->inherited && !job->hasEnded() && job->hasTask(it->first)
                  && find(it->first.job)->task(it->first) == nullptr
                  && unreached != m_unreachedWorkers.end() && unreached->second > 0;
        if (stepMayBecomeReady) {
            ++it;
            continue;
        }
        if (!worker.runs.contains(it->first))
            adoptRun(worker, it->second, now);
        it = worker.unadoptedRuns.erase(it);
    }
}

void Scheduler::adoptRun(WorkerState &worker, const RunningReport &report, TimePoint now)
{
    TaskRun run;
    run.task = report.task;
    run.run = report.run;
    run.charge = chargeFor(report.task);
    run.inherited = true;
    run.phase = TaskRun::Phase::Running;
    run.startedAt = now;
    run.copiesUntil
            = m_firstDecisionAt.value_or(now) + m_settings.previousOwner + internal::maxCallTime;
    run.orderSettledAt = now;
    run.progressAt = now;
    run.percent = report.percent;
    run.checkpoint = report.checkpoint;
    run.usage = report.usage;
    auto *job = find(report.task.job);
    auto *task = job == nullptr ? nullptr : job->task(report.task);
    const bool wanted = task != nullptr && !job->hasEnded() && task->phase != Task::Phase::Done
                        && (task->workers.empty()
                            || (job->step(report.task).speculative && task->workers.size() < 2));
    auto &known = worker.runs[report.task] = std::move(run);
    if (!wanted) {
        m_anomalies.push_back({RunAnomalyKind::Unknown, report.task, report.run,
                               worker.description.id, worker.startedMs});
        known.unwanted = true;
        ++m_unwantedRuns[report.task];
        stopRun(worker, known, now);
        return;
    }
    task->lastRun = std::max(task->lastRun, report.run);
    known.reserved = job->step(report.task).reserved();
    worker.reserved += known.reserved;
    known.persistent = job->step(report.task).persistent;
    worker.persistentRuns += static_cast<int>(known.persistent);
    job->activate(report.task, worker.description.id);
    job->endTrial(report.task, report.run);
    waitingChanged(*job);
    job->markStarted();
    queueSave(*job);
}

void Scheduler::acknowledgeSaved(WorkerState &worker)
{
    while (!worker.pendingEnds.empty()) {
        const auto &end = worker.pendingEnds.front();
        const auto *job = end.job.empty() ? nullptr : find(end.job);
        if (job != nullptr && job->saved() < end.change)
            return;
        worker.lastSavedEnd = end.number;
        worker.pendingEnds.pop_front();
    }
}

bool Scheduler::isStarting(const StartTask &start) const
{
    const auto *holder = worker(start.worker);
    if (holder == nullptr)
        return false;
    const auto it = holder->runs.find(start.task);
    return it != holder->runs.end() && it->second.run == start.run
           && it->second.phase == TaskRun::Phase::Starting;
}

void Scheduler::startConfirmed(const StartTask &start, WorkerClock clock, TimePoint now, int copies)
{
    auto *worker = findWorker(start.worker);
    if (worker == nullptr)
        return;
    worker->lastContact = now;
    // The next incarnation may answer before its first report.
    const bool sameIncarnation = worker->time.mayShow(clock, now);
    if (start.startedMs == worker->startedMs && sameIncarnation)
        worker->time.observe(clock, now);
    // Whichever it is, it takes the end of the start's hold for a time on its own clock.
    if (!worker->ended || !sameIncarnation) {
        const Duration held = std::min(m_settings.maxHold, Milliseconds(start.holdUntil - clock));
        worker->heldUntil = std::max(worker->heldUntil, now + internal::maxHoldTime(held));
    }
    auto *run = worker->findRun(start.task, start.run);
    if (run == nullptr)
        return;
    run->orderSettledAt = now;
    // A delegate sends no second copy earlier.
    if (copies == 1 && now - run->startedAt < internal::singleCopyTime)
        run->copiesUntil = now;
    confirmRun(*run);
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
        newerOwnerSeen();
        break;
    case StartRefusal::InvalidTicket:
        m_admissions.dropTicket({start.task.job, start.task.occurrence, start.task.step},
                                start.worker);
        if (auto *job = find(start.task.job))
            job->ticketsRequired = true;
        break;
    case StartRefusal::InsufficientCapacity:
    case StartRefusal::StaleRun:
        worker->pausedUntil = now + internal::capacityPause;
        break;
    case StartRefusal::Unhealthy:
    case StartRefusal::NotSent:
        worker->pausedUntil = now + internal::unhealthyPause;
        break;
    case StartRefusal::HoldExpired:
    case StartRefusal::OtherIncarnation:
    case StartRefusal::Invalid:
        // The next report updates the clock and the incarnation.
        worker->reachable = false;
        break;
    }
    if (auto *run = worker->findRun(start.task, start.run)) {
        recordAnomaly(RunAnomalyKind::Refused, *worker, *run, now);
        // It is known that no copy of the order can be carried out.
        run->charge = {};
        releaseRun(*worker, worker->runs.find(start.task), now);
    }
}

void Scheduler::startUnanswered(const StartTask &start, TimePoint now)
{
    auto *worker = findWorker(start.worker);
    if (worker == nullptr)
        return;
    auto *run = worker->findRun(start.task, start.run);
    if (run == nullptr || run->phase != TaskRun::Phase::Starting)
        return;
    // The order may still take effect, so it must be blocked before the task starts elsewhere.
    run->phase = TaskRun::Phase::Unconfirmed;
    run->orderSettledAt = now;
    // The next orders to this worker may be lost in the same way.
    if (auto *job = find(start.task.job)) {
        if (auto *task = job->task(start.task))
            task->failedOn.insert(start.worker);
    }
    stopRun(*worker, *run, now);
}

void Scheduler::stopConfirmed(const StopTask &stop, TimePoint now)
{
    auto *worker = findWorker(stop.worker);
    if (worker == nullptr)
        return;
    worker->lastContact = now;
    // The answer of an earlier incarnation says nothing about the present one.
    if (stop.startedMs != worker->startedMs)
        return;
    if (auto *run = worker->findRun(stop.task, stop.run)) {
        run->stopAnswered = true;
        run->orderSettledAt = now;
    }
}

void Scheduler::stopUnanswered(const StopTask &stop, TimePoint now)
{
    auto *worker = findWorker(stop.worker);
    if (worker == nullptr)
        return;
    if (auto *run = worker->findRun(stop.task, stop.run)) {
        run->orderSettledAt = now;
        // The next check of the worker's runs sends it again.
        run->stopSentAt = {};
    }
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
