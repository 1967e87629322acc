// Teams with ceilings in the model of the task protocol.

#include "protocolmodel.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>

namespace dragonflysill::test {

using namespace std::chrono_literals;

namespace {

constexpr int teamCount = 2;
/** Jobs of which the last one has no team. */
constexpr int teamJobCount = 11;
/** Longest time from the beginning until a job is submitted. */
constexpr int maxSubmissionMs = 11000;
/** Tasks that the ceilings allow after the faults. */
constexpr int lastCeiling = 8;
/** Processor time that each task needs. */
constexpr std::int64_t taskMilliCores = 500;
constexpr int maxTasksPerStep = 4;
/** Probability of a new configuration in one step. */
constexpr double changeRate = 0.02;
/** Longest time until an owner knows the newest configuration. */
constexpr int maxTellMs = 500;
/** Excess of a ceiling that the platform tolerates beside one task. */
constexpr double toleratedOverage = 0.1;

Team team(int number, std::int64_t tasks)
{
    Team result;
    result.name = "t" + std::to_string(number);
    // The second team's memory is limited, of which each task needs 1 MB.
    if (number == 0)
        result.ceiling.milliCores = tasks * taskMilliCores;
    else
        result.ceiling.memoryMb = tasks;
    return result;
}

} // namespace

const JobStep &ProtocolModel::stepOf(const TaskId &task) const
{
    return m_jobs.at(task.job).spec.steps[static_cast<std::size_t>(task.step)];
}

void ProtocolModel::addTeamJobs()
{
    for (int n = 0; n < teamJobCount; ++n) {
        auto &job = m_jobs["j" + std::to_string(n)];
        job = m_jobs["j0"];
        job.id = "j" + std::to_string(n);
        if (chance(0.5))
            job.pool = "pool-2";
        if (n >= teamCount) {
            m_awaited.insert(job.id);
            schedule(Milliseconds(between(0, maxSubmissionMs)),
                     [this, id = job.id] { submit(id); });
        }
        if (n < teamJobCount - 1)
            job.team = "t" + std::to_string(n % teamCount);
        for (auto &step : job.spec.steps) {
            step.count = between(1, maxTasksPerStep);
            step.need = {taskMilliCores, 1, 0};
            step.gang = chance(0.15);
            step.speculative = !step.gang && chance(0.2);
            step.bestEffort = !step.gang && chance(0.15);
        }
    }
    m_configurations.push_back(
            {team(0, between(1, maxTasksPerStep)), team(1, between(1, maxTasksPerStep))});
}

void ProtocolModel::submit(const std::string &job)
{
    m_awaited.erase(job);
    for (const auto &it : m_owners) {
        it->scheduler.addJob(m_jobs[job], {}, false, 0s, m_now);
        if (m_cancelled.contains(job))
            it->scheduler.cancelJob(job, m_now);
    }
}

void ProtocolModel::changeCeilings()
{
    auto teams = m_configurations.back();
    if (!faultsActive()) {
        // Each gang fits in the end.
        const std::vector<Team> last{team(0, lastCeiling), team(1, lastCeiling)};
        if (teams[0].ceiling == last[0].ceiling && teams[1].ceiling == last[1].ceiling)
            return;
        teams = last;
    } else if (chance(changeRate)) {
        const int changed = between(0, teamCount - 1);
        teams[static_cast<std::size_t>(changed)] = team(changed, between(1, maxTasksPerStep));
    } else {
        return;
    }
    m_configurations.push_back(std::move(teams));
    appendTrace("configuration " + std::to_string(m_configurations.size() - 1));
    for (const auto &owner : m_owners)
        deliver(owner, Milliseconds(between(0, maxTellMs)),
                [this, owner, newest = m_configurations.size() - 1] {
                    tellCeilings(owner, newest);
                });
}

void ProtocolModel::tellCeilings(const OwnerPtr &owner, std::size_t configuration)
{
    owner->configuration = std::max(owner->configuration, configuration);
    owner->scheduler.setTeams(m_configurations[owner->configuration]);
}

void ProtocolModel::addEndedJobs(Scheduler &scheduler)
{
    scheduler.setEndedJobs([this](std::string_view id) -> std::optional<SubmittedJob> {
        const auto it = m_jobs.find(std::string(id));
        return it == m_jobs.end() ? std::nullopt : std::optional(it->second);
    });
    for (const auto &[id, job] : m_jobs) {
        if (mayHaveUnknownRuns(m_saved[id], unixMs()))
            scheduler.addJob(job, m_saved[id], true, 0s, m_now);
    }
}

void ProtocolModel::checkCeiling(const StartTask &start)
{
    const auto &name = m_jobs.at(start.task.job).team;
    if (name.empty())
        return;
    Resources running;
    for (const auto &[id, worker] : m_workers) {
        for (const auto &[run, row] : worker.running) {
            if (m_jobs.at(run.first.job).team == name)
                running += stepOf(run.first).need;
        }
    }
    Resources highest;
    for (auto n = m_orderedBy[{start.task, start.run}]; n < m_configurations.size(); ++n) {
        for (const auto &it : m_configurations[n]) {
            if (it.name != name)
                continue;
            highest.milliCores = std::max(highest.milliCores, it.ceiling.milliCores);
            highest.memoryMb = std::max(highest.memoryMb, it.ceiling.memoryMb);
        }
    }
    const auto exceeds = [this](std::int64_t used, std::int64_t ceiling, std::int64_t task) {
        const auto tolerated = m_faults.strictCeilings
                                       ? static_cast<double>(ceiling)
                                       : static_cast<double>(ceiling) * (1 + toleratedOverage)
                                                 + static_cast<double>(task);
        return ceiling != 0 && static_cast<double>(used) > tolerated;
    };
    if (exceeds(running.milliCores, highest.milliCores, taskMilliCores)
        || exceeds(running.memoryMb, highest.memoryMb, 1))
        recordViolation("start of " + start.task.job + "." + start.task.position() + " brings team "
                        + name + " to " + std::to_string(running.milliCores) + " milli-cores and "
                        + std::to_string(running.memoryMb) + " MB, above its ceiling of "
                        + std::to_string(highest.milliCores) + " and "
                        + std::to_string(highest.memoryMb));
}

void ProtocolModel::checkCounts(const Owner &owner)
{
    if (!m_faults.teams)
        return;
    std::map<std::string, Resources> found;
    const auto add = [&](const TaskId &task) {
        const auto &name = m_jobs.at(task.job).team;
        if (!name.empty())
            found[name] += stepOf(task).need;
    };
    for (const auto &[id, worker] : owner.scheduler.workers()) {
        for (const auto &[task, run] : worker.runs)
            add(task);
        for (const auto &[task, run] : worker.unadoptedRuns)
            add(task);
        for (const auto &[run, other] : worker.otherRuns)
            add(run.first);
        for (const auto &it : worker.releasedRuns) {
            if (it.charge.account() != nullptr)
                add(it.task);
        }
    }
    for (const auto &[name, account] : owner.scheduler.teamUsage().accounts()) {
        if (account.running != found[name])
            recordViolation("owner " + std::to_string(owner.fence) + " counts "
                            + std::to_string(account.running.milliCores) + " milli-cores of team "
                            + name + ", a scan finds " + std::to_string(found[name].milliCores));
    }
}

} // namespace dragonflysill::test
