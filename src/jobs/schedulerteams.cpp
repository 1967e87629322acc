// What teams may have running: counting of runs, bounds after a takeover, demand below ceilings.

#include "dragonflysill/jobs/scheduler.h"

#include "schedulerconstants.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>
#include <vector>

namespace dragonflysill {

namespace internal {

/**
 * Time for which runs of a job that has ended may go on unknown to a new owner: their hold, which
 * an earlier owner may have extended for a while, and the error of the time of day.
 */
constexpr Milliseconds endedJobRunTime{20'000};

/** Returns what must start at once of a step: one task, or the whole gang. */
Resources startNeed(const JobStep &step)
{
    return step.gang ? step.need.times(step.count) : step.need;
}

/** Returns true if a task of a step is known to have a run. */
bool hasActiveTask(const StepRun &step)
{
    return std::ranges::any_of(step.tasks,
                               [](const Task &it) { return it.phase == Task::Phase::Active; });
}

/** Finds the steps of an occurrence that an earlier owner may have begun. */
class BegunSteps
{
public:
    BegunSteps(const JobRun &job, int occurrence, const OccurrenceRun &run)
        : m_job(job)
        , m_occurrence(occurrence)
        , m_run(run)
        , m_known(run.steps.size())
    {
    }

    /** Returns false if a step cannot have begun, since one that it depends on is still running. */
    bool contains(std::size_t step)
    {
        auto &known = m_known[step];
        if (!known) {
            // A step cannot depend on itself, whatever a job says.
            known = false;
            const auto &after = m_job.job().spec.steps[step].after;
            known = std::ranges::all_of(after, [this](int n) {
                const auto earlier = static_cast<std::size_t>(n);
                return m_job.stepDone(m_occurrence, n)
                       || (!hasActiveTask(m_run.steps[earlier]) && contains(earlier));
            });
        }
        return *known;
    }

private:
    const JobRun &m_job;
    int m_occurrence;
    const OccurrenceRun &m_run;
    std::vector<std::optional<bool>> m_known;
};

/** Returns the part of a team's waiting need of a resource that fits below the ceiling. */
double startableShare(std::int64_t waiting, std::int64_t used, std::int64_t ceiling)
{
    if (ceiling == 0 || waiting == 0)
        return 1;
    const auto room = std::max<std::int64_t>(0, ceiling - used);
    return std::min(1.0, static_cast<double>(room) / static_cast<double>(waiting));
}

Resources smaller(const Resources &a, const Resources &b)
{
    return {std::min(a.milliCores, b.milliCores), std::min(a.memoryMb, b.memoryMb),
            std::min(a.accelerators, b.accelerators)};
}

} // namespace internal

bool mayHaveUnknownRuns(const JobProgress &progress, std::int64_t unixMs)
{
    // All tasks of a completed job have ended, apart from copies that are found when reported.
    if (progress.endedMs == 0
        || (progress.state != JobStatus::Cancelled && progress.state != JobStatus::Failed))
        return false;
    // The difference of damaged values may exceed the range of integers.
    const auto age = static_cast<double>(unixMs) - static_cast<double>(progress.endedMs);
    return std::abs(age) <= static_cast<double>(internal::endedJobRunTime.count());
}

void Scheduler::setTeams(std::span<const Team> teams)
{
    m_teams.setTeams(teams);
}

std::optional<StartObstacle> Scheduler::teamObstacle(const JobRun &job, const JobStep &step) const
{
    if (job.team == nullptr)
        return std::nullopt;
    const auto need = internal::startNeed(step);
    if (job.team->canNeverHold(need))
        return StartObstacle::ExceedsTeamCeiling;
    if (!m_teams.knowsTeams() || !job.team->hasRoom(need))
        return StartObstacle::TeamCeiling;
    return std::nullopt;
}

bool Scheduler::awaitsTeam(JobRun &job, const JobStep &step)
{
    if (!teamObstacle(job, step))
        return false;
    TeamUsage::addBlockedPool(*job.team, job.job().pool);
    return true;
}

TeamCharge Scheduler::chargeFor(const TaskId &id)
{
    if (const auto *job = find(id.job))
        return job->team != nullptr && job->hasTask(id)
                       ? TeamCharge(m_teams, *job->team, job->step(id).need)
                       : TeamCharge();
    const auto ended = m_findEndedJob ? m_findEndedJob(id.job) : std::nullopt;
    if (!ended || ended->team.empty() || id.step < 0
        || id.step >= static_cast<int>(ended->spec.steps.size()))
        return {};
    return {m_teams, *m_teams.account(ended->team),
            ended->spec.steps[static_cast<std::size_t>(id.step)].need};
}

void Scheduler::chargeReleasedRuns(WorkerState &worker, TimePoint now)
{
    for (auto &it : worker.releasedRuns) {
        if (it.team != nullptr && it.charge.account() == nullptr && now < it.copiesUntil)
            it.charge = TeamCharge(m_teams, *it.team, it.need);
    }
}

void Scheduler::dischargeReleasedRuns(WorkerState &worker)
{
    for (auto &it : worker.releasedRuns) {
        if (it.startedMs == worker.startedMs)
            it.charge = {};
    }
}

void Scheduler::addNeed(UnlocatedNeed &need, const JobStep &step, std::int64_t tasks)
{
    need.reserved += step.reserved().times(tasks);
    if (step.bestEffort)
        need.unreservedMilliCores += step.need.milliCores * tasks;
}

void Scheduler::addUnlocatedNeed(UnlocatedNeed &need, const JobRun &job)
{
    const auto &steps = job.job().spec.steps;
    if (job.occurrences().empty()) {
        // Not opened by this owner, for example because it has ended.
        const int first = job.progress().occurrencesDone;
        const int open = std::min(job.job().spec.occurrences - first,
                                  JobRun::occurrenceWindow(job.job().spec));
        for (std::size_t n = 0; n < steps.size(); ++n) {
            if (!job.stepDone(first, static_cast<int>(n)))
                addNeed(need, steps[n], std::int64_t{steps[n].count} * std::max(0, open));
        }
        return;
    }
    for (const auto &[occurrence, run] : job.occurrences()) {
        internal::BegunSteps begun(job, occurrence, run);
        for (std::size_t n = 0; n < steps.size(); ++n) {
            if (job.stepDone(occurrence, static_cast<int>(n)) || !begun.contains(n))
                continue;
            if (!run.steps[n].ready) {
                addNeed(need, steps[n], steps[n].count);
                continue;
            }
            const int copies = steps[n].speculative ? 2 : 1;
            for (const auto &task : run.steps[n].tasks) {
                if (task.phase != Task::Phase::Done)
                    addNeed(need, steps[n],
                            std::max(0, copies - static_cast<int>(task.workers.size())));
            }
        }
    }
}

void Scheduler::countInheritedTasks(TimePoint now)
{
    if (m_inheritedTeamJobs.empty())
        return;
    m_unlocatedNeeds.clear();
    if (!m_unreachedCapacities.empty()) {
        for (const auto &id : m_inheritedTeamJobs) {
            if (const auto *job = find(id))
                addUnlocatedNeed(m_unlocatedNeeds[{job->job().pool, job->team}], *job);
        }
    } else if (!previousOwnerMayBeActive(now - internal::maxCallTime)) {
        m_inheritedTeamJobs.clear();
    }
    boundInheritedRuns();
}

void Scheduler::boundInheritedRuns()
{
    std::map<TeamAccount *, Resources> bounds;
    for (const auto &[key, need] : m_unlocatedNeeds) {
        const auto &[pool, team] = key;
        const auto capacity = m_unreachedCapacities.find(pool);
        if (capacity == m_unreachedCapacities.end())
            continue;
        auto bound = capacity->second.known ? internal::smaller(need.reserved, capacity->second.sum)
                                            : need.reserved;
        bound.milliCores += need.unreservedMilliCores;
        bounds[team] += bound;
    }
    m_teams.setInherited(bounds);
}

std::map<const TeamAccount *, double> Scheduler::startableShares() const
{
    std::map<const TeamAccount *, Resources> waiting;
    for (const auto &[id, job] : m_open) {
        if (job->team == nullptr || job->team->ceiling == Resources{})
            continue;
        auto &sum = waiting[job->team];
        for (const auto &[occurrence, run] : job->occurrences()) {
            for (std::size_t n = 0; n < run.steps.size(); ++n) {
                const auto &step = job->job().spec.steps[n];
                if (run.steps[n].waiting > 0 && !job->team->canNeverHold(internal::startNeed(step)))
                    sum += step.need.times(run.steps[n].waiting);
            }
        }
    }
    std::map<const TeamAccount *, double> shares;
    for (const auto &[team, sum] : waiting) {
        const auto used = team->used();
        shares[team] = std::min(
                {internal::startableShare(sum.milliCores, used.milliCores,
                                          team->ceiling.milliCores),
                 internal::startableShare(sum.memoryMb, used.memoryMb, team->ceiling.memoryMb),
                 internal::startableShare(sum.accelerators, used.accelerators,
                                          team->ceiling.accelerators)});
    }
    return shares;
}

double Scheduler::startableTasks(const JobRun &job, const JobStep &step, int waiting,
                                 const std::map<const TeamAccount *, double> &shares) const
{
    if (waiting == 0 || teamObstacle(job, step) == StartObstacle::ExceedsTeamCeiling)
        return 0;
    const auto it = shares.find(job.team);
    return it == shares.end() ? waiting : waiting * it->second;
}

std::vector<CeilingExcess> Scheduler::takeCeilingExcesses(std::size_t limit)
{
    std::vector<CeilingExcess> excesses;
    for (const auto &[id, job] : m_open) {
        if (excesses.size() >= limit)
            break;
        if (job->team == nullptr || job->ceilingReported || job->waitingTasks() == 0)
            continue;
        const auto &steps = job->job().spec.steps;
        const auto step = std::ranges::find_if(steps, [&job = *job](const JobStep &it) {
            return job.team->canNeverHold(internal::startNeed(it));
        });
        if (step == steps.end())
            continue;
        job->ceilingReported = true;
        excesses.push_back({id, static_cast<int>(step - steps.begin()), job->job().team,
                            internal::startNeed(*step), job->team->ceiling});
    }
    return excesses;
}

} // namespace dragonflysill
