#include "cluster.h"

#include <algorithm>
#include <cmath>

namespace dragonflysill {

namespace {

constexpr std::size_t workerCount = 200;
constexpr std::size_t rackSize = 4;
constexpr Resources capacity{64'000, 262'144, 0};
/** About twice the work that the workers can complete, so that the policies' results differ. */
constexpr std::size_t jobCount = 6000;
constexpr std::int64_t submitWindowMs = 3LL * 3'600'000;

/** Returns a factor between 1/10 and 10, uniform on a logarithmic scale. */
double randomErrorFactor(Random &random)
{
    return std::pow(10.0, 2 * random.unit() - 1);
}

Priority randomPriority(Random &random)
{
    const auto n = random.below(10);
    if (n == 0)
        return Priority::Urgent;
    return n < 6 ? Priority::Normal : Priority::Batch;
}

SimulatedJob makeJob(Random &random, std::size_t number)
{
    SimulatedJob job;
    job.declared.name = "job-" + std::to_string(number);
    job.declared.team = "team-" + std::to_string(random.below(10));
    job.declared.tasks = static_cast<int>(1 + random.below(40));
    job.declared.priority = randomPriority(random);
    job.declared.checkpointable = random.below(2) == 0;
    job.needs = {static_cast<std::int64_t>(500 + random.below(7500)),
                 static_cast<std::int64_t>(1024 + random.below(31'000)), 0};
    job.runMs = static_cast<std::int64_t>(random.exponential(600'000)) + 10'000;
    job.submitMs = static_cast<std::int64_t>(random.below(submitWindowMs));
    // A job that declares more than a worker's capacity is refused at once. Only jobs that can
    // never run may do so, because they are counted separately.
    const double cores = static_cast<double>(job.needs.milliCores) * randomErrorFactor(random);
    job.declared.cores = std::min(cores, static_cast<double>(capacity.milliCores)) / 1000;
    const double memory = static_cast<double>(job.needs.memoryMb) * randomErrorFactor(random);
    job.declared.memoryMb = std::min(static_cast<std::int64_t>(memory), capacity.memoryMb);
    job.declared.expectedRun = std::chrono::seconds(static_cast<std::int64_t>(
            static_cast<double>(job.runMs) * randomErrorFactor(random) / 1000));
    if (random.below(20) == 0) {
        job.possible = false;
        job.needs.milliCores = 2 * capacity.milliCores;
        job.declared.cores = 2 * static_cast<double>(capacity.milliCores) / 1000;
    }
    return job;
}

void chooseCancelled(Workload &workload, Random &random)
{
    int all = 0;
    for (const auto &it : workload.jobs)
        all += it.declared.tasks;
    int chosen = 0;
    std::vector<std::size_t> order(workload.jobs.size());
    for (std::size_t n = 0; n < order.size(); ++n)
        order[n] = n;
    while (chosen * 10 < all * 3) {
        const auto n = random.below(order.size());
        chosen += workload.jobs[order[n]].declared.tasks;
        workload.cancelled.push_back(order[n]);
        order[n] = order.back();
        order.pop_back();
    }
}

} // namespace

Workload makeWorkload(std::uint64_t seed)
{
    Random random(seed);
    Workload workload;
    for (std::size_t n = 0; n < workerCount; ++n) {
        const auto rack = n / rackSize;
        workload.workers.push_back({"worker-" + std::to_string(n), "pool",
                                    "zone-" + std::to_string(rack % 3),
                                    "rack-" + std::to_string(rack), capacity});
        workload.bad.push_back(random.below(25) == 0);
    }
    for (std::size_t n = 0; n < jobCount; ++n)
        workload.jobs.push_back(makeJob(random, n));
    chooseCancelled(workload, random);
    workload.cancelMs = submitWindowMs / 2;
    return workload;
}

} // namespace dragonflysill
