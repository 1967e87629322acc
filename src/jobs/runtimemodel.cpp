#include "dragonflysill/jobs/runtimemodel.h"

#include <algorithm>
#include <vector>

namespace dragonflysill {

namespace internal {

/** Time constant of the decay of older observations, in number of runs. */
constexpr double decayWindow = 64;
/** Weight of the declared estimates, as seconds of run time observed in advance at ratio 1. */
constexpr double priorSeconds = 4;
/** Minimum declared run time; avoids division by zero if the estimate is 0. */
constexpr Duration minRunTime = std::chrono::milliseconds(20);

Duration declared(const JobStep &step)
{
    return std::max<Duration>(step.estimate, minRunTime);
}

} // namespace internal

void RunTimeModel::observe(std::string_view queue, const JobStep &step, Duration took)
{
    auto it = m_totals.find(queue);
    if (it == m_totals.end())
        it = m_totals.emplace(std::string(queue), Totals{}).first;
    auto &totals = it->second;
    const double decay = 1 - 1 / internal::decayWindow;
    totals.declared = totals.declared * decay + toSeconds(internal::declared(step));
    totals.observed = totals.observed * decay + toSeconds(took);
}

Duration RunTimeModel::expected(std::string_view queue, const JobStep &step) const
{
    const auto it = m_totals.find(queue);
    const Totals totals = it == m_totals.end() ? Totals{} : it->second;
    const double ratio = (totals.observed + internal::priorSeconds)
                         / (totals.declared + internal::priorSeconds);
    return scaled(internal::declared(step), ratio);
}

Duration RunTimeModel::longestChain(const SubmittedJob &job,
                                    const std::function<bool(int)> &done) const
{
    const auto &steps = job.spec.steps;
    std::vector<Duration> finish(steps.size(), Duration{0});
    Duration longest{0};
    for (std::size_t n = 0; n < steps.size(); ++n) {
        if (done && done(static_cast<int>(n)))
            continue;
        Duration start{0};
        for (const int before : steps[n].after) {
            if (before >= 0 && static_cast<std::size_t>(before) < n)
                start = std::max(start, finish[static_cast<std::size_t>(before)]);
        }
        finish[n] = std::min(start + expected(job.queue, steps[n]), maxScaled);
        longest = std::max(longest, finish[n]);
    }
    return longest;
}

} // namespace dragonflysill
