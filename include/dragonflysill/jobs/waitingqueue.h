#pragma once

#include "dragonflysill/base/time.h"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dragonflysill {

class JobRun;

/** A step with waiting tasks. */
struct WaitingStep
{
    JobRun *job = nullptr;
    int occurrence = 0;
    int step = 0;
};

/**
 * The steps of a pool's jobs that have waiting tasks, in the order in which they are served. An
 * update takes time only for the steps of one job, and serving takes time only for the steps that
 * are visited: neither the number of other steps matters nor how many of them are too large for
 * the free capacity.
 */
class WaitingQueue
{
public:
    /** Scheduling classes, most urgent first. */
    enum class Tier {
        Persistent, ///< Persistent step; its users have no service until it runs again.
        InTime, ///< Its job can still meet its latency objective.
        Late, ///< Its job will miss its objective and uses the capacity that others leave.
    };

    /**
     * Replaces the entries of a job by its steps that have waiting tasks now.
     * @param remainingWork expected run time of the job's steps that have not completed
     */
    void update(JobRun &job, Duration remainingWork, TimePoint now);

    /** Removes the entries of a job. */
    void remove(JobRun &job);

    /**
     * Visits the steps in order until @p visitor returns false. The visitor must not change the
     * queue.
     * @param largest steps whose tasks reserve more milli-cores are skipped, up to the difference
     * of one core; the visitor may lower it
     */
    template <typename Visitor>
    void visit(TimePoint now, const std::int64_t &largest, Visitor visitor)
    {
        demoteLateJobs(now);
        std::vector<Position> positions;
        for (const auto &[size, steps] : m_stepsBySize)
            positions.push_back({size, steps.begin(), steps.end()});
        while (true) {
            std::erase_if(positions, [&largest](const Position &it) {
                return it.next == it.end || it.size * milliCoresPerCore > largest;
            });
            const auto first = std::ranges::min_element(
                    positions, {}, [](const Position &it) { return it.next->first; });
            if (first == positions.end() || !visitor((first->next++)->second))
                return;
        }
    }

private:
    struct Key
    {
        Tier tier = Tier::InTime;
        int priority = 0;
        bool noStepDone = true; ///< No step of the occurrence has completed.
        /** Latest start to meet the objective; for late jobs, the remaining work. */
        Duration rank{0};
        std::string_view job;
        int occurrence = 0;
        int step = 0;

        auto operator<=>(const Key &) const = default;
    };

    using Steps = std::map<Key, WaitingStep>;

    /** Place of a visit in the steps of one size. */
    struct Position
    {
        std::int64_t size = 0;
        Steps::const_iterator next;
        Steps::const_iterator end;
    };

    /** What the queue holds for a job. */
    struct JobEntries
    {
        std::vector<std::pair<std::int64_t, Key>> keys; ///< By size.
        Duration remainingWork{0};
        std::optional<TimePoint> latestStart; ///< Not set if it is late or cannot become late.
    };

    void demoteLateJobs(TimePoint now);

    static constexpr std::int64_t milliCoresPerCore = 1000;

    std::map<std::int64_t, Steps> m_stepsBySize; ///< By the whole cores that a task reserves.
    std::unordered_map<JobRun *, JobEntries> m_jobs;
    std::set<std::pair<TimePoint, JobRun *>> m_latestStarts; ///< Of the jobs that are in time.
};

} // namespace dragonflysill
