#pragma once

#include "dragonflysill/jobs/job.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace dragonflysill {

/**
 * Learns how long tasks take against what their jobs declare. The declared estimate is the prior;
 * the ratio of observed to declared time is learnt for each queue.
 */
class RunTimeModel
{
public:
    /** Notes a completed run. */
    void observe(std::string_view queue, const JobStep &step, Duration took);

    /** Returns the expected run time of a task. */
    [[nodiscard]] Duration expected(std::string_view queue, const JobStep &step) const;

    /**
     * Returns the longest chain of expected work of a job.
     * @param done tells which steps, by number, need no more time; none if it is empty
     */
    [[nodiscard]] Duration longestChain(const SubmittedJob &job,
                                        const std::function<bool(int)> &done = {}) const;

private:
    /** Sums, because the mean of the single ratios is dominated by far too low declarations. */
    struct Totals
    {
        double declared = 0; ///< Seconds.
        double observed = 0; ///< Seconds.
    };

    std::map<std::string, Totals, std::less<>> m_totals; ///< By queue.
};

} // namespace dragonflysill
