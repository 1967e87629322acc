#pragma once

#include "dragonflysill/base/time.h"

#include <deque>
#include <string>
#include <string_view>

namespace dragonflysill {

/**
 * Detects workers that answer normally but fail, stall or slow down their runs, from the outcomes
 * of these runs. The failure of a single job does not count against a worker, because the job
 * itself may be faulty. Failures of different jobs without a success in between do.
 */
class WorkerHealth
{
public:
    /** Records a completed run. */
    void succeeded(TimePoint now);

    /** Records a failed or stalled run of a job. */
    void failed(std::string_view job, TimePoint now);

    /** Removes the failures of a job that has failed itself. */
    void discardFailures(std::string_view job);

    /**
     * Records how slow a run is.
     * @param ratio its run time divided by that of an equal task on another worker
     */
    void observeSlowdown(double ratio, TimePoint now);

    /** Returns true if recent runs took several times as long as on other workers. */
    [[nodiscard]] bool slow(TimePoint now) const;

    /** Returns true if a run completed after @p since and none has failed after it. */
    [[nodiscard]] bool succeededSince(TimePoint since) const
    {
        return m_succeededAt > since && m_failures.empty();
    }

    /** Returns the time of the last completed run; the epoch for none. */
    [[nodiscard]] TimePoint succeededAt() const { return m_succeededAt; }

    /** Returns true if the worker must not get tasks at present. */
    [[nodiscard]] bool quarantined(TimePoint now) const { return now < m_quarantinedUntil; }

    /** Returns true if a run failed recently; further attempts should use other workers. */
    [[nodiscard]] bool suspect(TimePoint now) const;

private:
    struct Failure
    {
        std::string job;
        TimePoint at;
    };

    std::deque<Failure> m_failures; ///< Failures since the last success, at most one per job.
    TimePoint m_quarantinedUntil{};
    TimePoint m_succeededAt{};
    double m_slowdown = 1; ///< Smoothed ratio of run times to those on other workers.
    TimePoint m_slowdownAt{};
    int m_quarantines = 0;
};

} // namespace dragonflysill
