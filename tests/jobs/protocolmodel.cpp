#include "protocolmodel.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace dragonflysill::test {

using namespace std::chrono_literals;

namespace {

constexpr Duration tickLength = 50ms;
/** Interval between two full decisions. */
constexpr Duration decisionInterval = 150ms;
constexpr Duration faultPeriod = 12s;
constexpr Duration recoveryPeriod = 30s;
constexpr int workerCount = 3;
constexpr int jobCount = 2;
constexpr Duration maxLateOrderDelay = 6s;
/** Workers shorten longer holds to this. */
constexpr Duration maxHold = 10s;
/** Interval between two holds of a worker without runs, see WorkerController. */
constexpr Duration idleHoldInterval = 2s;
/** Share of the restarts that an owner may miss between two holds. */
constexpr double shortRestartShare = 0.3;

} // namespace

ProtocolModel::ProtocolModel(std::uint64_t seed)
    : Simulation(seed)
    , m_faultsUntil(m_now + faultPeriod)
{
    for (int n = 0; n < workerCount; ++n) {
        ModelWorker worker;
        worker.id = "w" + std::to_string(n);
        worker.clockStart = m_now - Milliseconds(1000 * (n + 1));
        m_workers[worker.id] = std::move(worker);
    }
    for (int n = 0; n < jobCount; ++n) {
        SubmittedJob job;
        job.id = "j" + std::to_string(n);
        job.queue = "queue";
        job.pool = "pool";
        job.policy.attempts = 2;
        for (int k = 0; k < 2; ++k) {
            JobStep step;
            step.count = 1 + static_cast<int>(m_random.below(3));
            step.need = {1000, 1, 0};
            step.estimate = 800ms;
            if (k > 0)
                step.after = {0};
            job.spec.steps.push_back(step);
        }
        m_jobs[job.id] = std::move(job);
    }
}

ProtocolModel::~ProtocolModel() = default;

namespace {

std::string nameOf(const TaskId &task, int run)
{
    return task.job + "." + std::to_string(task.step) + "." + std::to_string(task.index) + " run "
           + std::to_string(run);
}

} // namespace

WorkerClock ProtocolModel::clock(const ModelWorker &worker) const
{
    // 2 % slow, the maximum that the protocol allows.
    return static_cast<WorkerClock>(static_cast<double>((m_now - worker.clockStart) / 1ms) * 0.98);
}

std::string ProtocolModel::run()
{
    beginOwner();
    while (m_violation.empty() && m_now < m_faultsUntil + recoveryPeriod) {
        step();
        const bool finished
                = m_now > m_faultsUntil && std::ranges::all_of(m_jobs, [&](auto &it) {
                      return isFinal(m_saved[it.first].state) || m_cancelled.contains(it.first);
                  });
        if (finished
            && std::ranges::all_of(m_workers, [](auto &it) { return it.second.running.empty(); }))
            return m_violation;
    }
    if (m_violation.empty())
        recordViolation("a job did not end after the faults");
    return m_violation;
}

void ProtocolModel::step()
{
    advanceClock(tickLength);
    for (auto &[id, worker] : m_workers)
        advance(worker);
    if (m_now < m_faultsUntil)
        injectFaults();
    if (!m_scheduler)
        return;
    decide();
    sendHolds();
    save();
}

void ProtocolModel::injectFaults()
{
    if (m_scheduler && chance(0.01)) {
        appendTrace("owner ends");
        *m_ownerAlive = false;
        m_scheduler.reset();
        schedule(Milliseconds(200 + m_random.below(3000)), [this] { beginOwner(); });
    }
    for (auto &[id, worker] : m_workers) {
        if (worker.up && chance(0.004))
            crash(worker);
        else if (!worker.disconnected && chance(0.005)) {
            worker.disconnected = true;
            appendTrace(worker.id + " is disconnected");
            auto *target = &worker;
            schedule(Milliseconds(500 + m_random.below(5000)), [this, target] {
                target->disconnected = false;
                appendTrace(target->id + " is connected again");
            });
        }
    }
    if (chance(0.002)) {
        const auto id = "j" + std::to_string(m_random.below(jobCount));
        m_cancelled.insert(id);
        if (m_scheduler)
            m_scheduler->cancelJob(id, m_now);
    }
}

