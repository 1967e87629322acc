#include "dragonflysill/jobs/overloadplan.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <numeric>
#include <queue>
#include <tuple>

namespace dragonflysill {

namespace internal {

/** Value that each job has besides that of its work, from the users' contract. */
constexpr double valueOfAnyJob = 0.3;
/** Maximum value of a job, from the users' contract. */
constexpr double maxJobValue = 4;
/** Work below which jobs are ordered as if they had this much; avoids division by zero. */
constexpr double minPlannedWork = 0.001;

/** Even a job that must start at once gets the cores that become free in this time. */
constexpr Duration minStartTime = std::chrono::milliseconds(100);
/** Number of deferred jobs for which room is looked for again, those of most value first. */
constexpr std::size_t maxReconsidered = 64;

/** Returns the factor by which the value of each team's jobs counts, at most 1. */
std::map<const TeamAccount *, double> shareFactors(std::span<const PlannedJob> jobs)
{
    struct Planned
    {
        double work = 0;
        double weight = 0;
    };
    std::map<const TeamAccount *, Planned> teams;
    double work = 0;
    for (const auto &it : jobs) {
        auto &team = teams[it.team];
        team.work += it.work;
        team.weight = it.team == nullptr ? 1 : it.team->weight;
        work += it.work;
    }
    double weights = 0;
    for (const auto &[id, it] : teams)
        weights += it.weight;
    std::map<const TeamAccount *, double> factors;
    for (const auto &[id, it] : teams) {
        const double fair = weights > 0 ? work * it.weight / weights : work;
        factors[id] = it.work > fair ? fair / it.work : 1;
    }
    return factors;
}

} // namespace internal

std::vector<std::size_t> jobsToDefer(std::span<const PlannedJob> jobs, double cores, TimePoint now)
{
    std::vector<std::size_t> order(jobs.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::ranges::stable_sort(order, {}, [jobs](std::size_t n) { return jobs[n].latestStart; });
    const auto startable = [cores, now](const PlannedJob &job) {
        return cores * toSeconds(std::max(job.latestStart - now, internal::minStartTime));
    };
    const auto factors = internal::shareFactors(jobs);
    // The greatest rank is deferred first; its last element is a position in the order.
    using Rank = std::tuple<RateClass, int, double, std::size_t>;
    std::priority_queue<Rank> planned;
    std::vector<Rank> deferred;
    double work = 0;
    for (std::size_t n = 0; n < order.size(); ++n) {
        const auto &job = jobs[order[n]];
        const double density
                = job.value * factors.at(job.team) / std::max(job.work, internal::minPlannedWork);
        planned.emplace(job.rateClass, job.priority, -density, n);
        work += job.work;
        const double available = startable(job);
        while (work > available && !planned.empty()) {
            deferred.push_back(planned.top());
            work -= jobs[order[std::get<std::size_t>(planned.top())]].work;
            planned.pop();
        }
    }
    if (deferred.empty())
        return {};
    std::vector<bool> isDeferred(order.size());
    for (const auto &it : deferred)
        isDeferred[std::get<std::size_t>(it)] = true;
    // A large job that was deferred later may have left room for others.
    std::vector<double> room;
    work = 0;
    for (std::size_t n = 0; n < order.size(); ++n) {
        work += isDeferred[n] ? 0 : jobs[order[n]].work;
        room.push_back(startable(jobs[order[n]]) - work);
    }
    std::ranges::sort(deferred);
    deferred.resize(std::min(deferred.size(), internal::maxReconsidered));
    for (const auto &it : deferred) {
        const auto position = std::get<std::size_t>(it);
        const std::span affected = std::span(room).subspan(position);
        const double needed = jobs[order[position]].work;
        if (std::ranges::any_of(affected, [needed](double left) { return left < needed; }))
            continue;
        for (auto &left : affected)
            left -= needed;
        isDeferred[position] = false;
    }
    std::vector<std::size_t> result;
    for (std::size_t n = 0; n < order.size(); ++n) {
        if (isDeferred[n])
            result.push_back(order[n]);
    }
    std::ranges::sort(result);
    return result;
}

double jobValue(double work, double meanWork)
{
    const double part = meanWork > 0 ? work / meanWork : 1;
    return std::min(internal::maxJobValue,
                    internal::valueOfAnyJob + (1 - internal::valueOfAnyJob) * part);
}

} // namespace dragonflysill
