#include "dragonflysill/jobs/waitingqueue.h"

#include "dragonflysill/jobs/jobrun.h"

namespace dragonflysill {

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
    for (const auto &[occurrence, run] : job.occurrences()) {
        for (std::size_t n = 0; n < run.steps.size(); ++n) {
            if (run.steps[n].waiting == 0)
                continue;
            Key key;
            key.tier = job.job().spec.steps[n].persistent ? Tier::Persistent
                       : inTime                           ? Tier::InTime
                                                          : Tier::Late;
            key.priority = job.job().policy.priority;
            key.noStepDone = run.stepsDone == 0;
            key.rank = key.tier == Tier::Late ? remainingWork : latestStart.time_since_epoch();
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
