#include "firstinfirstout.h"

#include <algorithm>
#include <numeric>

namespace dragonflysill::daymodel::internal {

void FirstInFirstOut::beginStep(Job &job)
{
    const auto count = job.job.spec.steps[static_cast<std::size_t>(job.step)].count;
    job.waiting.resize(static_cast<std::size_t>(count));
    std::iota(job.waiting.begin(), job.waiting.end(), 0);
    job.open = count;
    job.failures.clear();
}

void FirstInFirstOut::addJob(const SubmittedJob &job)
{
    auto &added = m_jobs[job.id];
    added.job = job;
    beginStep(added);
    m_order.push_back(job.id);
    auto &arrived = m_arrived[job.pool];
    ++arrived.arrivedJobs;
    for (const auto &step : job.spec.steps)
        arrived.arrivedWork += toSeconds(step.estimate) * step.count
                               * static_cast<double>(step.need.milliCores) / 1000;
}

void FirstInFirstOut::addWorker(const std::string &id, const std::string &pool,
                                const Resources &capacity)
{
    m_workers[id] = {pool, capacity, 0};
}

void FirstInFirstOut::ended(const std::string &worker, const EndReport &end)
{
    const auto job = m_jobs.find(end.task.job);
    const auto workerEntry = m_workers.find(worker);
    if (job == m_jobs.end())
        return;
    auto &it = job->second;
    if (workerEntry != m_workers.end()) {
        workerEntry->second.free = workerEntry->second.free
                                   + it.job.spec.steps[static_cast<std::size_t>(it.step)].need;
        --workerEntry->second.runs;
    }
    if (end.end == RunEnd::Done) {
        if (--it.open > 0)
            return;
        if (++it.step < static_cast<int>(it.job.spec.steps.size())) {
            beginStep(it);
            return;
        }
    } else if (++it.failures[end.task.index] < it.job.policy.attempts) {
        it.waiting.push_back(end.task.index);
        return;
    }
    std::erase(m_order, end.task.job);
    // Running tasks of a failed job continue; the job is kept so that their ends are accounted for.
    if (end.end == RunEnd::Done)
        m_jobs.erase(job);
    else
        m_failed.insert(end.task.job);
}

std::vector<SchedulerAction> FirstInFirstOut::decide()
{
    std::vector<SchedulerAction> actions;
    for (const auto &id : m_order) {
        auto &it = m_jobs[id];
        const auto need = it.job.spec.steps[static_cast<std::size_t>(it.step)].need;
        while (!it.waiting.empty()) {
            const auto worker = std::ranges::find_if(m_workers, [&](const auto &candidate) {
                return candidate.second.pool == it.job.pool && candidate.second.free.covers(need);
            });
            if (worker == m_workers.end())
                break;
            worker->second.free = worker->second.free - need;
            ++worker->second.runs;
            StartTask start;
            start.worker = worker->first;
            start.task = {id, 0, it.step, it.waiting.back()};
            start.run = ++m_lastRun;
            it.waiting.pop_back();
            actions.emplace_back(std::move(start));
        }
    }
    return actions;
}

PoolLoad FirstInFirstOut::load(const std::string &pool) const
{
    PoolLoad load;
    if (const auto it = m_arrived.find(pool); it != m_arrived.end())
        load = it->second;
    for (const auto &id : m_order) {
        const auto &it = m_jobs.at(id);
        if (it.job.pool != pool)
            continue;
        const auto cpu = it.job.spec.steps[static_cast<std::size_t>(it.step)].need.milliCores;
        const auto waiting = static_cast<std::int64_t>(it.waiting.size());
        load.waitingMilliCores += cpu * waiting;
        load.runningMilliCores += cpu * (it.open - waiting);
    }
    return load;
}

bool FirstInFirstOut::empty(const std::string &worker) const
{
    const auto it = m_workers.find(worker);
    return it == m_workers.end() || it->second.runs == 0;
}

} // namespace dragonflysill::daymodel::internal
