#include "progressmodel.h"

#include "dragonflysill/jobs/jobcodec.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <sstream>
#include <utility>

namespace dragonflysill::test {

namespace {

constexpr Duration tickLength = 20ms;
/** Intervals of the owner's decisions, see ScheduleOwner. */
constexpr Duration decisionInterval = 50ms;
constexpr Duration balanceInterval = 100ms;
constexpr Duration listInterval = 3000ms;
constexpr Duration busyListInterval = 1000ms;
constexpr Duration maxListAge = 3000ms;
constexpr Duration orderEffectTimeout = 6000ms;
constexpr Duration machineLease = 4000ms;
/** Intervals and waits of holds, see WorkerController. */
constexpr Duration minHoldInterval = 25ms;
constexpr Duration unsavedHoldInterval = 80ms;
constexpr Duration idleHoldInterval = 2000ms;
constexpr Duration retryInterval = 250ms;
constexpr Duration runningListInterval = 2000ms;
constexpr Duration shortHoldWait = 250ms;
constexpr Duration maxHoldWait = 800ms;
constexpr Duration answerTimeout = 500ms;
/** Time without an answer after which an order is sent again, see WorkerOrders. */
constexpr Duration copyInterval = 80ms;
/** Latest arrival of a copy after the decision to send the order. */
constexpr Duration maxCopyTime = 1200ms;
/** Share of the orders with copies of which one arrives after the others. */
constexpr double strayCopyShare = 0.3;
/** Longest time that a worker takes to stop a run. */
constexpr int maxStopMs = 200;
/** Workers shorten longer holds to this. */
constexpr Duration maxHold = 10s;

constexpr Duration faultPeriod = 20s;
constexpr Duration calmPeriod = 22s;
constexpr Duration moveTime = 1500ms;
constexpr Duration entryLifetime = 2s;
/** Share of the restarts under the same id that an owner may miss between two holds. */
constexpr double shortRestartShare = 0.3;
constexpr Duration checkInterval = 100ms;

/** Maximum number of orders for a job that are lost in a span of time, besides the faults. */
constexpr std::size_t maxLosses = 2;
constexpr Duration lossWindow = 5s;

/** The rule: how long a task may wait, and the time without a fault before that. */
constexpr Duration maxWait = 3s;
constexpr Duration contactTime = 4s;
constexpr int requiredRoom = 2;
/** Crashes under a task after which its job may be given up. */
constexpr int crashesForGivingUp = 2;
/** Crashes under a task that crashes its workers, and the starts after them that are too many. */
constexpr int maxCrashes = 3;
constexpr int tooManyStarts = 3;
/**
 * Time for which a pool without room may stay so while the fleet has idle instances: the rule's
 * time, a move, and the first contact with the new worker.
 */
constexpr Duration maxWaitForInstances = maxWait + moveTime + contactTime;

constexpr std::int64_t gigabyte = 1024;
constexpr Resources fullCapacity{64000, 256 * gigabyte, 0};
constexpr const char *standbyPool = "standby";

std::string nameOf(const TaskId &task)
{
    return task.job + "." + std::to_string(task.step) + "." + std::to_string(task.index);
}

std::string nameOf(const TaskId &task, int run)
{
    return nameOf(task) + " run " + std::to_string(run);
}

} // namespace

bool ProgressModel::Process::hasRunOf(const TaskId &task) const
{
    const auto it = runs.lower_bound({task, 0});
    return it != runs.end() && it->first.first == task;
}

ProgressModel::ProgressModel(std::uint64_t seed, Mode mode)
    : Simulation(seed)
    , m_mode(mode)
    , m_faultsUntil(m_now + faultPeriod)
    , m_lastFaultAt(m_now)
    , m_endAt(m_faultsUntil + calmPeriod)
    , m_lossRandom(~seed)
    , m_protocolRandom(~seed + 1)
    , m_teamRandom(~seed + 2)
{
    constexpr std::array<double, 4> lostOrders{0, 0, 0.02, 0.15};
    m_lostOrders = lostOrders.at(m_lossRandom.below(lostOrders.size()));
    constexpr std::array<double, 3> perSecond{0.1, 0.5, 2};
    for (int n = 0; n < faultKinds; ++n) {
        const auto fault = static_cast<Fault>(n);
        if (chance(0.35))
            m_faultRates[fault] = perSecond.at(m_random.below(3)) * toSeconds(tickLength);
    }
    if (const auto it = m_faultRates.find(Fault::OwnerEnds); it != m_faultRates.end())
        it->second = std::min(it->second, 0.2 * toSeconds(tickLength));
    m_guarded = chance(0.5);
    m_shortReports = chance(0.5);
    m_sameIds = chance(0.5);
    addMachines();
    addJobs();
}

ProgressModel::~ProgressModel() = default;

Duration ProgressModel::randomDuration(int firstMs, int lastMs)
{
    return Milliseconds(between(firstMs, lastMs));
}

void ProgressModel::addMachines()
{
    m_poolNames = {"pool"};
    if (m_mode == Mode::Teams) {
        m_poolNames = {"a", "b"};
        addTeams();
    }
    if (m_mode == Mode::Balanced)
        m_poolNames = chance(0.5) ? std::vector<std::string>{"a", "b"}
                                  : std::vector<std::string>{"a", "b", "c"};
    const int count = between(6, 30);
    const int standby = m_mode == Mode::Balanced ? between(0, count / 3) : 0;
    const int rackSize = between(2, 6);
    for (int n = 0; n < count; ++n) {
        Machine machine;
        machine.name = "m" + std::to_string(n);
        machine.rack = "r" + std::to_string(n / rackSize);
        machine.capacity = fullCapacity;
        machine.pool = n < standby ? standbyPool
                                   : m_poolNames[static_cast<std::size_t>(n) % m_poolNames.size()];
        auto &added = m_machines[machine.name] = std::move(machine);
        if (n >= standby)
            beginProcess(added, "w" + std::to_string(++m_lastWorker));
    }
}

JobStep ProgressModel::randomStep(int poolSize, bool persistent)
{
    constexpr std::array<int, 4> maxTasks{1, 4, 12, 32};
    JobStep step;
    step.count = between(1, maxTasks.at(m_random.below(maxTasks.size())));
    step.need.milliCores = std::int64_t{1000} * between(2, chance(0.5) ? 12 : 40);
    step.need.memoryMb = between(5, chance(0.5) ? 24 : 80) * gigabyte;
    if (persistent) {
        step.persistent = true;
        step.count = between(1, std::max(1, poolSize / 2));
        step.maxPerWorker = chance(0.7) ? 1 : 0;
        step.need.milliCores = std::int64_t{1000} * between(2, 8);
        step.need.memoryMb = between(5, 24) * gigabyte;
        return step;
    }
    step.speculative = chance(0.2);
    step.savesProgress = chance(0.2);
    return step;
}

void ProgressModel::addJobs()
{
    const int poolSize = static_cast<int>(m_machines.size() / m_poolNames.size());
    const int count = m_mode == Mode::Teams ? between(15, 40) : between(3, 20);
    for (int n = 0; n < count; ++n) {
        ModelJob added;
        auto &job = added.job;
        job.id = "j" + std::to_string(n);
        job.queue = "queue" + std::to_string(between(0, 1));
        job.pool = m_poolNames[m_random.below(m_poolNames.size())];
        job.policy.attempts = between(2, 4);
        job.policy.priority = between(0, 1);
        job.policy.slackFactor = 2;
        job.policy.targetRuntime = 1000ms;
        if (!m_teams.empty())
            job.team = m_teams[m_teamRandom.below(m_teams.size())].name;
        const bool persistent = chance(0.15);
        const int steps = chance(0.3) ? 2 : 1;
        for (int k = 0; k < steps; ++k) {
            auto step = randomStep(poolSize, persistent && k == steps - 1);
            if (k > 0)
                step.after = {k - 1};
            const auto runTime = randomDuration(300, 2500);
            step.estimate = std::chrono::duration_cast<Milliseconds>(
                    scaled(runTime, 0.3 + 2 * m_random.unit()));
            added.runTimes.push_back(runTime);
            job.spec.steps.push_back(std::move(step));
        }
        added.hopeless = !persistent && chance(0.1);
        added.deadly = !added.hopeless && chance(0.08);
        // Some jobs arrive after the faults.
        added.submitted = m_now + randomDuration(0, 30000);
        const auto id = job.id;
        auto &target = m_jobs[id] = std::move(added);
        schedule(target.submitted - m_now, [this, &target] { submit(target); });
    }
}

std::string ProgressModel::run()
{
    beginOwner();
    while (m_violation.empty() && m_now < m_endAt) {
        advanceClock(tickLength);
        for (auto &[name, machine] : m_machines)
            advance(machine, tickLength);
        if (m_now < m_faultsUntil)
            injectFaults();
        if (m_scheduler) {
            decide();
            sendHolds();
            save();
            listInstances();
            if (m_mode == Mode::Balanced)
                balance();
        }
        if (m_now - m_checkedAt >= checkInterval) {
            m_checkedAt = m_now;
            check();
        }
        if (m_now > m_faultsUntil + 10s && allEnded())
            break;
    }
    return m_violation;
}

bool ProgressModel::allEnded() const
{
    return std::ranges::all_of(m_jobs, [](const auto &it) {
        return it.second.cancelled || isFinal(it.second.saved.state);
    });
}

// Platform.

std::int64_t ProgressModel::unixMs() const
{
    constexpr std::int64_t beginningMs = 5'000'000;
    return beginningMs + elapsedMs();
}

ProgressModel::Machine *ProgressModel::machineOf(std::string_view worker)
{
    for (auto &[name, machine] : m_machines) {
        if (machine.process && machine.process->id == worker)
            return &machine;
    }
    return nullptr;
}

WorkerClock ProgressModel::clock(const Process &process) const
{
    // 2 % slow, the maximum that the protocol allows.
    // Later incarnations start behind the earlier ones, as the protocol names no value.
    const auto atStart = 3'600'000 - 2 * (process.startedMs % 1'000'000);
    return atStart
           + static_cast<WorkerClock>(static_cast<double>((m_now - process.begin) / 1ms) * 0.98);
}

void ProgressModel::beginProcess(Machine &machine, const std::string &id)
{
    machine.process = std::make_shared<Process>();
    machine.process->id = id;
    machine.process->startedMs = unixMs();
    machine.process->begin = m_now;
    appendTrace(machine.name + " begins as " + id + " in " + machine.pool);
    putEntry(machine);
}

void ProgressModel::endProcess(Machine &machine)
{
    if (!machine.process)
        return;
    for (const auto &[key, run] : machine.process->runs)
        appendJobEvent(key.first.job,
                       nameOf(key.first, key.second) + " ends with " + machine.process->id);
    // The entry expires later unless the worker is back by then.
    schedule(entryLifetime + randomDuration(0, 1000),
             [this, id = machine.process->id, startedMs = machine.process->startedMs] {
                 const auto it = m_entries.find(id);
                 if (it == m_entries.end() || it->second.startedMs != startedMs)
                     return;
                 m_entries.erase(it);
                 notifyEntry(id);
             });
    machine.process.reset();
}

void ProgressModel::putEntry(const Machine &machine)
{
    const auto &process = *machine.process;
    if (m_lapsed.contains(process.id))
        return;
    auto &entry = m_entries[process.id];
    entry.id = process.id;
    entry.pool = machine.pool;
    entry.address = machine.name;
    entry.zone = "zone";
    entry.instance = machine.name;
    entry.rack = machine.rack;
    entry.labels = {"a", machine.rack};
    entry.capacity = machine.capacity;
    entry.startedMs = process.startedMs;
    notifyEntry(process.id);
}

void ProgressModel::notifyEntry(const std::string &id)
{
    if (!m_scheduler)
        return;
    schedule(randomDuration(1, 250), [this, id, alive = m_ownerAlive] {
        if (!*alive)
            return;
        const auto it = m_entries.find(id);
        if (it == m_entries.end())
            m_scheduler->unlistWorker(id, m_now);
        else
            m_scheduler->addOrUpdateWorker(it->second, m_now);
        m_changed = true;
    });
}

void ProgressModel::advance(Machine &machine, Duration passed)
{
    if (!machine.process)
        return;
    auto &process = *machine.process;
    const bool holdExpired = clock(process) > process.holdUntil;
    if (holdExpired)
        process.expiredUpTo = process.nextEnd - 1;
    std::vector<std::pair<RunKey, RunEnd>> ends;
    for (auto &[key, run] : process.runs) {
        const auto &task = key.first;
        if (!machine.standsStill)
            run.done += scaled(passed, 1 / machine.slowness);
        const bool finished = run.done >= run.total;
        const auto percent = static_cast<int>(100 * toSeconds(run.done)
                                              / std::max(0.001, toSeconds(run.total)));
        run.row.percent = std::min(run.persistent ? 100 : 99, percent);
        const auto &spec = m_jobs[task.job].job.spec.steps[static_cast<std::size_t>(task.step)];
        if (spec.savesProgress && percent >= 10)
            run.row.checkpoint = std::to_string(run.row.percent);
        if (holdExpired)
            ends.emplace_back(key, RunEnd::HoldExpired);
        else if (run.stopsAt && m_now >= *run.stopsAt)
            ends.emplace_back(key, RunEnd::Stopped);
        else if (finished && run.fails)
            ends.emplace_back(key, RunEnd::Failed);
        else if (finished && !run.persistent)
            ends.emplace_back(key, RunEnd::Done);
    }
    for (const auto &[key, how] : ends)
        endRun(process, key, how);
}

void ProgressModel::endRun(Process &process, const RunKey &key, RunEnd how)
{
    const auto it = process.runs.find(key);
    const auto [task, run] = key;
    auto &blocked = process.blockedRun[task];
    blocked = std::max(blocked, run);
    process.ended.push_back({process.nextEnd++, task, run, how, it->second.row.checkpoint});
    process.runs.erase(it);
    m_jobs[task.job].lastRunAt = m_now;
    appendJobEvent(task.job, nameOf(task, run) + " on " + process.id + " ended, how "
                                     + std::to_string(static_cast<int>(how)));
}

std::optional<StartRefusal> ProgressModel::applyStart(Machine &machine, const StartTask &start,
                                                      std::int64_t fence)
{
    auto &process = *machine.process;
    if (fence < process.fence)
        return StartRefusal::Fenced;
    process.fence = fence;
    const RunKey key{start.task, start.run};
    if (process.runs.contains(key))
        return std::nullopt;
    if (start.holdUntil < clock(process))
        return StartRefusal::HoldExpired;
    // The time of an order that is refused for one of the next reasons counts, too.
    extendHold(process, start.holdUntil);
    if (start.run <= process.blockedRun[start.task])
        return StartRefusal::StaleRun;
    const auto &job = m_jobs[start.task.job];
    const auto n = static_cast<std::size_t>(start.task.step);
    const auto &step = job.job.spec.steps[n];
    Resources used;
    for (const auto &[other, run] : process.runs)
        used += run.need;
    if (m_guarded && !(machine.capacity - used).covers(step.need))
        return StartRefusal::InsufficientCapacity;
    checkStart(start);
    checkCeiling(start);
    auto &run = process.runs[key];
    run.row = {start.task, start.run, start.checkpoint, 0, {}};
    run.need = step.need;
    run.persistent = step.persistent;
    run.total = scaled(job.runTimes[n], 0.75 + 0.75 * m_random.unit());
    if (step.persistent)
        run.total = randomDuration(200, 900);
    if (!start.checkpoint.empty())
        run.done = scaled(run.total, std::stoi(start.checkpoint) / 100.0);
    run.fails = job.hopeless || chance(machine.failShare);
    if (run.fails) {
        run.total = randomDuration(20, 400);
        run.done = {};
    }
    if (job.deadly && m_now < m_faultsUntil)
        schedule(randomDuration(1, 10), [this, &machine, process = machine.process] {
            if (machine.process == process)
                crash(machine);
        });
    return std::nullopt;
}

void ProgressModel::applyStop(Machine &machine, const StopTask &stop, std::int64_t fence)
{
    auto &process = *machine.process;
    if (fence < process.fence)
        return;
    process.fence = fence;
    auto &blocked = process.blockedRun[stop.task];
    blocked = std::max(blocked, stop.run);
    for (auto &[key, run] : process.runs) {
        if (key.first == stop.task && key.second <= stop.run && !run.stopsAt)
            run.stopsAt = m_now + Milliseconds(m_protocolRandom.below(maxStopMs));
    }
}

void ProgressModel::extendHold(Process &process, WorkerClock until) const
{
    process.holdUntil
            = std::max(process.holdUntil, std::min(until, clock(process) + maxHold / 1ms));
}

bool ProgressModel::drawStrayCopy(OrderLoss loss, TimePoint orderedAt, bool answered,
                                  Duration answerTime, std::function<void()> apply)
{
    const bool copied = !answered || m_now + answerTime - orderedAt >= copyInterval;
    const bool lost = loss == OrderLoss::Order || loss == OrderLoss::OrderAtOnce;
    if (!copied || lost || m_protocolRandom.unit() >= strayCopyShare)
        return false;
    const auto range = static_cast<std::size_t>((maxCopyTime - copyInterval) / 1ms);
    const auto arrival = orderedAt + copyInterval + Milliseconds(m_protocolRandom.below(range));
    schedule(std::max(Duration{0}, Duration(arrival - m_now)), std::move(apply));
    return true;
}

// Faults.

void ProgressModel::faultUntil(TimePoint end)
{
    m_lastFaultAt = std::max(m_lastFaultAt, end);
}

void ProgressModel::injectFaults()
{
    for (const auto &[fault, rate] : m_faultRates) {
        if (chance(rate))
            inject(fault);
    }
}

template <typename T>
void ProgressModel::setForSomeTime(Machine &machine, T Machine::*field, T value, Duration length,
                                   const char *name)
{
    if (machine.*field == value)
        return;
    const auto end = std::min(m_now + length, m_faultsUntil);
    const T before = Machine().*field;
    appendTrace(machine.name + " " + name);
    machine.*field = value;
    faultUntil(end);
    schedule(end - m_now, [this, &machine, field, before, name] {
        machine.*field = before;
        appendTrace(machine.name + " no longer " + name);
    });
}

void ProgressModel::inject(Fault fault)
{
    auto it = m_machines.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(m_random.below(m_machines.size())));
    auto &machine = it->second;
    switch (fault) {
    case Fault::OwnerEnds:
        ownerEnds();
        break;
    case Fault::Crash:
        crash(machine);
        break;
    case Fault::RackCrash:
        for (auto &[name, other] : m_machines) {
            if (other.rack == machine.rack)
                crash(other);
        }
        break;
    case Fault::CutOff:
        setForSomeTime(machine, &Machine::cutOff, true, randomDuration(300, 8000), "is cut off");
        break;
    case Fault::Fails:
        setForSomeTime(machine, &Machine::failShare, chance(0.5) ? 1.0 : 0.4,
                       randomDuration(2000, 10000), "fails its runs");
        break;
    case Fault::StandsStill:
        setForSomeTime(machine, &Machine::standsStill, true, randomDuration(1000, 8000),
                       "stands still");
        break;
    case Fault::Slow:
        setForSomeTime(machine, &Machine::slowness, 4 + 4 * m_random.unit(),
                       randomDuration(2000, 12000), "is slow");
        break;
    case Fault::LosesAnswers:
        setForSomeTime(machine, &Machine::losesAnswers, true, randomDuration(500, 5000),
                       "loses answers");
        break;
    case Fault::LateOrders:
        setForSomeTime(machine, &Machine::lateOrders, true, randomDuration(500, 4000),
                       "is late with orders");
        break;
    case Fault::EntryLapses:
        lapse(machine);
        break;
    case Fault::Shrinks:
        shrink(machine);
        break;
    case Fault::Cancel: {
        auto job = m_jobs.begin();
        std::advance(job, static_cast<std::ptrdiff_t>(m_random.below(m_jobs.size())));
        if (m_now < job->second.submitted || !chance(0.1))
            break;
        job->second.cancelled = true;
        if (m_scheduler)
            m_scheduler->cancelJob(job->first, m_now);
        break;
    }
    }
}

