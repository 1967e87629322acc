#include "arrivals.h"

#include "dragonflysill/jobs/teamrates.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace dragonflysill::daymodel::internal {

/** Share of jobs that always fail, with DayPattern::FailingJobs. */
constexpr double failingJobShare = 0.05;
/** Declared run time relative to the actual one, with DayPattern::LowEstimates. */
constexpr double lowEstimateFactor = 0.33;
/** Arrival rate during the burst relative to the normal one, with DayPattern::LargeBurst. */
constexpr double burstFactor = 2.5;

/** Number of teams; their parts of the load fall like 1, 1/2, 1/3 and so on. */
constexpr int teamCount = 10;
/** The team that sends more in the fault period; it has a tenth of the usual load. */
constexpr int hotTeam = 2;
/** Weight of a team against its mean rate, so that the busy periods of the queues fit. */
constexpr double weightFactor = 1.9;

/** Returns by what the load of the hot team is multiplied; 0 if callers have no teams. */
double hotFactor(DayPattern pattern)
{
    return pattern == DayPattern::HotTeam5 ? 5 : pattern == DayPattern::HotTeam7 ? 7 : 0;
}

/** Returns the part of the usual load that a team has. */
double teamPart(int team)
{
    double sum = 0;
    for (int n = 1; n <= teamCount; ++n)
        sum += 1.0 / n;
    return 1.0 / (team + 1) / sum;
}

std::vector<Team> teamsOf(const DayShape &shape, DayPattern pattern)
{
    std::vector<Team> teams;
    if (hotFactor(pattern) == 0)
        return teams;
    double rate = 0;
    for (const auto &it : shape.pools)
        rate += it.jobs.arrivalsPerSecond;
    for (int n = 0; n < teamCount; ++n) {
        auto &team = teams.emplace_back();
        team.name = "team-" + std::to_string(n);
        team.weight = weightFactor * rate * teamPart(n);
    }
    return teams;
}

/** Draws the team of a job. */
int drawTeam(double hotTeamFactor, Random &random)
{
    double sum = 0;
    for (int n = 0; n < teamCount; ++n)
        sum += teamPart(n) * (n == hotTeam ? hotTeamFactor : 1);
    double left = sum * random.unit();
    int team = 0;
    while (team < teamCount - 1) {
        left -= teamPart(team) * (team == hotTeam ? hotTeamFactor : 1);
        if (left < 0)
            break;
        ++team;
    }
    return team;
}

/** Marks the jobs that are beyond the rates of their teams. */
void markOwed(std::vector<Arrival> &arrivals, const std::vector<Team> &teams)
{
    TeamUsage usage;
    usage.setTeams(teams);
    TeamRates rates;
    for (auto &it : arrivals)
        it.owed = rates.add(usage.account(it.job.team), TimePoint(it.at)) != RateClass::Excess;
}

std::vector<Arrival> drawArrivals(const DayShape &shape, DayPattern pattern, Random &random)
{
    std::vector<Arrival> arrivals;
    const auto pools = static_cast<int>(shape.pools.size());
    const double busyRateFactor = 1 + (pools - 1) * (1 - shape.quietRateFactor);
    for (int p = 0; p < pools; ++p) {
        const auto &pool = shape.pools[static_cast<std::size_t>(p)];
        for (Duration at{0}; at < shape.length; at += tick) {
            double rate = pool.jobs.arrivalsPerSecond
                          * ((at / shape.busyPeriod) % pools == p ? busyRateFactor
                                                                  : shape.quietRateFactor);
            const bool inFaultPeriod = at >= faultStart && at < faultStart + faultDuration;
            if (pattern == DayPattern::LargeBurst && inFaultPeriod && p == 1)
                rate = std::max(rate, pool.jobs.arrivalsPerSecond) * burstFactor;
            const double hot = hotFactor(pattern) == 0 ? 0 : inFaultPeriod ? hotFactor(pattern) : 1;
            if (hot > 1)
                rate *= 1 + teamPart(hotTeam) * (hot - 1);
            if (random.unit() >= rate * toSeconds(tick))
                continue;
            Arrival it;
            it.at = at;
            it.job.id = pool.name + '-' + std::to_string(arrivals.size());
            it.job.queue = pool.jobs.name;
            it.job.pool = pool.name;
            it.job.policy = {3, 0, slackFactor, targetRuntime};
            if (hot > 0)
                it.job.team = "team-" + std::to_string(drawTeam(hot, random));
            it.alwaysFails = pattern == DayPattern::FailingJobs && random.unit() < failingJobShare;
            const int steps = random.unit() < pool.jobs.meanSteps - 1 ? 2 : 1;
            const auto randomFactor
                    = [&random](double part) { return 1 + part * (2 * random.unit() - 1); };
            for (int n = 0; n < steps; ++n) {
                JobStep step;
                step.count
                        = std::max(1, static_cast<int>(std::lround(pool.jobs.tasksPerStep
                                                                   * randomFactor(shape.spread))));
                step.need = {pool.jobs.milliCores, 0, 0};
                if (n > 0)
                    step.after = {n - 1};
                auto &times = it.runTimes.emplace_back();
                Duration longest{0};
                const double size = randomFactor(shape.spread);
                for (int k = 0; k < step.count; ++k) {
                    const auto time = scaled(pool.jobs.runTime, size * randomFactor(0.1));
                    times.push_back(time);
                    longest = std::max(longest, time);
                    it.coreSeconds
                            += toSeconds(time) * static_cast<double>(pool.jobs.milliCores) / 1000;
                }
                const double bias = pattern == DayPattern::LowEstimates ? lowEstimateFactor : 1;
                step.estimate = std::chrono::duration_cast<Milliseconds>(
                        longest * (bias * randomFactor(shape.estimateError)));
                it.criticalPath += longest;
                it.job.spec.steps.push_back(std::move(step));
            }
            arrivals.push_back(std::move(it));
        }
    }
    std::ranges::stable_sort(arrivals, {}, &Arrival::at);
    markOwed(arrivals, teamsOf(shape, pattern));
    return arrivals;
}

} // namespace dragonflysill::daymodel::internal
