#include "dragonflysill/node/scheduleowner.h"

#include "dragonflysill/base/time.h"
#include "dragonflysill/jobs/jobcodec.h"
#include "dragonflysill/node/nodekeys.h"
#include "dragonflysill/node/teamlog.h"
#include "dragonflysill/telemetry/log.h"
#include "nodesettings.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace dragonflysill {

using namespace std::chrono_literals;

namespace internal {

using namespace std::chrono_literals;

/** Interval between two decisions without an event, for changes that depend only on time. */
constexpr Duration tickInterval = 50ms;
/** Interval between two decisions about moves and maintenance. */
constexpr Duration fleetInterval = 100ms;
/** The same interval on an overloaded node. */
constexpr Duration maxFleetInterval = 300ms;
/** Delay between an event and the decision, so that events shortly after share the decision. */
constexpr Duration decisionDelay = 3ms;
/** The same delay on an overloaded node. */
constexpr Duration maxDecisionDelay = 30ms;
/** Minimum interval between two writes of progress, unless a job has ended. */
constexpr Duration minSaveInterval = 60ms;
/**
 * Maximum number of writes of progress in flight. One alone would limit the saved ends by the
 * response time of the store and by the delay of the event loop.
 */
constexpr int maxSavesInFlight = 4;
/** A transaction of the store may have 32 entries: one for the owner's condition, two per job. */
constexpr std::size_t updatesPerWrite = 14;
/** Maximum number of jobs removed in one transaction; each has three keys. */
constexpr std::size_t removalsPerWrite = 9;
/** Number of run numbers per task that are reserved for each owner. */
constexpr int runsPerOwner = 1000;
/** Time that a task waits, with free capacity in its pool, before the log says why. */
constexpr Duration longWait = 2000ms;
/** Interval between two log entries about such tasks, and their maximum number at a time. */
constexpr Duration waitLogInterval = 1000ms;
constexpr std::size_t maxWaitLogEntries = 3;
/** Interval between two searches of the replica for jobs that have ended. */
constexpr Duration endedSearchInterval = 2000ms;
/** Time for which ended jobs are kept beyond the time that callers may request their status. */
constexpr Duration retentionMargin = 30s;

/** Returns true if a job has ended and a new owner must count runs of it that it cannot know. */
bool mayHaveUnknownRuns(const ReplicatedJob &job)
{
    // Most jobs complete, and their progress need not be read.
    if (job.status == JobStatus::Completed)
        return false;
    const auto progress = decodeProgress(job.progress);
    return progress && dragonflysill::mayHaveUnknownRuns(*progress, unixMilliseconds());
}

SchedulerSettings schedulerSettings(const platform::NodeSettings &settings)
{
    SchedulerSettings result;
    result.hold = std::min(result.hold, settings.maxHold);
    result.maxHold = settings.maxHold;
    result.stopTime = settings.stopTime;
    result.teamRates = {settings.teamRateWindow, settings.teamRateExcess};
    return result;
}

} // namespace internal

ScheduleOwner::ScheduleOwner(OwnerContext context, std::int64_t fence, std::int64_t generation)
    : m_context(std::move(context))
    , m_fence(fence)
    , m_scheduler(internal::schedulerSettings(m_context.settings),
                  static_cast<int>(generation) * internal::runsPerOwner)
    , m_routes(m_context.peers, m_context.replica, m_scheduler, m_context.settings.name, fence)
    , m_workerController(m_context.loop,
                         {m_context.holdClient, m_context.orderClient, m_context.serviceClient},
                         m_scheduler, m_context.governor, fence,
                         m_context.settings.admissionAddress,
                         {[this](const WorkerTarget &worker, int copy) {
                              return m_routes.route(worker, copy);
                          },
                          [this](const WorkerChannel &channel) { m_routes.failed(channel); }},
                         m_context.mayGiveOrders, [this] { requestDecision(); })
    , m_fleet(m_context, m_scheduler, fence,
              generation == 0 ? EventLoop::now()
                              : EventLoop::now() + m_context.settings.machineLease)
    , m_workers(m_context, m_scheduler, fence, [this] { requestDecision(); })
    , m_endedJobs(m_context.settings.statusRetention + internal::retentionMargin)
{
    m_scheduler.setEndedJobs([this](std::string_view id) -> std::optional<SubmittedJob> {
        const auto *job = m_context.replica.job(std::string(id));
        if (job == nullptr || job->acceptedRevision == 0 || job->record == rejectedRecord)
            return std::nullopt;
        auto decoded = decodeJob(id, job->record);
        return decoded ? std::optional(std::move(*decoded)) : std::nullopt;
    });
    startScheduling();
}