void ProgressModel::crash(Machine &machine)
{
    if (!machine.process)
        return;
    const auto id = machine.process->id;
    appendTrace(machine.name + " crashes with " + std::to_string(machine.process->runs.size())
                + " runs");
    for (const auto &[key, run] : machine.process->runs)
        ++m_jobs[key.first.job].crashes[key.first];
    endProcess(machine);
    auto back = randomDuration(3000, 3500);
    if (m_sameIds && m_protocolRandom.unit() < shortRestartShare)
        back = Milliseconds(20 + m_protocolRandom.below(300));
    faultUntil(m_now + back);
    schedule(back, [this, &machine, id] {
        if (!machine.process && !machine.moving)
            beginProcess(machine, m_sameIds ? id : "w" + std::to_string(++m_lastWorker));
    });
}

void ProgressModel::shrink(Machine &machine)
{
    if (!machine.process || machine.capacity != fullCapacity)
        return;
    const double share = 0.05 + 0.6 * m_random.unit();
    const bool memoryToo = chance(0.7);
    machine.capacity.milliCores = static_cast<std::int64_t>(64000 * share);
    if (memoryToo)
        machine.capacity.memoryMb = static_cast<std::int64_t>(256 * gigabyte * share);
    appendTrace(machine.name + " shrinks to " + std::to_string(machine.capacity.milliCores));
    putEntry(machine);
    faultUntil(m_now);
    if (chance(0.3))
        return;
    schedule(randomDuration(1000, 15000), [this, &machine] {
        machine.capacity = fullCapacity;
        appendTrace(machine.name + " grows again");
        faultUntil(m_now);
        if (machine.process)
            putEntry(machine);
    });
}

