#pragma once

#include "dragonflysill/base/time.h"

#include <deque>
#include <string>
#include <string_view>

namespace dragonflysill {

/**
 * Judges a worker by how its runs end, for workers that look healthy and fail or stall what they
 * run. A run that fails on one worker is no evidence by itself: the job may be at fault. Failures
 * of different jobs without a success in between are.
 */
class WorkerHealth
{
public:
    /** Notes a run that completed. */
    void succeeded(TimePoint now);

    /** Notes a failed or stalled run of a job. */
    void failed(std::string_view job, TimePoint now);

    /** Takes back the failures of a job that turned out to be at fault itself. */
    void exonerate(std::string_view job);

    /**
     * Notes how fast a run is.
     * @param ratio its run time by that of an equal task on another worker
     */
    void observePace(double ratio, TimePoint now);

    /** Returns true if recent runs were several times slower than elsewhere. */
    [[nodiscard]] bool slow(TimePoint now) const;

    /** Returns true if a run completed here after @p since and none has failed after it. */
    [[nodiscard]] bool succeededSince(TimePoint since) const
    {
        return m_succeededAt > since && m_failures.empty();
    }

    /** Returns true if the worker should get no work for now. */
    [[nodiscard]] bool quarantined(TimePoint now) const { return now < m_quarantinedUntil; }

    /** Returns true if a run failed here recently: second attempts should go elsewhere. */
    [[nodiscard]] bool suspect(TimePoint now) const;

private:
    struct Failure
    {
        std::string job;
        TimePoint at;
    };

    std::deque<Failure> m_failures; ///< Since the last success, at most one for each job.
    TimePoint m_quarantinedUntil{};
    TimePoint m_succeededAt{};
    double m_pace = 1; ///< Smoothed ratio of run times to those elsewhere.
    TimePoint m_paceAt{};
    int m_quarantines = 0;
};

} // namespace dragonflysill