ScheduleOwner::~ScheduleOwner()
{
    *m_alive = false;
}

void ScheduleOwner::startScheduling()
{
    // Start only when the replica contains all writes of earlier owners.
    if (m_context.replica.asOf() < m_fence) {
        m_context.loop.after(internal::decisionDelay, [this, alive = m_alive] {
            if (*alive)
                startScheduling();
        });
        return;
    }
    for (const auto &[id, job] : m_context.replica.jobs())
        addJob(id, job, true);
    m_started = true;
    for (const auto &it : std::exchange(m_wavesBeforeStart, {}))
        m_fleet.addWave(it);
    m_workers.start();
    tick();
}

void ScheduleOwner::addJob(const std::string &id, const ReplicatedJob &job, bool inherited)
{
    if (job.acceptedRevision == 0 || job.record == rejectedRecord
        || (isFinal(job.status) && !(inherited && internal::mayHaveUnknownRuns(job))))
        return;
    auto decoded = decodeJob(id, job.record);
    if (!decoded) {
        logWarning("job-unreadable", {{"job", id}, {"error", decoded.error().text()}});
        return;
    }
    JobProgress progress;
    if (!job.progress.empty()) {
        auto saved = decodeProgress(job.progress);
        if (!saved) {
            logWarning("progress-unreadable", {{"job", id}, {"error", saved.error().text()}});
            return;
        }
        progress = std::move(*saved);
    }
    const auto now = EventLoop::now();
    const auto age = std::max<std::int64_t>(0, unixMilliseconds() - decoded->acceptedMs);
    m_scheduler.addJob(std::move(*decoded), std::move(progress), inherited, Milliseconds(age), now);
    if (job.cancelled)
        m_scheduler.cancelJob(id, now);
}

void ScheduleOwner::jobChanged(const std::string &id, const ReplicatedJob &job)
{
    if (!m_started)
        return;
    if (m_scheduler.job(id) == nullptr)
        addJob(id, job, false);
    else if (job.cancelled)
        m_scheduler.cancelJob(id, EventLoop::now());
    requestDecision();
}

bool ScheduleOwner::mayEndSoon(std::string_view job) const
{
    const auto *it = m_scheduler.job(job);
    return it != nullptr && it->mayEndSoon();
}

void ScheduleOwner::setConfiguration(const FleetConfiguration &configuration)
{
    m_fleet.setConfiguration(configuration);
    std::set<std::string> pools;
    for (const auto &it : configuration.pools)
        pools.insert(it.name);
    m_workers.addPools(pools);
    std::map<std::string, WorkerAdmissionSettings> admissionSettings;
    std::set<std::string> otherQueues;
    for (const auto &it : configuration.queues) {
        if (it.policy.workerAdmission)
            admissionSettings.emplace(it.name, *it.policy.workerAdmission);
        else
            otherQueues.insert(it.name);
    }
    m_scheduler.setAdmissionQueues(std::move(admissionSettings), std::move(otherQueues));
    m_scheduler.setTeams(configuration.teams);
    // Without teams, callers do not compete and jobs are served as before.
    m_scheduler.setOverloadPlanning(configuration.usesTeams);
}