void ProgressModel::lapse(Machine &machine)
{
    if (!machine.process || !m_lapsed.insert(machine.process->id).second)
        return;
    const auto id = machine.process->id;
    appendTrace("entry of " + id + " lapses");
    m_entries.erase(id);
    notifyEntry(id);
    faultUntil(m_now + 2s);
    schedule(2s, [this, id] {
        m_lapsed.erase(id);
        if (auto *it = machineOf(id))
            putEntry(*it);
    });
}

// Owner.

void ProgressModel::ownerEnds()
{
    if (!m_scheduler)
        return;
    appendTrace("owner ends");
    *m_ownerAlive = false;
    m_recorded.clear();
    for (const auto &[id, worker] : m_scheduler->workers()) {
        if (!worker.retired)
            m_recorded[id] = worker.description;
    }
    m_scheduler.reset();
    const auto pause = randomDuration(200, 3000);
    faultUntil(m_now + pause);
    schedule(pause, [this] { beginOwner(); });
}

void ProgressModel::beginOwner()
{
    ++m_fence;
    appendTrace("owner " + std::to_string(m_fence) + " begins");
    m_ownerAlive = std::make_shared<bool>(true);
    m_saving = false;
    m_holds = {};
    m_orders.clear();
    m_idleSince.clear();
    m_balancer = std::make_unique<PoolBalancer>();
    m_firstMoveAt = m_fence == 1 ? m_now : m_now + machineLease;
    constexpr int runsPerOwner = 1000;
    m_scheduler = std::make_unique<Scheduler>(SchedulerSettings{},
                                              static_cast<int>(m_fence - 1) * runsPerOwner);
    m_scheduler->setTeams(m_teams);
    for (auto &[id, job] : m_jobs) {
        if (job.submitted <= m_now)
            addJob(job, m_fence > 1);
    }
    for (const auto &[id, description] : m_recorded)
        m_scheduler->addInheritedWorker(description, m_now);
    for (const auto &[id, description] : m_entries)
        m_scheduler->addOrUpdateWorker(description, m_now);
}

