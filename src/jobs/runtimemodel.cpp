#include "dragonflysill/jobs/runtimemodel.h"

#include <algorithm>
#include <vector>

namespace dragonflysill {

namespace internal {

/** Observations that the declared estimate counts for. */
constexpr double PRIOR_WEIGHT = 4;
/** Observations after which older ones fade. */
constexpr double MEMORY = 64;
/** Shortest run time that is assumed, against division by zero and declared zeros. */
constexpr Duration SHORTEST_RUN = std::chrono::milliseconds(20);

Duration declared(const JobStep &step)
{
    return std::max<Duration>(step.estimate, SHORTEST_RUN);
}

} // namespace internal

void RunTimeModel::observe(std::string_view queue, const JobStep &step, Duration took)
{
    auto it = m_ratios.find(queue);
    if (it == m_ratios.end())
        it = m_ratios.emplace(std::string(queue), Ratio{1, internal::PRIOR_WEIGHT}).first;
    auto &ratio = it->second;
    const double observed = static_cast<double>(took.count())
                            / static_cast<double>(internal::declared(step).count());
    ratio.weight = std::min(ratio.weight + 1, internal::MEMORY);
    ratio.mean += (std::min(observed, 10.0) - ratio.mean) / ratio.weight;
}

Duration RunTimeModel::expected(std::string_view queue, const JobStep &step) const
{
    const auto it = m_ratios.find(queue);
    const double ratio = it == m_ratios.end() ? 1 : it->second.mean;
    return Duration(static_cast<Duration::rep>(static_cast<double>(internal::declared(step).count())
                                               * ratio));
}

Duration RunTimeModel::longestChain(const SubmittedJob &job) const
{
    std::vector<Duration> finish;
    Duration longest{0};
    for (const auto &step : job.spec.steps) {
        Duration start{0};
        for (const int n : step.after) {
            if (n >= 0 && static_cast<std::size_t>(n) < finish.size())
                start = std::max(start, finish[static_cast<std::size_t>(n)]);
        }
        finish.push_back(start + expected(job.queue, step));
        longest = std::max(longest, finish.back());
    }
    return longest;
}

} // namespace dragonflysill