void ScheduleOwner::addWave(const MaintenanceWave &wave)
{
    if (m_started)
        m_fleet.addWave(wave);
    else
        m_wavesBeforeStart.push_back(wave);
}

void ScheduleOwner::tick()
{
    m_context.loop.after(internal::tickInterval, [this, alive = m_alive] {
        if (*alive)
            tick();
    });
    decide();
}

void ScheduleOwner::requestDecision()
{
    if (std::exchange(m_decisionDue, true))
        return;
    m_decisionRequestedAt = EventLoop::now();
    const auto delay
            = m_context.governor.stretched(internal::decisionDelay, internal::maxDecisionDelay);
    m_context.loop.after(delay, [this, alive = m_alive] {
        if (!*alive)
            return;
        m_decisionDue = false;
        m_decisionCounts.delay.observe(EventLoop::now() - m_decisionRequestedAt);
        decideAfterEvent();
    });
}

bool ScheduleOwner::mayDecide()
{
    if (!m_started)
        return false;
    if (!m_context.mayGiveOrders()) {
        // Keep extending the holds of current runs for a while, because the lease may be recovered.
        if (m_context.mayExtendHolds())
            m_workerController.sendDueHolds(EventLoop::now());
        return false;
    }
    if (m_scheduler.replaced()) {
        m_context.onNewerOwner();
        return false;
    }
    return true;
}

void ScheduleOwner::decide()
{
    if (!mayDecide())
        return;
    const auto now = EventLoop::now();
    m_workerController.addNewWorkers(now);
    if (now - m_fleetDecidedAt
        >= m_context.governor.stretched(internal::fleetInterval, internal::maxFleetInterval)) {
        m_fleetDecidedAt = now;
        m_fleet.tick(now);
        m_workers.updateRecord();
        m_routes.update(now);
        findEndedJobs(now);
    }
    removeOldJobs(now);
    logWaitingTasks(now);
    limitStarts();
    carryOut(m_scheduler.decide(now, unixMilliseconds()), now);
}

void ScheduleOwner::logWaitingTasks(TimePoint now)
{
    if (now - m_waitsLoggedAt < internal::waitLogInterval)
        return;
    m_waitsLoggedAt = now;
    logTeamUse(m_scheduler.teamUsage());
    logTeamRates(m_scheduler.teamRates());
    logCeilingExcesses(m_scheduler.takeCeilingExcesses(internal::maxWaitLogEntries));
    for (const auto &it :
         m_scheduler.longWaitingTasks(internal::longWait, internal::maxWaitLogEntries, now)) {
        std::string obstacles;
        for (std::size_t n = 0; n < it.obstacles.size(); ++n) {
            if (it.obstacles.at(n) == 0)
                continue;
            obstacles += obstacles.empty() ? "" : " ";
            obstacles += std::string(obstacleName(static_cast<StartObstacle>(n))) + '='
                         + std::to_string(it.obstacles.at(n));
        }
        logWarning("task-waiting",
                   {{"job", it.job},
                    {"task", it.position},
                    {"pool", it.pool},
                    {"waited_ms", std::to_string(it.waited.count())},
                    {"reserved_cores", std::to_string(it.reservedMilliCores / 1000)},
                    {"pool_cores", std::to_string(it.poolMilliCores / 1000)},
                    {"suitable_workers", std::to_string(it.suitableWorkers)},
                    {"slow_workers", std::to_string(it.slowWorkers)},
                    {"other_workers", obstacles},
                    {"awaits_inherited_runs", it.awaitsInheritedRuns ? "yes" : "no"},
                    {"awaits_unwanted_run", it.awaitsUnwantedRun ? "yes" : "no"},
                    {"team", it.team}});
    }
}