void ProgressModel::addJob(ModelJob &job, bool inherited)
{
    if (isFinal(job.saved.state))
        return;
    m_scheduler->addJob(job.job, job.saved, inherited, m_now - job.submitted, m_now);
    if (job.cancelled)
        m_scheduler->cancelJob(job.job.id, m_now);
}

void ProgressModel::submit(ModelJob &job)
{
    appendJobEvent(job.job.id, "submitted");
    if (m_scheduler)
        addJob(job, false);
    m_changed = true;
}

void ProgressModel::decide()
{
    const bool full = m_now - m_decidedAt >= decisionInterval;
    if (!full && !std::exchange(m_changed, false))
        return;
    if (full)
        m_decidedAt = m_now;
    if (m_scheduler->replaced())
        recordViolation("an owner was replaced by a worker's answer");
    const auto actions = full ? m_scheduler->decide(m_now, unixMs())
                              : m_scheduler->decideAfterEvent(m_now, unixMs());
    for (const auto &it : actions)
        std::visit([this](const auto &order) { send(order); }, it);
    m_changed = m_scheduler->hasMoreStarts();
}

ProgressModel::OrderLoss ProgressModel::drawLoss(const std::string &job, Machine *machine)
{
    if (machine == nullptr || m_lossRandom.unit() >= m_lostOrders)
        return OrderLoss::None;
    // All copies of an order are seldom lost; more often, the rule could not be kept.
    auto &losses = m_lossTimes[job];
    std::erase_if(losses, [this](TimePoint it) { return m_now - it > lossWindow; });
    if (losses.size() >= maxLosses)
        return OrderLoss::None;
    losses.push_back(m_now);
    constexpr std::array<OrderLoss, 3> kinds{OrderLoss::Order, OrderLoss::OrderAtOnce,
                                             OrderLoss::Answer};
    const auto loss = kinds.at(m_lossRandom.below(kinds.size()));
    constexpr double followedByFault = 0.3;
    if (m_now >= m_faultsUntil || m_lossRandom.unit() >= followedByFault)
        return loss;
    schedule(Milliseconds(m_lossRandom.below(600)),
             [this, machine, process = machine->process, fault = m_lossRandom.below(3)] {
                 if (machine->process != process || m_now >= m_faultsUntil)
                     return;
                 if (fault == 0)
                     crash(*machine);
                 else if (fault == 1)
                     setForSomeTime(*machine, &Machine::cutOff, true, 4s, "is cut off");
                 else
                     ownerEnds();
             });
    return loss;
}

