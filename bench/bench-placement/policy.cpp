#include "policy.h"

#include <utility>

namespace dragonflysill {

PlannerPolicy::PlannerPolicy(const Workload &workload)
{
    for (const auto &it : workload.workers)
        m_planner.setWorker(it);
}

void PlannerPolicy::cancel(const Job &job)
{
    Job cancelled = job;
    cancelled.cancelled = true;
    m_planner.setJob(cancelled);
}

void PlannerPolicy::usage(const std::string &job, int index, const Resources &usage)
{
    m_planner.reportUsage(job, index, usage);
}

void PlannerPolicy::end(const std::string &job, int index, TaskOutcome outcome, std::int64_t nowMs)
{
    m_planner.endTask(job, index, outcome, nowMs);
}

void PlannerPolicy::renew(const std::string &job, int index, std::int64_t nowMs)
{
    m_planner.renewTask(job, index, nowMs);
}

std::vector<PlacementAction> PlannerPolicy::decide(std::int64_t nowMs)
{
    return m_planner.decide(nowMs);
}

FirstFitPolicy::FirstFitPolicy(const Workload &workload)
    : m_workers(workload.workers)
{
    for (const auto &it : m_workers)
        m_free.push_back(it.capacity);
}

void FirstFitPolicy::submit(const Job &job)
{
    m_positions[job.name] = m_entries.size();
    Entry &entry = m_entries.emplace_back();
    entry.job = job;
    entry.workers.assign(static_cast<std::size_t>(job.tasks), -1);
    for (int n = job.tasks; n-- > 0;)
        entry.waiting.push_back(n);
}

void FirstFitPolicy::free(Entry &entry, int index)
{
    int &worker = entry.workers[static_cast<std::size_t>(index)];
    m_free[static_cast<std::size_t>(worker)] += declaredNeed(entry.job);
    worker = -1;
}

void FirstFitPolicy::cancel(const Job &job)
{
    const auto it = m_positions.find(job.name);
    if (it == m_positions.end())
        return;
    Entry &entry = m_entries[it->second];
    entry.waiting.clear();
    for (int n = 0; n < job.tasks; ++n) {
        const int worker = entry.workers[static_cast<std::size_t>(n)];
        if (worker < 0)
            continue;
        m_actions.push_back({PlacementAction::Kind::Stop,
                             job.name,
                             n,
                             m_workers[static_cast<std::size_t>(worker)].name,
                             {}});
        free(entry, n);
    }
}

void FirstFitPolicy::end(const std::string &job, int index, TaskOutcome outcome, std::int64_t)
{
    Entry &entry = m_entries[m_positions.find(job)->second];
    free(entry, index);
    if (outcome != TaskOutcome::Succeeded)
        entry.waiting.push_back(index);
}

int FirstFitPolicy::firstFit(const Job &job) const
{
    const auto need = declaredNeed(job);
    for (std::size_t n = 0; n < m_free.size(); ++n) {
        if (m_free[n].covers(need))
            return static_cast<int>(n);
    }
    return -1;
}

std::vector<PlacementAction> FirstFitPolicy::decide(std::int64_t)
{
    for (const bool urgent : {true, false}) {
        for (auto &entry : m_entries) {
            if ((entry.job.priority == Priority::Urgent) != urgent)
                continue;
            while (!entry.waiting.empty()) {
                const int worker = firstFit(entry.job);
                if (worker < 0)
                    break;
                const int index = entry.waiting.back();
                entry.waiting.pop_back();
                entry.workers[static_cast<std::size_t>(index)] = worker;
                m_free[static_cast<std::size_t>(worker)] -= declaredNeed(entry.job);
                m_actions.push_back({PlacementAction::Kind::Start,
                                     entry.job.name,
                                     index,
                                     m_workers[static_cast<std::size_t>(worker)].name,
                                     {}});
            }
        }
    }
    return std::exchange(m_actions, {});
}

} // namespace dragonflysill