void ScheduleOwner::logRunAnomalies()
{
    for (const auto &it : m_scheduler.takeRunAnomalies()) {
        ++m_runAnomalyCounts[it.kind];
        // Workers refuse starts all the time while their pool is full.
        if (it.kind == RunAnomalyKind::Refused)
            continue;
        logInfo("run-anomaly", {{"job", it.task.job},
                                {"task", it.task.position()},
                                {"run", std::to_string(it.run)},
                                {"worker", it.worker},
                                {"incarnation", std::to_string(it.startedMs)},
                                {"age_ms", std::to_string(it.age / 1ms)},
                                {"confirmed", it.confirmed ? "yes" : "no"},
                                {"reason", std::string(runAnomalyName(it.kind))},
                                {"fence", std::to_string(m_fence)}});
    }
}

void ScheduleOwner::logWorkerRestarts()
{
    for (const auto &it : m_scheduler.takeWorkerRestarts())
        logInfo("worker-restarted", {{"worker", it.worker},
                                     {"incarnation", std::to_string(it.startedMs)},
                                     {"earlier", std::to_string(it.earlierStartedMs)},
                                     {"clock_ms", std::to_string(it.clock)},
                                     {"hold_sent", std::to_string(it.holdSent)},
                                     {"since_hold_ms", std::to_string(it.sinceHold / 1ms)},
                                     {"held_ms", std::to_string(it.held / 1ms)},
                                     {"fence", std::to_string(m_fence)}});
}

void ScheduleOwner::decideAfterEvent()
{
    if (!mayDecide())
        return;
    const auto now = EventLoop::now();
    limitStarts();
    carryOut(m_scheduler.decideAfterEvent(now, unixMilliseconds()), now);
}

void ScheduleOwner::limitStarts()
{
    m_scheduler.setStartLimit(m_context.linkBudget.starts(Scheduler::maxStartsPerDecision));
}

void ScheduleOwner::carryOut(const std::vector<SchedulerAction> &actions, TimePoint startedAt)
{
    for (const auto &it : actions)
        m_workerController.execute(it);
    m_workerController.sendDueHolds(startedAt);
    saveProgress();
    logWorkerRestarts();
    logRunAnomalies();
    m_context.linkBudget.started(static_cast<int>(std::ranges::count_if(
            actions, [](const auto &it) { return std::holds_alternative<StartTask>(it); })));
    // On a full link, the next decision without an event is early enough.
    if (m_scheduler.hasMoreStarts() && m_context.linkBudget.starts(1) > 0)
        requestDecision();
    ++m_decisionCounts.decisions;
    m_decisionCounts.time += EventLoop::now() - startedAt;
}

void ScheduleOwner::saveProgress()
{
    const auto now = EventLoop::now();
    if (now < m_nextSaveAt)
        return;
    const auto due = [&] {
        return m_scheduler.hasUrgentUpdates()
               || m_scheduler.queuedUpdates() >= internal::updatesPerWrite
               || (m_scheduler.hasUpdates() && now - m_savedAt >= internal::minSaveInterval);
    };
    while (m_savesInFlight < internal::maxSavesInFlight && due()) {
        m_savedAt = now;
        saveUpdates(m_scheduler.takeUpdates(internal::updatesPerWrite));
    }
}

void ScheduleOwner::saveUpdates(std::vector<ProgressUpdate> updates)
{
    if (updates.empty())
        return;
    ConditionalWrite write;
    write.expected.push_back({std::string(nodekeys::owner), m_fence});
    for (auto &it : updates) {
        const auto *scheduled = m_scheduler.job(it.job);
        if (isFinal(it.progress.state) && scheduled != nullptr && scheduled->team != nullptr)
            it.progress.endedMs = unixMilliseconds();
        const auto *job = m_context.replica.job(it.job);
        const auto key = nodekeys::key(nodekeys::progress, it.job);
        write.expected.push_back({key, job == nullptr ? 0 : job->progressRevision});
        write.writes.push_back({key, encodeProgress(it.progress), 0});
    }
    ++m_savesInFlight;
    m_context.store.write(write, [this, alive = m_alive, updates = std::move(updates)](
                                         const Result<WriteOutcome> &outcome) mutable {
        if (*alive)
            progressSaved(std::move(updates), outcome);
    });
}