void ProgressModel::send(const StartTask &start)
{
    appendJobEvent(start.task.job, nameOf(start.task, start.run) + " ordered on " + start.worker);
    schedule(delay(), [this, start, orderedAt = m_now, fence = m_fence, alive = m_ownerAlive] {
        auto *machine = machineOf(start.worker);
        std::optional<StartRefusal> refusal;
        bool known = false;
        const auto workerClock = machine ? clock(*machine->process) : WorkerClock{0};
        const auto loss = drawLoss(start.task.job, machine);
        if (machine == nullptr) {
            // The connection is refused, or the machine does not answer.
            known = chance(0.5);
            refusal = StartRefusal::NotSent;
        } else if (machine->lateOrders) {
            const auto late = randomDuration(2000, 12000);
            faultUntil(m_now + late);
            schedule(late, [this, start, fence, machine, process = machine->process] {
                if (machine->process == process)
                    applyStart(*machine, start, fence);
            });
        } else if (!machine->cutOff && (loss == OrderLoss::None || loss == OrderLoss::Answer)) {
            refusal = applyStart(*machine, start, fence);
            known = (!machine->losesAnswers || chance(0.5)) && loss == OrderLoss::None;
        }
        auto answered = known                            ? delay()
                        : loss == OrderLoss::OrderAtOnce ? tickLength
                                                         : answerTimeout;
        const bool stray = drawStrayCopy(loss, orderedAt, known, answered, [this, start, fence] {
            auto *receiver = machineOf(start.worker);
            if (receiver != nullptr && !receiver->cutOff)
                applyStart(*receiver, start, fence);
        });
        // An order counts as refused only if all of its copies are.
        if (known && refusal && stray) {
            known = false;
            answered = answerTimeout;
        }
        schedule(answered, [this, start, alive, refusal, known, workerClock] {
            if (!*alive)
                return;
            m_changed = true;
            m_holds.bringForward(start.worker, m_now + minHoldInterval);
            if (!known)
                m_scheduler->startUnanswered(start, m_now);
            else if (refusal)
                m_scheduler->startRefused(start, *refusal, m_now);
            else
                m_scheduler->startConfirmed(start, workerClock, m_now);
            if (!known || refusal)
                appendJobEvent(
                        start.task.job,
                        nameOf(start.task, start.run)
                                + (known ? " refused, reason "
                                                   + std::to_string(static_cast<int>(*refusal))
                                         : " unanswered"));
        });
    });
}

void ProgressModel::send(const StopTask &stop)
{
    appendJobEvent(stop.task.job, nameOf(stop.task, stop.run) + " to stop on " + stop.worker);
    schedule(delay(), [this, stop, orderedAt = m_now, fence = m_fence, alive = m_ownerAlive] {
        auto *machine = machineOf(stop.worker);
        bool known = false;
        const auto loss = drawLoss(stop.task.job, machine);
        if (machine != nullptr && machine->lateOrders) {
            const auto late = randomDuration(2000, 12000);
            faultUntil(m_now + late);
            schedule(late, [this, stop, fence, machine, process = machine->process] {
                if (machine->process == process)
                    applyStop(*machine, stop, fence);
            });
        } else if (machine != nullptr && !machine->cutOff
                   && (loss == OrderLoss::None || loss == OrderLoss::Answer)) {
            applyStop(*machine, stop, fence);
            known = (!machine->losesAnswers || chance(0.5)) && loss == OrderLoss::None;
        }
        const auto answered = known                            ? delay()
                              : loss == OrderLoss::OrderAtOnce ? tickLength
                                                               : answerTimeout;
        drawStrayCopy(loss, orderedAt, known, answered, [this, stop, fence] {
            auto *receiver = machineOf(stop.worker);
            if (receiver != nullptr && !receiver->cutOff)
                applyStop(*receiver, stop, fence);
        });
        schedule(answered, [this, stop, alive, known] {
            if (!*alive)
                return;
            m_changed = true;
            if (known)
                m_scheduler->stopConfirmed(stop, m_now);
            else
                m_scheduler->stopUnanswered(stop, m_now);
        });
    });
}

void ProgressModel::save()
{
    if (m_saving || !m_scheduler->hasUpdates())
        return;
    m_saving = true;
    constexpr std::size_t updatesPerWrite = 14;
    auto updates = m_scheduler->takeUpdates(updatesPerWrite);
    schedule(delay(), [this, updates, alive = m_ownerAlive] {
        // The write is conditional on the owner's key.
        if (!*alive)
            return;
        for (const auto &it : updates) {
            checkGivenUp(m_jobs[it.job], it.progress);
            m_jobs[it.job].saved = it.progress;
            if (isFinal(it.progress.state))
                appendJobEvent(it.job,
                               "ended as " + std::to_string(static_cast<int>(it.progress.state)));
        }
        schedule(delay(), [this, updates, alive] {
            if (!*alive)
                return;
            m_saving = false;
            m_changed = true;
            m_scheduler->updatesSaved(updates, true);
        });
    });
}

void ProgressModel::sendHolds()
{
    for (const auto &[id, worker] : m_scheduler->workers()) {
        if (!worker.retired)
            m_holds.add(id, m_now);
    }
    for (const auto &[id, dueAt] : m_holds.takeDue(m_now)) {
        const auto *worker = m_scheduler->worker(id);
        if (worker == nullptr || worker->retired)
            m_holds.remove(id);
        else
            hold(id);
    }
}

void ProgressModel::hold(const std::string &id)
{
    const auto &worker = *m_scheduler->worker(id);
    const bool stopping = std::ranges::any_of(worker.runs, [](const auto &it) {
        return it.second.phase == TaskRun::Phase::Stopping
               || it.second.phase == TaskRun::Phase::Unconfirmed;
    });
    const bool mayWait = worker.reachable && worker.busy() && worker.pendingEnds.empty()
                         && worker.time.known() && !stopping;
    const bool onlyPersistent = worker.persistentRuns == static_cast<int>(worker.runs.size());
    const Duration wait = !mayWait ? Duration{0} : onlyPersistent ? maxHoldWait : shortHoldWait;
    const bool listRunning = !m_shortReports || !worker.fenced || !worker.reachable || stopping
                             || m_now - worker.lastReport >= runningListInterval;
    const auto request = m_scheduler->holdRequest(id, m_now);
    schedule(delay(), [this, id, request, wait, listRunning, sentAt = m_now, fence = m_fence,
                       alive = m_ownerAlive] {
        auto *machine = machineOf(id);
        if (machine == nullptr || machine->cutOff || fence < machine->process->fence) {
            schedule(answerTimeout, [this, id, sentAt, alive] {
                if (*alive)
                    finishHold(id, std::nullopt, sentAt);
            });
            return;
        }
        auto &process = *machine->process;
        process.fence = fence;
        if (request.holdUntil)
            extendHold(process, *request.holdUntil);
        std::erase_if(process.ended, [&](const EndReport &it) {
            if (it.number > request.acknowledgedEnds)
                return false;
            if (it.end == RunEnd::Done && it.number > process.expiredUpTo)
                m_jobs[it.task.job].doneAcknowledged.insert(it.task);
            return true;
        });
        // The worker waits for an end of a run.
        const auto waited = process.ended.empty() ? wait : Duration{0};
        schedule(waited, [this, id, listRunning, sentAt, alive, machine,
                          process = machine->process] {
            const bool answers = machine->process == process && !machine->cutOff
                                 && !(machine->losesAnswers && chance(0.5));
            WorkerReport report;
            report.startedMs = process->startedMs;
            report.clock = clock(*process);
            report.runningListed = listRunning;
            for (const auto &[key, run] : process->runs) {
                if (listRunning)
                    report.running.push_back(run.row);
            }
            report.ended = process->ended;
            schedule(answers ? delay() : answerTimeout, [this, id, sentAt, alive, report, answers] {
                if (*alive)
                    finishHold(id, answers ? std::optional(report) : std::nullopt, sentAt);
            });
        });
    });
}

