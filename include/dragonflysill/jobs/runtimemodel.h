#pragma once

#include "dragonflysill/jobs/job.h"

#include <map>
#include <string>
#include <string_view>

namespace dragonflysill {

/**
 * Learns how long tasks take against what their jobs declare. The declared estimate is the prior;
 * the ratio of observed to declared time is averaged for each queue.
 */
class RunTimeModel
{
public:
    /** Notes a completed run. */
    void observe(std::string_view queue, const JobStep &step, Duration took);

    /** Returns the expected run time of a task. */
    [[nodiscard]] Duration expected(std::string_view queue, const JobStep &step) const;

    /** Returns the longest chain of expected work of a job. */
    [[nodiscard]] Duration longestChain(const SubmittedJob &job) const;

private:
    struct Ratio
    {
        double mean = 1;
        double weight = 0;
    };

    std::map<std::string, Ratio, std::less<>> m_ratios;
};

} // namespace dragonflysill