void ProtocolModel::crash(ModelWorker &worker)
{
    appendTrace(worker.id + " crashes");
    worker.up = false;
    worker.running.clear();
    worker.finishAt.clear();
    worker.ended.clear();
    const auto pause
            = chance(shortRestartShare) ? 20 + m_random.below(300) : 300 + m_random.below(4000);
    schedule(Milliseconds(pause), [this, &worker] {
        appendTrace(worker.id + " restarts");
        worker.up = true;
        ++worker.incarnation;
        worker.fence = 0;
        worker.holdUntil = 0;
        worker.clockStart = m_now;
        worker.nextEnd = 1;
        worker.expiredUpTo = 0;
        worker.acknowledged = 0;
        worker.blockedRun.clear();
        schedule(Milliseconds(m_random.below(600)), [this, &worker] {
            if (m_scheduler)
                m_scheduler->addOrUpdateWorker(describe(worker, worker.incarnation), m_now);
        });
    });
}

WorkerDescription ProtocolModel::describe(const ModelWorker &worker, std::int64_t incarnation)
{
    WorkerDescription description;
    description.id = worker.id;
    description.pool = "pool";
    description.capacity = {2000, 1000, 0};
    description.startedMs = incarnation;
    return description;
}

void ProtocolModel::beginOwner()
{
    ++m_fence;
    appendTrace("owner " + std::to_string(m_fence) + " begins");
    m_saving = false;
    m_holdPending.clear();
    m_nextHold.clear();
    m_ownerAlive = std::make_shared<bool>(true);
    SchedulerSettings settings;
    settings.previousOwner = 0ms;
    m_scheduler = std::make_unique<Scheduler>(settings, 1000 * m_generation++);
    for (const auto &[id, job] : m_jobs) {
        if (isFinal(m_saved[id].state))
            continue;
        m_scheduler->addJob(job, m_saved[id], m_generation > 1, 0s, m_now);
        if (m_cancelled.contains(id))
            m_scheduler->cancelJob(id, m_now);
    }
    for (const auto &[id, worker] : m_workers) {
        // The first owner's record of its workers is not written again when they restart.
        if (m_generation > 1)
            m_scheduler->addInheritedWorker(describe(worker, 1), m_now);
        m_scheduler->addOrUpdateWorker(describe(worker, worker.incarnation), m_now);
    }
}

void ProtocolModel::decide()
{
    // Like the owner: a full decision at intervals and one about what changed after other events.
    const bool full = m_now - m_decidedAt >= decisionInterval;
    if (full)
        m_decidedAt = m_now;
    for (const auto &action :
         full ? m_scheduler->decide(m_now, 0) : m_scheduler->decideAfterEvent(m_now, 0))
        std::visit([this](const auto &order) { send(order); }, action);
}

void ProtocolModel::send(const StartTask &start)
{
    auto &worker = m_workers[start.worker];
    m_nextHold[worker.id] = m_now;
    const bool faultsActive = m_now < m_faultsUntil;
    const bool lost = faultsActive && chance(0.05);
    const bool late = faultsActive && chance(0.05);
    const auto fence = m_fence;
    const auto alive = m_ownerAlive;
    appendTrace("owner orders " + worker.id + " to start " + nameOf(start.task, start.run));
    // A late order is lost if the incarnation of the worker that received it ends.
    if (late && worker.up && !worker.disconnected)
        schedule(2s + Milliseconds(m_random.below(maxLateOrderDelay / 1ms)),
                 [this, &worker, start, fence, incarnation = worker.incarnation] {
                     if (worker.incarnation == incarnation)
                         applyStart(worker, start, fence);
                 });
    schedule(delay(), [this, &worker, start, fence, alive, lost, late] {
        const bool answers = worker.up && !worker.disconnected && !lost && !late;
        const auto refusal = answers ? applyStart(worker, start, fence) : "";
        const bool answerLost = m_now < m_faultsUntil && chance(0.03);
        schedule(answers && !answerLost ? delay() : 500ms, [this, &worker, start, alive, refusal,
                                                            known = answers && !answerLost] {
            if (!*alive)
                return;
            appendTrace(nameOf(start.task, start.run)
                        + (known ? " answered " + refusal : " unanswered"));
            if (!known)
                m_scheduler->startUnanswered(start, m_now);
            else if (refusal.empty())
                m_scheduler->startConfirmed(start, clock(worker), m_now);
            else
                m_scheduler->startRefused(start,
                                          refusal == "fence"  ? StartRefusal::Fenced
                                          : refusal == "old"  ? StartRefusal::StaleRun
                                          : refusal == "late" ? StartRefusal::HoldExpired
                                                              : StartRefusal::InsufficientCapacity,
                                          m_now);
        });
    });
}

