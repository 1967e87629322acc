// Rates of teams, and the choice of jobs that are deferred while not all can be in time.

#include "dragonflysill/jobs/overloadplan.h"
#include "dragonflysill/jobs/scheduler.h"

#include "schedulerconstants.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace dragonflysill {

struct Scheduler::PoolPlan
{
    double cores = 0; ///< Of its workers.
    double persistentCores = 0; ///< That persistent tasks use.
    std::vector<PlannedJob> jobs;
    std::vector<JobRun *> runs; ///< In the order of jobs.
};

void Scheduler::recordArrival(JobRun &job)
{
    const double work = expectedWork(job);
    if (job.rateClass != RateClass::Excess) {
        auto &accepted = m_acceptedLoad[job.job().pool];
        accepted.arrivedWork += work;
        ++accepted.arrivedJobs;
    }
    if (work <= 0)
        return;
    auto &arrivals = m_queueArrivals[job.job().queue];
    const double decay = 1 - 1 / internal::meanWorkWindow;
    arrivals.jobs = arrivals.jobs * decay + 1;
    arrivals.work = arrivals.work * decay + work;
    job.value = jobValue(work, arrivals.work / arrivals.jobs);
}

void Scheduler::classifyJobs()
{
    if (m_unclassifiedJobs.empty() || !m_teams.knowsTeams())
        return;
    std::vector<JobRun *> jobs;
    for (const auto &id : std::exchange(m_unclassifiedJobs, {})) {
        if (auto *job = find(id))
            jobs.push_back(job);
    }
    // A new owner adds the jobs that it inherits in the order of their ids.
    std::ranges::stable_sort(jobs, {}, &JobRun::accepted);
    for (auto *job : jobs) {
        job->rateClass = m_teamRates.add(job->team, job->accepted);
        recordArrival(*job);
        if (!job->hasEnded())
            waitingChanged(*job);
    }
}

void Scheduler::addToPlan(PoolPlan &plan, JobRun &job, TimePoint now) const
{
    double waitingWork = 0;
    for (const auto &[occurrence, run] : job.occurrences()) {
        for (std::size_t n = 0; n < run.steps.size(); ++n) {
            const auto &step = job.job().spec.steps[n];
            const auto &tasks = run.steps[n];
            const double cores = static_cast<double>(step.reserved().milliCores) / 1000;
            if (step.persistent) {
                if (tasks.ready)
                    plan.persistentCores += cores * (step.count - tasks.waiting);
                continue;
            }
            const double time = toSeconds(m_runTimes.expected(job.job().queue, step));
            if (!job.stepDone(occurrence, static_cast<int>(n)))
                waitingWork += cores * time * (tasks.ready ? tasks.waiting : step.count);
        }
    }
    const bool mayBeInTime = now <= job.latestStart && job.rateClass != RateClass::Excess;
    if (waitingWork <= 0 || !mayBeInTime || job.job().spec.scheduled)
        return;
    plan.jobs.push_back({job.latestStart, job.rateClass, job.job().policy.priority, waitingWork,
                         job.value, job.team});
    plan.runs.push_back(&job);
}

void Scheduler::planOverload(TimePoint now)
{
    if (!m_plansOverload) {
        if (!std::exchange(m_deferredJobs, {}).empty()) {
            for (const auto &[id, job] : m_open)
                job->deferred = false;
        }
        return;
    }
    if (now - m_overloadPlannedAt < internal::overloadPlanInterval)
        return;
    m_overloadPlannedAt = now;
    std::map<std::string_view, PoolPlan> plans;
    Resources fleet;
    for (const auto &[pool, workers] : m_pools) {
        auto &plan = plans[pool];
        for (const auto *it : workers) {
            if (!it->available(now))
                continue;
            fleet += it->description.capacity;
            plan.cores += static_cast<double>(it->description.capacity.milliCores) / 1000;
        }
    }
    m_teams.updateUseLevels(fleet);
    for (const auto &[id, job] : m_open)
        addToPlan(plans[job->job().pool], *job, now);
    m_deferredJobs.clear();
    for (auto &[pool, plan] : plans) {
        // Instances that a pool can get count as if they were there: in the order of their latest
        // starts, most jobs are in time once these have come.
        const auto obtainable = m_obtainableCores.find(pool);
        if (obtainable != m_obtainableCores.end())
            plan.cores = std::max(plan.cores, obtainable->second);
        plan.cores = std::max(0.0, plan.cores - plan.persistentCores);
        const auto deferred = jobsToDefer(plan.jobs, plan.cores, now);
        m_deferredJobs.emplace(pool, static_cast<int>(deferred.size()));
        auto next = deferred.begin();
        for (std::size_t n = 0; n < plan.runs.size(); ++n) {
            const bool defers = next != deferred.end() && *next == n;
            next += static_cast<std::ptrdiff_t>(defers);
            if (std::exchange(plan.runs[n]->deferred, defers) != defers)
                waitingChanged(*plan.runs[n]);
        }
    }
}

} // namespace dragonflysill
