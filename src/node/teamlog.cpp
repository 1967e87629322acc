#include "dragonflysill/node/teamlog.h"

#include "dragonflysill/telemetry/log.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace dragonflysill {

namespace internal {

/** Maximum number of teams in a line of the log. */
constexpr std::size_t maxLoggedTeams = 24;

/** Returns the used part of a team's ceiling, by the resource of which most is used. */
double usedPart(const TeamAccount &team)
{
    const auto part = [](std::int64_t used, std::int64_t ceiling) {
        return ceiling == 0 ? 0 : static_cast<double>(used) / static_cast<double>(ceiling);
    };
    const auto used = team.used();
    return std::max({part(used.milliCores, team.ceiling.milliCores),
                     part(used.memoryMb, team.ceiling.memoryMb),
                     part(used.accelerators, team.ceiling.accelerators)});
}

std::string describe(const Resources &amount)
{
    return std::to_string(amount.milliCores) + " milli-cores, " + std::to_string(amount.memoryMb)
           + " MB, " + std::to_string(amount.accelerators) + " accelerators";
}

} // namespace internal

void logTeamUse(const TeamUsage &teams)
{
    std::vector<std::pair<double, const TeamAccount *>> limited;
    for (const auto &[name, it] : teams.accounts()) {
        if (it.ceiling != Resources{} && it.used() != Resources{})
            limited.emplace_back(-internal::usedPart(it), &it);
    }
    if (limited.empty())
        return;
    const auto count = std::min(limited.size(), internal::maxLoggedTeams);
    const auto last = limited.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(limited.begin(), last, limited.end());
    std::string text;
    for (auto it = limited.begin(); it != last; ++it) {
        const auto &[part, team] = *it;
        text += (text.empty() ? "" : " ") + team->name + "="
                + std::to_string(team->running.milliCores / 1000) + "/"
                + std::to_string(team->inherited.milliCores / 1000) + "/"
                + std::to_string(team->ceiling.milliCores / 1000) + "/"
                + std::to_string(static_cast<int>(-100 * part)) + "%";
    }
    logInfo("team-use", {{"running/unconfirmed/ceiling-cores/used", text},
                         {"teams", std::to_string(limited.size())}});
}

void logTeamRates(const TeamRates &rates)
{
    std::string text;
    std::size_t teams = 0;
    for (const auto &[team, counts] : rates.counts()) {
        const auto count = [&counts = counts](RateClass it) {
            return std::to_string(counts.at(static_cast<std::size_t>(it)));
        };
        if (counts.at(static_cast<std::size_t>(RateClass::Excess)) == 0
            || ++teams > internal::maxLoggedTeams)
            continue;
        text += (text.empty() ? "" : " ") + team->name + "=" + count(RateClass::Entitled) + "/"
                + count(RateClass::Tolerated) + "/" + count(RateClass::Excess);
    }
    if (teams > 0)
        logInfo("team-rates",
                {{"entitled/tolerated/excess-jobs", text}, {"teams", std::to_string(teams)}});
}

void logCeilingExcesses(std::span<const CeilingExcess> excesses)
{
    for (const auto &it : excesses)
        logWarning("team-ceiling-exceeded", {{"job", it.job},
                                             {"step", std::to_string(it.step)},
                                             {"team", it.team},
                                             {"need", internal::describe(it.need)},
                                             {"ceiling", internal::describe(it.ceiling)}});
}

std::string ceilingReason(const Scheduler &scheduler, const JobRun &job)
{
    bool awaitsTeam = false;
    for (const auto &[occurrence, run] : job.occurrences()) {
        for (std::size_t n = 0; n < run.steps.size(); ++n) {
            if (run.steps[n].waiting == 0)
                continue;
            const auto obstacle = scheduler.teamObstacle(job, job.job().spec.steps[n]);
            if (obstacle == StartObstacle::ExceedsTeamCeiling)
                return "step " + std::to_string(n) + " needs more than the ceiling of team "
                       + job.team->name + " (" + internal::describe(job.team->ceiling)
                       + "); raise it or submit smaller tasks";
            awaitsTeam = awaitsTeam || obstacle.has_value();
        }
    }
    return awaitsTeam ? "tasks wait until team " + job.team->name
                                + " has less running: its ceiling is "
                                + internal::describe(job.team->ceiling) + ", of which "
                                + internal::describe(job.team->used()) + " may be in use"
                      : std::string();
}

} // namespace dragonflysill
