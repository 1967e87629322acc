#include "dragonflysill/jobs/waitingqueue.h"

#include "dragonflysill/jobs/jobrun.h"
#include "dragonflysill/jobs/teamusage.h"

namespace dragonflysill {

namespace internal {

WaitingQueue::Tier tierOf(const JobRun &job, bool inTime)
{
    using Tier = WaitingQueue::Tier;
    if (job.rateClass == RateClass::Excess)
        return inTime ? Tier::Excess : Tier::LateExcess;
    if (!inTime)
        return Tier::Late;
    return job.deferred ? Tier::Deferred : Tier::InTime;
}

} // namespace internal

void WaitingQueue::update(JobRun &job, Duration remainingWork, TimePoint now)
{
    remove(job);
    if (job.hasEnded() || job.waitingTasks() == 0)
        return;
    auto &entries = m_jobs[&job];
    entries.remainingWork = remainingWork;
    const auto latestStart = job.objective - remainingWork;
    const bool inTime = now <= latestStart || job.job().spec.scheduled;
    if (inTime && !job.job().spec.scheduled) {
        entries.latestStart = latestStart;
        m_latestStarts.emplace(latestStart, &job);
    }
    const auto tier = internal::tierOf(job, inTime);
    for (const auto &[occurrence, run] : job.occurrences()) {
        for (std::size_t n = 0; n < run.steps.size(); ++n) {
            if (run.steps[n].waiting == 0)
                continue;
            Key key;
            key.tier = job.job().spec.steps[n].persistent ? Tier::Persistent : tier;
            key.priority = job.job().policy.priority;
            if (job.team != nullptr) {
                key.teamPriority = job.team->priority;
                key.useLevel = key.tier > Tier::Deferred ? job.team->useLevel : 0;
            }
            key.noStepDone = run.stepsDone == 0;
            key.rank = inTime || key.tier == Tier::Persistent ? latestStart.time_since_epoch()
                                                              : remainingWork;
            key.job = job.job().id;
            key.occurrence = occurrence;
            key.step = static_cast<int>(n);
            const auto &step = job.job().spec.steps[n];
            const bool needsBoth = step.need.milliCores > 0 && step.need.memoryMb > 0;
            const Group group{step.reserved().milliCores / milliCoresPerCore,
                              needsBoth ? job.team : nullptr};
            m_groups[group].emplace(key, WaitingStep{&job, occurrence, key.step});
            entries.keys.emplace_back(group, key);
        }
    }
}

void WaitingQueue::remove(JobRun &job)
{
    const auto it = m_jobs.find(&job);
    if (it == m_jobs.end())
        return;
    for (const auto &[group, key] : it->second.keys) {
        const auto steps = m_groups.find(group);
        steps->second.erase(key);
        if (steps->second.empty())
            m_groups.erase(steps);
    }
    if (it->second.latestStart)
        m_latestStarts.erase({*it->second.latestStart, &job});
    m_jobs.erase(it);
}

void WaitingQueue::demoteLateJobs(TimePoint now)
{
    while (!m_latestStarts.empty() && m_latestStarts.begin()->first < now) {
        auto *job = m_latestStarts.begin()->second;
        update(*job, m_jobs[job].remainingWork, now);
    }
}

} // namespace dragonflysill