void ScheduleOwner::progressSaved(std::vector<ProgressUpdate> updates,
                                  const Result<WriteOutcome> &outcome)
{
    --m_savesInFlight;
    const bool applied = outcome && outcome->applied;
    if (outcome && !applied) {
        // An earlier write whose response was lost may have been applied.
        for (const auto &it : outcome->current)
            m_context.replica.applyOwn(it.key, it.value, it.modRevision);
    }
    m_scheduler.updatesSaved(updates, applied);
    if (applied) {
        for (const auto &it : updates) {
            if (!isFinal(it.progress.state))
                continue;
            m_endedJobs.add(it.job, EventLoop::now());
            logJobEnd(it);
        }
    } else {
        // The next attempt waits for the minimum interval, even if a job has ended.
        m_nextSaveAt = EventLoop::now() + internal::minSaveInterval;
        m_context.loop.after(internal::minSaveInterval, [this, alive = m_alive] {
            if (*alive)
                requestDecision();
        });
        return;
    }
    requestDecision();
}

void ScheduleOwner::logJobEnd(const ProgressUpdate &update) const
{
    const auto *job = m_scheduler.job(update.job);
    if (job == nullptr)
        return;
    std::size_t failures = 0;
    for (const auto &[task, runs] : update.progress.failures)
        failures += runs.size();
    std::size_t crashes = 0;
    for (const auto &[task, runs] : update.progress.crashes)
        crashes += runs.size();
    const auto now = EventLoop::now();
    logInfo("job-ended", {{"job", update.job},
                          {"state", std::string(statusName(update.progress.state))},
                          {"pool", job->job().pool},
                          {"age_ms", std::to_string((now - job->accepted) / 1ms)},
                          {"over_objective_ms", std::to_string((now - job->objective) / 1ms)},
                          {"failed_runs", std::to_string(failures)},
                          {"worker_crashes", std::to_string(crashes)},
                          {"fence", std::to_string(m_fence)}});
}

bool ScheduleOwner::hasEnded(const std::string &id, const ReplicatedJob &job) const
{
    const auto *scheduled = m_scheduler.job(id);
    return job.hasEnded() && (scheduled == nullptr || scheduled->hasEnded());
}

void ScheduleOwner::findEndedJobs(TimePoint now)
{
    if (now - m_endedSearchedAt < internal::endedSearchInterval)
        return;
    m_endedSearchedAt = now;
    for (const auto &[id, job] : m_context.replica.jobs()) {
        if (hasEnded(id, job))
            m_endedJobs.add(id, now);
    }
}

void ScheduleOwner::removeOldJobs(TimePoint now)
{
    auto ids = m_endedJobs.takeBatch(internal::removalsPerWrite, now);
    if (ids.empty())
        return;
    // A submission may have followed its cancel, and a write whose answer was lost may have removed
    // the job.
    std::erase_if(ids, [this](const std::string &id) {
        const auto it = m_context.replica.jobs().find(id);
        const bool ended = it != m_context.replica.jobs().end() && hasEnded(id, it->second);
        if (!ended)
            m_endedJobs.forget(id);
        return !ended;
    });
    if (ids.empty()) {
        m_endedJobs.settleBatch();
        return;
    }
    ConditionalWrite write;
    write.expected.push_back({std::string(nodekeys::owner), m_fence});
    for (const auto &id : ids) {
        for (const auto prefix : {nodekeys::jobs, nodekeys::progress, nodekeys::cancelled})
            write.removals.push_back(nodekeys::key(prefix, id));
    }
    m_context.store.write(write, [this, alive = m_alive, ids](const Result<WriteOutcome> &outcome) {
        if (!*alive)
            return;
        m_endedJobs.settleBatch();
        if (!outcome || !outcome->applied)
            return;
        for (const auto &id : ids) {
            m_scheduler.removeJob(id);
            m_endedJobs.forget(id);
        }
    });
}

} // namespace dragonflysill
