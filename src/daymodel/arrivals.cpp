#include "arrivals.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace dragonflysill::daymodel::internal {

/** Share of the jobs that are hopeless, part of their run time that jobs declare, and the multiple
 * of a burst, on days with that pattern. */
constexpr double hopelessShare = 0.05;
constexpr double lowEstimate = 0.33;
constexpr double burstFactor = 2.5;

std::vector<Arrival> drawArrivals(const DayShape &shape, DayPattern pattern, Random &random)
{
    std::vector<Arrival> arrivals;
    const auto pools = static_cast<int>(shape.pools.size());
    const double peak = 1 + (pools - 1) * (1 - shape.between);
    for (int p = 0; p < pools; ++p) {
        const auto &pool = shape.pools[static_cast<std::size_t>(p)];
        for (Duration at{0}; at < shape.length; at += tick) {
            double rate
                    = pool.jobs.perSecond * ((at / shape.turn) % pools == p ? peak : shape.between);
            const bool troubled = at >= troubleBegin && at < troubleBegin + troubleLength;
            if (pattern == DayPattern::LargeBurst && troubled && p == 1)
                rate = std::max(rate, pool.jobs.perSecond) * burstFactor;
            if (random.unit() >= rate * toSeconds(tick))
                continue;
            Arrival it;
            it.at = at;
            it.job.id = pool.name + '-' + std::to_string(arrivals.size());
            it.job.queue = pool.jobs.name;
            it.job.pool = pool.name;
            it.job.policy = {3, 0, slackFactor, targetRuntime};
            it.hopeless = pattern == DayPattern::HopelessJobs && random.unit() < hopelessShare;
            const int steps = random.unit() < pool.jobs.steps - 1 ? 2 : 1;
            const auto around
                    = [&random](double part) { return 1 + part * (2 * random.unit() - 1); };
            for (int n = 0; n < steps; ++n) {
                JobStep step;
                step.count = std::max(
                        1, static_cast<int>(std::lround(pool.jobs.tasks * around(shape.spread))));
                step.need = {pool.jobs.milliCores, 0, 0};
                if (n > 0)
                    step.after = {n - 1};
                auto &times = it.runTimes.emplace_back();
                Duration longest{0};
                const double size = around(shape.spread);
                for (int k = 0; k < step.count; ++k) {
                    const auto time = scaled(pool.jobs.runTime, size * around(0.1));
                    times.push_back(time);
                    longest = std::max(longest, time);
                    it.work += toSeconds(time) * static_cast<double>(pool.jobs.milliCores) / 1000;
                }
                const double bias = pattern == DayPattern::LowEstimates ? lowEstimate : 1;
                step.estimate = std::chrono::duration_cast<Milliseconds>(
                        longest * (bias * around(shape.estimateError)));
                it.chain += longest;
                it.job.spec.steps.push_back(std::move(step));
            }
            arrivals.push_back(std::move(it));
        }
    }
    std::ranges::stable_sort(arrivals, {}, &Arrival::at);
    return arrivals;
}

} // namespace dragonflysill::daymodel::internal