void ProtocolModel::send(const StopTask &stop)
{
    auto &worker = m_workers[stop.worker];
    const bool lost = m_now < m_faultsUntil && chance(0.05);
    schedule(delay(), [this, &worker, stop, fence = m_fence, alive = m_ownerAlive, lost] {
        const bool answers = worker.up && !worker.disconnected && !lost;
        if (answers)
            applyStop(worker, stop, fence);
        schedule(answers ? delay() : 500ms, [this, stop, alive, answers] {
            if (!*alive)
                return;
            if (answers)
                m_scheduler->stopConfirmed(stop, m_now);
            else
                m_scheduler->stopUnanswered(stop, m_now);
        });
    });
}

void ProtocolModel::sendHolds()
{
    for (auto &[id, worker] : m_workers) {
        if (!m_holdPending[id] && m_now >= m_nextHold[id])
            hold(worker);
    }
}

void ProtocolModel::hold(ModelWorker &worker)
{
    m_holdPending[worker.id] = true;
    const auto sentAt = m_now;
    const auto request = m_scheduler->holdRequest(worker.id, m_now);
    schedule(delay(), [this, &worker, request, sentAt, fence = m_fence, alive = m_ownerAlive] {
        const bool answers = worker.up && !worker.disconnected;
        WorkerReport report;
        bool refused = false;
        if (answers) {
            refused = fence < worker.fence;
            worker.fence = std::max(worker.fence, fence);
            if (!refused) {
                if (request.holdUntil)
                    extendHold(worker, *request.holdUntil);
                acknowledge(worker, request.acknowledgedEnds);
                report.startedMs = worker.incarnation;
                report.clock = clock(worker);
                for (const auto &[task, row] : worker.running)
                    report.running.push_back(row);
                report.ended = worker.ended;
            }
        }
        schedule(answers ? delay() : 500ms, [this, &worker, report, sentAt, alive, answers,
                                             refused] {
            if (!*alive)
                return;
            m_holdPending[worker.id] = false;
            appendTrace(worker.id
                        + (answers && !refused ? " reports " + std::to_string(report.running.size())
                                                         + " runs of incarnation "
                                                         + std::to_string(report.startedMs)
                                               : " does not report"));
            const bool idle = answers && report.running.empty() && report.ended.empty();
            m_nextHold[worker.id] = idle ? m_now + idleHoldInterval : m_now;
            if (answers && !refused)
                m_scheduler->holdAnswered(worker.id, report, sentAt, m_now);
            else
                m_scheduler->holdUnanswered(worker.id, m_now);
        });
    });
}

void ProtocolModel::save()
{
    if (m_saving || !m_scheduler->hasUpdates())
        return;
    m_saving = true;
    auto updates = m_scheduler->takeUpdates(8);
    const bool lost = m_now < m_faultsUntil && chance(0.1);
    const bool answerLost = m_now < m_faultsUntil && chance(0.1);
    schedule(delay(), [this, updates, lost, answerLost, fence = m_fence, alive = m_ownerAlive] {
        // The write is conditional on the owner's key.
        const bool applied = !lost && fence == m_fence && m_scheduler != nullptr;
        appendTrace(std::string(applied ? "saved" : "save lost"));
        if (applied) {
            for (const auto &it : updates) {
                checkProgress(it.job, it.progress);
                m_saved[it.job] = it.progress;
            }
        }
        schedule(delay(), [this, updates, alive, saved = applied && !answerLost] {
            if (!*alive)
                return;
            m_saving = false;
            m_scheduler->updatesSaved(updates, saved);
        });
    });
}

std::string ProtocolModel::applyStart(ModelWorker &worker, const StartTask &start,
                                      std::int64_t fence)
{
    if (!worker.up)
        return "down";
    if (fence < worker.fence)
        return "fence";
    worker.fence = fence;
    const auto running = worker.running.find(start.task);
    if (running != worker.running.end())
        return running->second.run == start.run ? "" : "old";
    if (start.run <= worker.blockedRun[start.task])
        return "old";
    if (start.holdUntil < clock(worker))
        return "late";
    if (worker.running.size() >= 2)
        return "room";
    appendTrace(worker.id + " starts " + nameOf(start.task, start.run) + " hold until "
                + std::to_string(start.holdUntil) + " clock " + std::to_string(clock(worker)));
    checkStart(worker, start);
    extendHold(worker, start.holdUntil);
    worker.running[start.task] = {start.task, start.run, "", 0, {}};
    worker.finishAt[start.task] = m_now + Milliseconds(200 + m_random.below(1500));
    return "";
}