void ProgressModel::finishHold(const std::string &id, const std::optional<WorkerReport> &report,
                               TimePoint sentAt)
{
    m_changed = true;
    if (!report) {
        m_scheduler->holdUnanswered(id, m_now);
        m_holds.answered(id, m_now + retryInterval);
        return;
    }
    m_scheduler->holdAnswered(id, *report, sentAt, m_now);
    const auto *worker = m_scheduler->worker(id);
    const bool idle = worker == nullptr || !worker->busy();
    const bool unsaved = worker != nullptr
                         && (!worker->pendingEnds.empty()
                             || std::ranges::any_of(worker->runs, [](const auto &it) {
                                    return it.second.phase == TaskRun::Phase::Stopping;
                                }));
    m_holds.answered(id, m_now
                                 + (unsaved ? unsavedHoldInterval
                                    : idle  ? idleHoldInterval
                                            : minHoldInterval));
}

void ProgressModel::listInstances()
{
    // See WorkerRegistry::updateRecord(): workers that the scheduler has removed come back.
    for (const auto &[id, description] : m_entries) {
        if (m_scheduler->worker(id) == nullptr)
            notifyEntry(id);
    }
    // See FleetController::retireMissingWorkers().
    if (m_now - m_listedAt < (m_orders.empty() ? listInterval : busyListInterval))
        return;
    m_listedAt = m_now;
    std::map<std::string, std::string> workers;
    for (const auto &[name, machine] : m_machines)
        workers[name] = machine.process ? machine.process->id : "";
    schedule(delay(), [this, workers, sentAt = m_now, alive = m_ownerAlive] {
        if (!*alive)
            return;
        std::map<std::string, Scheduler::WorkerEnd> ended;
        for (const auto &[id, worker] : m_scheduler->workers()) {
            const auto startedMs = worker.description.startedMs;
            const auto &present = workers.at(worker.description.instance);
            if (!worker.reachable && unixMs() - startedMs > maxListAge / 1ms && present != id)
                ended[id] = present.empty() ? Scheduler::WorkerEnd::Down
                                            : Scheduler::WorkerEnd::Replaced;
        }
        for (const auto &[id, end] : ended) {
            appendTrace(id + " is retired by the list of instances");
            m_scheduler->retireWorker(id, end, m_now);
        }
        std::erase_if(m_orders, [&](const auto &it) {
            const auto &[name, order] = it;
            const auto &machine = m_machines[name];
            const bool arrived = !machine.moving && machine.pool == order.targetPool;
            return sentAt - order.sentAt > orderEffectTimeout
                   || (order.answered && order.sentAt < sentAt && arrived
                       && order.targetPool == standbyPool);
        });
    });
}

void ProgressModel::balance()
{
    if (m_now - m_balancedAt < balanceInterval)
        return;
    m_balancedAt = m_now;
    std::erase_if(m_orders, [&](const auto &it) {
        const auto &[name, order] = it;
        const auto &process = m_machines[name].process;
        const auto *worker = process ? m_scheduler->worker(process->id) : nullptr;
        return worker != nullptr && worker->listed && process->id != order.workerBefore
               && worker->description.pool == order.targetPool;
    });
    const auto view = buildView();
    for (const auto &it : m_balancer->decide(view, m_now))
        orderMove(it);
    for (const auto &[id, worker] : m_scheduler->workers()) {
        const auto &name = worker.description.instance;
        const bool leaving = m_orders.contains(name) || m_balancer->yielding().contains(name);
        if (worker.leaving != leaving)
            m_scheduler->setLeaving(id, leaving);
    }
}

FleetView ProgressModel::buildView()
{
    // See FleetController::buildView().
    FleetView view;
    view.standbyPool = standbyPool;
    auto loads = m_scheduler->loads(m_now);
    for (const auto &it : m_poolNames)
        view.load[it] = loads[it];
    std::map<std::string, const WorkerState *> workers;
    for (const auto &[id, worker] : m_scheduler->workers()) {
        auto &known = workers[worker.description.instance];
        if (worker.listed
            && (known == nullptr || known->description.startedMs < worker.description.startedMs))
            known = &worker;
    }
    for (const auto &[name, machine] : m_machines) {
        InstanceView row;
        row.name = name;
        row.pool = machine.pool;
        row.rack = machine.rack;
        row.state = machine.moving                                   ? FleetInstance::State::Moving
                    : machine.process || machine.pool == standbyPool ? FleetInstance::State::Up
                                                                     : FleetInstance::State::Down;
        row.milliCores = fullCapacity.milliCores;
        row.memoryMb = fullCapacity.memoryMb;
        if (const auto *worker = workers[name]) {
            if (worker->reachable) {
                row.pool = worker->description.pool;
                row.state = FleetInstance::State::Up;
            }
            row.usable = worker->listed && worker->reachable;
            row.empty = worker->empty();
            row.milliCores = worker->description.capacity.milliCores;
            row.memoryMb = worker->description.capacity.memoryMb;
            row.leaving = worker->leaving && !m_balancer->yielding().contains(name);
            row.hasPersistentTasks = worker->persistentRuns > 0;
            auto &[id, since] = m_idleSince[name];
            if (!row.empty || id != worker->description.id)
                since = m_now;
            id = worker->description.id;
            row.idleSince = since;
        }
        row.possiblyOrdered = m_now < m_firstMoveAt;
        if (const auto order = m_orders.find(name); order != m_orders.end()) {
            row.orderPending = true;
            row.pool = order->second.targetPool;
        }
        row.standby = row.pool == standbyPool;
        view.instances.push_back(std::move(row));
    }
    return view;
}

