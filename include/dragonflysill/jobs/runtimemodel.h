#pragma once

#include "dragonflysill/jobs/job.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace dragonflysill {

/**
 * Predicts the run times of tasks. The declared estimate is the prior; it is corrected by the ratio
 * of observed to declared run time of the queue's completed runs.
 */
class RunTimeModel
{
public:
    /** Updates the model with the run time of a completed run. */
    void observe(std::string_view queue, const JobStep &step, Duration took);

    /** Returns the expected run time of a task. */
    [[nodiscard]] Duration expected(std::string_view queue, const JobStep &step) const;

    /**
     * Returns the expected run time of a job's longest chain of dependent steps.
     * @param done returns whether the step with this index has completed; if empty, none has
     */
    [[nodiscard]] Duration longestChain(const SubmittedJob &job,
                                        const std::function<bool(int)> &done = {}) const;

private:
    /** Sums of run times. A mean of the runs' ratios would be dominated by far too low estimates.
     */
    struct Totals
    {
        double declared = 0; ///< Seconds.
        double observed = 0; ///< Seconds.
    };

    std::map<std::string, Totals, std::less<>> m_totals; ///< By queue.
};

} // namespace dragonflysill
