#pragma once

#include "dragonflysill/base/time.h"
#include "dragonflysill/jobs/teamusage.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string_view>

namespace dragonflysill {

/** How a job stands to the rate of jobs that its team is entitled to. */
enum class RateClass {
    Entitled, ///< Within the rate, or of no team.
    Tolerated, ///< Beyond the rate, within the excess that a window may hold.
    Excess, ///< Beyond both; served from the capacity that others leave.
};

constexpr std::size_t rateClassCount = 3;

/** Returns the name of a class in metrics, logs and explanations. */
std::string_view rateClassName(RateClass rateClass);

/** How the rate of a team's jobs is measured. */
struct TeamRateSettings
{
    Duration window{std::chrono::seconds(5)}; ///< Sliding span over which jobs are counted.
    int toleratedExcess = 20; ///< Jobs beyond the rate that a window may hold.
};

/**
 * Compares the jobs of each team with the rate that its weight entitles it to. Only jobs that are
 * within the rate use it up, so that a team that sends far too much keeps what it is entitled to.
 */
class TeamRates
{
public:
    explicit TeamRates(TeamRateSettings settings = {})
        : m_settings(settings)
    {
    }

    /**
     * Counts a job and returns its class.
     * @param team the account of its team; nullptr if it has none
     * @param accepted time of its acceptance; one before that of the team's last job counts as that
     * time, since the clocks of the nodes that accept jobs differ
     */
    RateClass add(const TeamAccount *team, TimePoint accepted);

    /** Returns the class that a job accepted at a time would have, without counting it. */
    [[nodiscard]] RateClass next(const TeamAccount *team, TimePoint accepted) const;

    /** Numbers of jobs by RateClass. */
    using Counts = std::array<std::uint64_t, rateClassCount>;

    /** Returns the jobs that were counted so far, by team. */
    [[nodiscard]] const std::map<const TeamAccount *, Counts> &counts() const { return m_counts; }

private:
    /** Acceptance times within the window. */
    struct Window
    {
        std::deque<TimePoint> entitled;
        std::deque<TimePoint> tolerated;
        TimePoint last{}; ///< Of all jobs.
    };

    TeamRateSettings m_settings;
    std::map<const TeamAccount *, Window> m_windows;
    std::map<const TeamAccount *, Counts> m_counts;
};

} // namespace dragonflysill