void ProgressModel::orderMove(const MoveInstance &move)
{
    auto &order = m_orders[move.instance];
    order = {move.pool, m_now, false, {}};
    for (const auto &[id, worker] : m_scheduler->workers()) {
        if (worker.description.instance != move.instance)
            continue;
        m_scheduler->setLeaving(id, true);
        if (worker.listed)
            order.workerBefore = id;
    }
    appendTrace(move.instance + " is ordered to " + move.pool);
    schedule(delay(), [this, move, fence = m_fence, alive = m_ownerAlive] {
        auto &machine = m_machines[move.instance];
        const bool busy = machine.moving || (!machine.process && machine.pool != standbyPool)
                          || fence != m_fence;
        const bool answerLost = m_now < m_faultsUntil && chance(0.05);
        if (!busy)
            applyMove(machine, move.pool);
        schedule(delay(), [this, move, alive, busy, answerLost] {
            const auto it = m_orders.find(move.instance);
            if (!*alive || answerLost || it == m_orders.end())
                return;
            if (busy) {
                m_orders.erase(it);
                return;
            }
            m_scheduler->retireWorker(it->second.workerBefore, Scheduler::WorkerEnd::Down, m_now);
            it->second.answered = true;
            it->second.sentAt = m_now;
        });
    });
}

void ProgressModel::applyMove(Machine &machine, const std::string &pool)
{
    endProcess(machine);
    machine.pool = pool;
    if (pool == standbyPool)
        return;
    machine.moving = true;
    schedule(moveTime, [this, &machine] {
        machine.moving = false;
        beginProcess(machine, "w" + std::to_string(++m_lastWorker));
    });
}

// Checks.

bool ProgressModel::sound(const Machine &machine) const
{
    return machine.process && m_now - machine.process->begin >= contactTime && !machine.cutOff
           && machine.failShare == 0 && machine.slowness == 1 && !machine.standsStill
           && !machine.losesAnswers && !machine.lateOrders
           && m_entries.contains(machine.process->id) && !m_orders.contains(machine.name);
}

int ProgressModel::room(const std::string &job, std::size_t step, const JobStep &spec,
                        const std::string &pool) const
{
    int slots = 0;
    for (const auto &[name, machine] : m_machines) {
        if (machine.pool != pool || !sound(machine))
            continue;
        auto free = machine.capacity;
        int ofStep = 0;
        for (const auto &[key, run] : machine.process->runs) {
            free -= run.need;
            ofStep += static_cast<int>(key.first.job == job
                                       && key.first.step == static_cast<int>(step));
        }
        int fitting = 0;
        while (fitting < requiredRoom && free.covers(spec.need.times(fitting + 1)))
            ++fitting;
        if (spec.maxPerWorker > 0)
            fitting = std::clamp(spec.maxPerWorker - ofStep, 0, fitting);
        slots += fitting;
    }
    return slots;
}

bool ProgressModel::underHalfInUse(const std::string &pool) const
{
    std::int64_t used = 0;
    std::int64_t total = 0;
    for (const auto &[name, machine] : m_machines) {
        if (machine.pool != pool || !machine.process)
            continue;
        total += machine.capacity.milliCores;
        for (const auto &[key, run] : machine.process->runs)
            used += run.need.milliCores;
    }
    return 2 * used < total;
}

bool ProgressModel::isRunnable(const TaskId &id, const Task &task) const
{
    if (task.phase == Task::Phase::Done)
        return false;
    return std::ranges::none_of(m_machines, [&](const auto &it) {
        const auto &process = it.second.process;
        return process
               && (process->hasRunOf(id)
                   || std::ranges::any_of(process->ended, [&](const EndReport &end) {
                          return end.task == id && end.end == RunEnd::Done;
                      }));
    });
}

void ProgressModel::check()
{
    if (!m_scheduler || m_now < m_lastFaultAt + contactTime) {
        m_waits.clear();
        return;
    }
    std::set<std::string> running;
    for (const auto &[name, machine] : m_machines) {
        if (!machine.process)
            continue;
        for (const auto &[key, run] : machine.process->runs)
            running.insert(key.first.job);
    }
    Waits waits;
    for (const auto &[id, job] : m_jobs) {
        const auto *run = m_scheduler->job(id);
        if (run == nullptr || run->hasEnded() || run->occurrences().empty())
            continue;
        for (std::size_t n = 0; n < job.job.spec.steps.size(); ++n)
            checkStep(job, *run, n, running.contains(id), waits);
    }
    m_waits = std::move(waits);
}

void ProgressModel::addTeams()
{
    constexpr int teamCount = 4;
    for (int n = 0; n < teamCount; ++n) {
        Team team;
        team.name = "t" + std::to_string(n);
        // Of the last team, only the memory is limited.
        if (n < teamCount - 1)
            team.ceiling.milliCores
                    = static_cast<std::int64_t>(20 + m_teamRandom.below(120)) * 1000;
        if (n == teamCount - 1 || m_teamRandom.unit() < 0.5)
            team.ceiling.memoryMb
                    = static_cast<std::int64_t>(50 + m_teamRandom.below(400)) * gigabyte;
        m_teams.push_back(std::move(team));
    }
}

const Team *ProgressModel::teamOf(const std::string &job) const
{
    const auto it = std::ranges::find(m_teams, m_jobs.at(job).job.team, &Team::name);
    return it == m_teams.end() ? nullptr : &*it;
}

Resources ProgressModel::usedBy(const std::string &team) const
{
    Resources used;
    for (const auto &[name, machine] : m_machines) {
        if (!machine.process)
            continue;
        for (const auto &[key, run] : machine.process->runs) {
            if (m_jobs.at(key.first.job).job.team == team)
                used += run.need;
        }
    }
    return used;
}

bool ProgressModel::teamUnderHalf(const std::string &job, const JobStep &spec) const
{
    const auto *team = teamOf(job);
    if (team == nullptr)
        return true;
    const auto used = usedBy(team->name);
    const auto under = [](std::int64_t amount, std::int64_t need, std::int64_t ceiling) {
        return ceiling == 0 || (2 * amount < ceiling && 2 * need <= ceiling);
    };
    return under(used.milliCores, spec.need.milliCores, team->ceiling.milliCores)
           && under(used.memoryMb, spec.need.memoryMb, team->ceiling.memoryMb);
}

void ProgressModel::checkCeiling(const StartTask &start)
{
    const auto *team = teamOf(start.task.job);
    if (team == nullptr)
        return;
    const auto &need
            = m_jobs[start.task.job].job.spec.steps[static_cast<std::size_t>(start.task.step)].need;
    const auto used = usedBy(team->name);
    const auto exceeds = [](std::int64_t amount, std::int64_t ceiling) {
        constexpr std::int64_t toleratedPercent = 110;
        // The start itself is the one task that is tolerated beyond that.
        return ceiling != 0 && 100 * amount > toleratedPercent * ceiling;
    };
    if (exceeds(used.milliCores, team->ceiling.milliCores)
        || exceeds(used.memoryMb, team->ceiling.memoryMb))
        recordViolation(nameOf(start.task, start.run) + " of " + std::to_string(need.milliCores)
                        + " milli-cores begins while " + team->name + " has "
                        + std::to_string(used.milliCores) + " milli-cores and "
                        + std::to_string(used.memoryMb) + " MB of "
                        + std::to_string(team->ceiling.milliCores) + " and "
                        + std::to_string(team->ceiling.memoryMb));
}