void ProtocolModel::extendHold(ModelWorker &worker, WorkerClock until) const
{
    worker.holdUntil = std::max(worker.holdUntil, std::min(until, clock(worker) + maxHold / 1ms));
}

void ProtocolModel::checkStart(const ModelWorker &worker, const StartTask &start)
{
    const auto name = start.task.job + "." + std::to_string(start.task.step) + "."
                      + std::to_string(start.task.index);
    for (const auto &[id, other] : m_workers) {
        if (id != worker.id && other.up && other.running.contains(start.task))
            recordViolation("simultaneous runs of " + name);
    }
    if (m_doneAcknowledged.contains(start.task))
        recordViolation(name + " started after its end had been acknowledged");
    const auto &steps = m_jobs[start.task.job].spec.steps;
    for (const int before : steps[static_cast<std::size_t>(start.task.step)].after) {
        for (int n = 0; n < steps[static_cast<std::size_t>(before)].count; ++n) {
            if (!m_done.contains({start.task.job, 0, before, n}))
                recordViolation(name + " started before the step it depends on");
        }
    }
    if (static_cast<int>(m_failedAcknowledged[start.task].size())
        >= m_jobs[start.task.job].policy.attempts)
        recordViolation(name + " started after its last attempt");
}

void ProtocolModel::checkProgress(const std::string &job, const JobProgress &progress)
{
    if (progress.state != JobStatus::Completed)
        return;
    const auto &steps = m_jobs[job].spec.steps;
    for (std::size_t n = 0; n < steps.size(); ++n) {
        for (int index = 0; index < steps[n].count; ++index) {
            if (!m_done.contains({job, 0, static_cast<int>(n), index}))
                recordViolation(job + " completed without all of its tasks");
        }
    }
}

void ProtocolModel::applyStop(ModelWorker &worker, const StopTask &stop, std::int64_t fence)
{
    appendTrace(worker.id + " is ordered to stop " + nameOf(stop.task, stop.run));
    if (fence < worker.fence)
        return;
    worker.fence = fence;
    auto &blocked = worker.blockedRun[stop.task];
    blocked = std::max(blocked, stop.run);
    const auto it = worker.running.find(stop.task);
    if (it != worker.running.end() && it->second.run <= stop.run)
        end(worker, stop.task, RunEnd::Stopped);
}

void ProtocolModel::advance(ModelWorker &worker)
{
    if (!worker.up)
        return;
    const bool holdExpired = clock(worker) > worker.holdUntil;
    if (holdExpired)
        worker.expiredUpTo = worker.nextEnd - 1;
    for (auto &[task, at] : std::map<TaskId, TimePoint>(worker.finishAt)) {
        auto &row = worker.running[task];
        row.percent = std::min(99, row.percent + 3);
        if (holdExpired)
            end(worker, task, RunEnd::HoldExpired);
        else if (m_now >= at)
            end(worker, task, m_now < m_faultsUntil && chance(0.1) ? RunEnd::Failed : RunEnd::Done);
    }
}

void ProtocolModel::end(ModelWorker &worker, const TaskId &task, RunEnd how)
{
    const auto it = worker.running.find(task);
    auto &blocked = worker.blockedRun[task];
    blocked = std::max(blocked, it->second.run);
    appendTrace(worker.id + " ends " + nameOf(task, it->second.run) + " how "
                + std::to_string(static_cast<int>(how)));
    worker.ended.push_back({worker.nextEnd++, task, it->second.run, how, ""});
    if (how == RunEnd::Done)
        m_done.insert(task);
    worker.running.erase(it);
    worker.finishAt.erase(task);
}

void ProtocolModel::acknowledge(ModelWorker &worker, std::int64_t upTo)
{
    if (upTo > 0 && !worker.ended.empty())
        appendTrace(worker.id + " forgets ends up to " + std::to_string(upTo));
    for (const auto &it : worker.ended) {
        // Ends before an expiry of the worker's hold are not checked: the task may have been
        // started elsewhere.
        if (it.number > upTo || it.number <= worker.expiredUpTo)
            continue;
        if (it.end == RunEnd::Done)
            m_doneAcknowledged.insert(it.task);
        if (it.end == RunEnd::Failed)
            m_failedAcknowledged[it.task].insert(it.run);
    }
    std::erase_if(worker.ended, [&](const EndReport &it) { return it.number <= upTo; });
}

} // namespace dragonflysill::test
