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
struct TeamAccount;

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
 * the free capacity or wait for the ceiling of their team.
 */
class WaitingQueue
{
public:
    /** Scheduling classes, most urgent first. */
    enum class Tier {
        Persistent, ///< Persistent step; its users have no service until it runs again.
        InTime, ///< Its job can still meet its latency objective.
        Deferred, ///< The same, but not all such jobs can, and others lose more by a delay.
        Late, ///< Its job will miss its objective and uses the capacity that others leave.
        Excess, ///< Its job is beyond the rate of its team, whose other jobs and all others go
                ///< first.
        LateExcess,
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
     * @param skips called with a team's account and the minimum of milli-cores that each of some of
     * its steps needs, again after each visit; if it returns true, the rest of them is skipped
     */
    template <typename Skips, typename Visitor>
    void visit(TimePoint now, const std::int64_t &largest, Skips skips, Visitor visitor)
    {
        demoteLateJobs(now);
        std::vector<Position> positions;
        for (const auto &[group, steps] : m_groups)
            positions.push_back({group, steps.begin(), steps.end()});
        const auto later = [](const Position &a, const Position &b) {
            return b.next->first < a.next->first;
        };
        std::ranges::make_heap(positions, later);
        while (!positions.empty()) {
            std::ranges::pop_heap(positions, later);
            auto &first = positions.back();
            const auto least = first.group.size * milliCoresPerCore;
            if (least > largest
                || (first.group.team != nullptr && skips(*first.group.team, least))) {
                positions.pop_back();
                continue;
            }
            const auto &step = (first.next++)->second;
            if (first.next == first.end)
                positions.pop_back();
            else
                std::ranges::push_heap(positions, later);
            if (!visitor(step))
                return;
        }
    }

private:
    struct Key
    {
        Tier tier = Tier::InTime;
        int priority = 0;
        int teamPriority = 0;
        /** For late jobs and those beyond the rate, TeamAccount::useLevel of their team. */
        int useLevel = 0;
        bool noStepDone = true; ///< No step of the occurrence has completed.
        /** Latest start to meet the objective; for late jobs, the remaining work. */
        Duration rank{0};
        std::string_view job;
        int occurrence = 0;
        int step = 0;

        auto operator<=>(const Key &) const = default;
    };

    using Steps = std::map<Key, WaitingStep>;

    /** Steps that a visit can skip together. */
    struct Group
    {
        std::int64_t size = 0; ///< Whole cores that a task reserves.
        /** Account of the team if each task needs processor and memory, otherwise not set. */
        TeamAccount *team = nullptr;

        auto operator<=>(const Group &) const = default;
    };

    /** Place of a visit in the steps of one group. */
    struct Position
    {
        Group group;
        Steps::const_iterator next;
        Steps::const_iterator end;
    };

    /** What the queue holds for a job. */
    struct JobEntries
    {
        std::vector<std::pair<Group, Key>> keys;
        Duration remainingWork{0};
        std::optional<TimePoint> latestStart; ///< Not set if it is late or cannot become late.
    };

    void demoteLateJobs(TimePoint now);

    static constexpr std::int64_t milliCoresPerCore = 1000;

    std::map<Group, Steps> m_groups;
    std::unordered_map<JobRun *, JobEntries> m_jobs;
    std::set<std::pair<TimePoint, JobRun *>> m_latestStarts; ///< Of the jobs that are in time.
};

} // namespace dragonflysill