void ProgressModel::checkGivenUp(const ModelJob &job, const JobProgress &progress)
{
    if (progress.state != JobStatus::Failed || isFinal(job.saved.state))
        return;
    const bool crashed = std::ranges::any_of(
            job.crashes, [](const auto &it) { return it.second >= crashesForGivingUp; });
    const bool failed = std::ranges::any_of(progress.failures, [&job](const auto &it) {
        return std::ssize(it.second) >= job.job.policy.attempts;
    });
    if (!crashed && !failed)
        recordViolation(job.job.id + " is given up without cause: " + encodeProgress(progress)
                        + "\n" + job.events);
}

void ProgressModel::checkStart(const StartTask &start)
{
    const auto &task = start.task;
    auto &job = m_jobs[task.job];
    const bool speculative = job.job.spec.steps[static_cast<std::size_t>(task.step)].speculative;
    const bool running = std::ranges::any_of(m_machines, [&task](const auto &it) {
        return it.second.process && it.second.process->hasRunOf(task);
    });
    const auto name = nameOf(task, start.run) + " begins on " + start.worker;
    if (running && !speculative)
        recordViolation(name + " beside another run\n" + job.events);
    if (job.doneAcknowledged.contains(task) && !speculative)
        recordViolation(name + " after its end was acknowledged\n" + job.events);
    if (job.deadly && job.crashes[task] >= maxCrashes
        && ++job.startsAfterCrashes[task] == tooManyStarts)
        recordViolation(nameOf(task) + " is started too often\n" + job.events);
    appendJobEvent(task.job, name);
}

void ProgressModel::checkStep(const ModelJob &job, const JobRun &run, std::size_t step,
                              bool jobRuns, Waits &waits)
{
    const auto &id = job.job.id;
    const auto &spec = job.job.spec.steps[step];
    const auto &state = run.occurrences().begin()->second.steps[step];
    if (!state.ready || (jobRuns && !spec.persistent))
        return;
    std::vector<TaskId> runnable;
    for (int n = 0; n < spec.count; ++n) {
        const TaskId task{id, 0, static_cast<int>(step), n};
        if (isRunnable(task, state.tasks[static_cast<std::size_t>(n)]))
            runnable.push_back(task);
    }
    if (runnable.empty())
        return;
    const bool hasRoom = room(id, step, spec, job.job.pool) >= requiredRoom
                         && underHalfInUse(job.job.pool) && teamUnderHalf(id, spec);
    const auto observe = [&](const std::string &key, Duration limit, const char *what) {
        ++m_observedWaits;
        const auto known = m_waits.find(key);
        auto since = known == m_waits.end() ? m_now : known->second;
        // A run may have begun and ended between two checks.
        if (job.lastRunAt && !spec.persistent)
            since = std::max(since, *job.lastRunAt);
        waits[key] = since;
        if (m_now - since < limit || !m_violation.empty())
            return;
        std::ostringstream text;
        text << key << " does not run " << what << ": step " << step << " of " << spec.count
             << " tasks of " << spec.need.milliCores << " milli-cores and " << spec.need.memoryMb
             << " MB, " << state.waiting << " waiting" << (spec.persistent ? ", persistent" : "")
             << (spec.speculative ? ", speculative" : "") << (job.hopeless ? ", hopeless" : "")
             << (job.deadly ? ", deadly" : "") << "; last fault at "
             << (m_lastFaultAt - beginning) / 1ms << " ms\n"
             << job.events << describeWorkers();
        recordViolation(text.str());
    };
    if (spec.persistent) {
        for (const auto &it : runnable) {
            if (hasRoom)
                observe(nameOf(it), maxWait, "with room in its pool");
        }
        return;
    }
    const auto key = id + "." + std::to_string(step);
    if (hasRoom)
        observe(key, maxWait, "with room in its pool");
    else if (m_mode == Mode::Balanced && room(id, step, spec, job.job.pool) < requiredRoom
             && idleInstancesElsewhere(job.job.pool) >= requiredRoom)
        observe(key + " outside", maxWaitForInstances, "with idle instances in other pools");
}

int ProgressModel::idleInstancesElsewhere(const std::string &pool) const
{
    return static_cast<int>(std::ranges::count_if(m_machines, [&](const auto &it) {
        const auto &machine = it.second;
        return machine.pool != pool && machine.capacity == fullCapacity
               && (machine.pool == standbyPool
                   || (sound(machine) && machine.process->runs.empty()));
    }));
}

std::string ProgressModel::describeWorkers() const
{
    std::ostringstream text;
    for (const auto &[name, machine] : m_machines) {
        text << name << " in " << machine.pool << (machine.moving ? " moving" : "");
        if (!machine.process) {
            text << " without a process\n";
            continue;
        }
        Resources used;
        for (const auto &[key, run] : machine.process->runs)
            used += run.need;
        const auto &id = machine.process->id;
        text << " " << id << (sound(machine) ? " sound" : " not sound") << ", uses "
             << used.milliCores << "/" << machine.capacity.milliCores << " milli-cores "
             << used.memoryMb << "/" << machine.capacity.memoryMb << " MB;";
        const auto *worker = m_scheduler->worker(id);
        if (worker == nullptr) {
            text << " unknown to the scheduler\n";
            continue;
        }
        text << " scheduler: reserved " << worker->reserved.milliCores << "/"
             << worker->description.capacity.milliCores << " " << worker->reserved.memoryMb << "/"
             << worker->description.capacity.memoryMb
             << (worker->health.quarantined(m_now) ? " quarantined" : "")
             << (worker->health.slow(m_now) ? " slow" : "")
             << (worker->health.suspect(m_now) ? " suspect" : "")
             << (m_now < worker->pausedUntil ? " paused" : "")
             << (worker->leaving ? " leaving" : "") << (worker->listed ? "" : " unlisted")
             << (worker->reachable ? "" : " unreachable") << (worker->fenced ? "" : " unfenced")
             << (worker->retired ? " retired" : "")
             << (worker->usable(m_now) ? " usable" : " unusable");
        for (const auto &[task, run] : worker->runs)
            text << " " << nameOf(task, run.run) << " phase " << static_cast<int>(run.phase);
        text << "\n";
    }
    if (m_mode == Mode::Balanced) {
        for (const auto &it : m_poolNames)
            text << it << " needs " << m_balancer->neededInstances(it) << ", has "
                 << m_balancer->presentInstances(it) << "\n";
    }
    return text.str();
}

void ProgressModel::appendJobEvent(const std::string &job, const std::string &text)
{
    const auto line = std::to_string(elapsedMs()) + " ms: " + text + "\n";
    m_jobs[job].events += line;
}

} // namespace dragonflysill::test
