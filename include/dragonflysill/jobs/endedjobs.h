#pragma once

#include "dragonflysill/base/time.h"

#include <cstddef>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dragonflysill {

/**
 * Ended jobs, which are removed from the store when callers may no longer ask for them. Batches
 * follow each other closely while more jobs are due than one batch holds, so that removals keep up
 * with any rate of arrivals.
 */
class EndedJobs
{
public:
    /** @param retention time for which an ended job is kept */
    explicit EndedJobs(Duration retention)
        : m_retention(retention)
    {
    }

    /** Adds a job that has ended; ignores a known one. */
    void add(const std::string &id, TimePoint now);

    /**
     * Returns the jobs to be removed now, those that ended first in front. Empty if none is due,
     * the last batch is not settled or was taken a moment ago.
     */
    std::vector<std::string> takeBatch(std::size_t limit, TimePoint now);

    /** Ends the last batch. Its jobs are due again unless they are removed or forgotten. */
    void settleBatch() { m_inFlight = false; }

    /** Forgets a job that was removed or has not ended after all. */
    void forget(const std::string &id);

    [[nodiscard]] std::size_t size() const { return m_endedAt.size(); }

private:
    Duration m_retention;
    std::unordered_map<std::string, TimePoint> m_endedAt;
    std::set<std::pair<TimePoint, const std::string *>> m_order; ///< Keys of m_endedAt by time.
    TimePoint m_takenAt{};
    bool m_inFlight = false;
};

} // namespace dragonflysill
