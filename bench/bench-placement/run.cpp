#include "run.h"

#include "dragonflysill/base/time.h"

#include <algorithm>

namespace dragonflysill {

namespace {

constexpr std::int64_t usageDelayMs = 10'000;
constexpr std::int64_t renewIntervalMs = 10'000;
constexpr std::int64_t badWorkerFailureMs = 5000;
constexpr double throttleFactor = 0.25;
constexpr double milliCoreMsPerCoreHour = 1000 * 3'600'000.0;

} // namespace

Run::Run(const Workload &workload, PlacementPolicy &policy)
    : m_workload(workload)
    , m_policy(policy)
    , m_onWorker(workload.workers.size())
{
    for (std::size_t n = 0; n < workload.workers.size(); ++n)
        m_workers[workload.workers[n].name] = n;
    for (std::size_t n = 0; n < workload.jobs.size(); ++n) {
        m_jobs[workload.jobs[n].declared.name] = n;
        m_result.impossible += workload.jobs[n].possible ? 0 : 1;
    }
}

RunResult Run::run()
{
    for (m_nowMs = 0; m_nowMs < endMs; m_nowMs += stepMs) {
        submit();
        if (m_nowMs == m_workload.cancelMs) {
            cancel();
        } else {
            execute(m_policy.decide(m_nowMs));
        }
        for (std::size_t n = 0; n < m_onWorker.size(); ++n)
            advanceWorker(n);
    }
    computeUrgentWaits();
    return m_result;
}

void Run::submit()
{
    for (const auto &it : m_workload.jobs) {
        if (it.submitMs / stepMs == m_nowMs / stepMs)
            m_policy.submit(it.declared);
    }
}

void Run::cancel()
{
    const auto start = steadyNow();
    for (const auto it : m_workload.cancelled) {
        if (m_workload.jobs[it].submitMs <= m_nowMs)
            m_policy.cancel(m_workload.jobs[it].declared);
    }
    const auto actions = m_policy.decide(m_nowMs);
    m_result.cancelDecisionMs
            = std::chrono::duration<double, std::milli>(steadyNow() - start).count();
    execute(actions);
    for (const auto it : m_workload.cancelled) {
        for (int n = 0; n < m_workload.jobs[it].declared.tasks; ++n)
            m_result.cancelledLeft += m_running.count({it, n}) > 0 ? 1 : 0;
    }
}

void Run::execute(const std::vector<PlacementAction> &actions)
{
    for (const auto &it : actions) {
        switch (it.kind) {
        case PlacementAction::Kind::Start:
            start(it);
            break;
        case PlacementAction::Kind::Checkpoint:
        case PlacementAction::Kind::Stop:
            stop(it);
            break;
        case PlacementAction::Kind::Throttle:
            m_running.at({m_jobs.at(it.job), it.index}).throttled = true;
            break;
        case PlacementAction::Kind::Resume:
            m_running.at({m_jobs.at(it.job), it.index}).throttled = false;
            break;
        case PlacementAction::Kind::Refuse:
            ++(m_workload.jobs[m_jobs.at(it.job)].possible ? m_result.possibleRefused
                                                           : m_result.impossibleRefused);
            break;
        case PlacementAction::Kind::Quarantine:
        case PlacementAction::Kind::Readmit:
            break;
        }
    }
}

void Run::start(const PlacementAction &action)
{
    const Key key{m_jobs.at(action.job), action.index};
    const auto &job = m_workload.jobs[key.first];
    Task task;
    task.job = key.first;
    task.index = action.index;
    task.worker = m_workers.at(action.worker);
    task.startMs = m_nowMs;
    const auto saved = m_checkpointedMs.find(key);
    task.remainingMs
            = saved == m_checkpointedMs.end() ? static_cast<double>(job.runMs) : saved->second;
    m_running[key] = task;
    m_onWorker[task.worker].push_back(key);
    if (m_startedOnce.emplace(key, true).second && job.declared.priority == Priority::Urgent)
        m_urgentWaits.push_back(
                static_cast<double>(m_nowMs - (job.submitMs - job.submitMs % stepMs)) / 1000);
}

void Run::stop(const PlacementAction &action)
{
    const Key key{m_jobs.at(action.job), action.index};
    const auto it = m_running.find(key);
    if (it == m_running.end())
        return;
    const auto &job = m_workload.jobs[key.first];
    if (action.kind == PlacementAction::Kind::Checkpoint) {
        m_checkpointedMs[key] = it->second.remainingMs;
    } else {
        m_result.wastedCoreHours += (static_cast<double>(job.runMs) - it->second.remainingMs)
                                    * static_cast<double>(job.needs.milliCores)
                                    / milliCoreMsPerCoreHour;
    }
    std::erase(m_onWorker[it->second.worker], key);
    m_running.erase(it);
}

void Run::finish(const Key &key, TaskOutcome outcome)
{
    const auto task = m_running.at(key);
    const auto &job = m_workload.jobs[key.first];
    const double done = (static_cast<double>(job.runMs) - std::max(0.0, task.remainingMs))
                        * static_cast<double>(job.needs.milliCores) / milliCoreMsPerCoreHour;
    if (outcome == TaskOutcome::Succeeded) {
        m_result.usefulCoreHours += done;
        ++m_result.tasksFinished;
    } else {
        m_result.wastedCoreHours += done;
    }
    std::erase(m_onWorker[task.worker], key);
    m_running.erase(key);
    m_policy.end(job.declared.name, key.second, outcome, m_nowMs);
}

void Run::advanceWorker(std::size_t worker)
{
    const auto &capacity = m_workload.workers[worker].capacity;
    Resources used;
    for (const auto &it : m_onWorker[worker])
        used += m_workload.jobs[it.first].needs;
    const double share
            = std::min(1.0, static_cast<double>(capacity.milliCores)
                                    / std::max(1.0, static_cast<double>(used.milliCores)));
    constexpr double steps = static_cast<double>(endMs) / stepMs;
    if (!m_workload.bad[worker]) {
        const auto good = static_cast<double>(
                std::count(m_workload.bad.begin(), m_workload.bad.end(), false));
        m_result.coresUsed += std::min(1.0, static_cast<double>(used.milliCores)
                                                    / static_cast<double>(capacity.milliCores))
                              / good / steps;
        m_result.memoryUsed += std::min(1.0, static_cast<double>(used.memoryMb)
                                                     / static_cast<double>(capacity.memoryMb))
                               / good / steps;
    }
    auto tasks = m_onWorker[worker];
    if (used.memoryMb > capacity.memoryMb && !m_workload.bad[worker]) {
        ++m_result.tasksOutOfMemory;
        // The platform reports the memory that the task used before it failed.
        const auto &job = m_workload.jobs[tasks.back().first];
        m_policy.usage(job.declared.name, tasks.back().second, job.needs);
        finish(tasks.back(), TaskOutcome::Failed);
        tasks.pop_back();
    }
    for (const auto &it : tasks) {
        Task &task = m_running.at(it);
        const auto &job = m_workload.jobs[it.first];
        if (m_workload.bad[worker]) {
            if (m_nowMs - task.startMs < badWorkerFailureMs)
                continue;
            ++m_result.tasksLostToBadWorkers;
            finish(it, TaskOutcome::Failed);
            continue;
        }
        task.remainingMs
                -= static_cast<double>(stepMs) * share * (task.throttled ? throttleFactor : 1);
        if (task.remainingMs <= 0) {
            finish(it, TaskOutcome::Succeeded);
            continue;
        }
        if (!task.reported && m_nowMs - task.startMs >= usageDelayMs) {
            task.reported = true;
            m_policy.usage(job.declared.name, task.index, job.needs);
        }
        if ((m_nowMs - task.startMs) % renewIntervalMs == 0)
            m_policy.renew(job.declared.name, task.index, m_nowMs);
    }
}

void Run::computeUrgentWaits()
{
    for (std::size_t n = 0; n < m_workload.jobs.size(); ++n) {
        const auto &job = m_workload.jobs[n];
        if (job.declared.priority != Priority::Urgent || !job.possible)
            continue;
        const bool cancelled
                = std::count(m_workload.cancelled.begin(), m_workload.cancelled.end(), n) > 0;
        for (int index = 0; index < job.declared.tasks && !cancelled; ++index)
            m_result.urgentNeverStarted += m_startedOnce.contains({n, index}) ? 0 : 1;
    }
    if (m_urgentWaits.empty())
        return;
    std::sort(m_urgentWaits.begin(), m_urgentWaits.end());
    for (const auto it : m_urgentWaits)
        m_result.urgentMeanWaitSeconds += it / static_cast<double>(m_urgentWaits.size());
    m_result.urgentP99WaitSeconds = m_urgentWaits[m_urgentWaits.size() * 99 / 100];
}

} // namespace dragonflysill
