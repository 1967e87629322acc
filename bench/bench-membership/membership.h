#pragma once

#include "dragonflysill/base/random.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace dragonflysill {

/** How members exchange heartbeats. */
enum class Scheme {
    Direct, ///< Each member sends its heartbeat to every other member.
    FlatGossip, ///< Each member sends its list to one randomly chosen member.
    MultiLevelGossip, ///< As FlatGossip, but mostly within the availability zone.
};

std::string_view toText(Scheme scheme);

/** The parameters of a simulated run. */
struct MembershipSetup
{
    Scheme scheme = Scheme::Direct;
    int members = 8;
    int zones = 4; ///< Availability zones; they alternate between two regions.
    double loss = 0; ///< Probability that a message is lost.
    double intervalMs = 333; ///< T_gossip of the paper, or the time between heartbeats.
    std::uint64_t seed = 1;
};

/**
 * Simulates failure detection among many members on a virtual clock. The gossip schemes follow van
 * Renesse, Minsky, Hayden, "A Gossip-Style Failure Detection Service" (1998): a member increments
 * its heartbeat counter every T_gossip, sends its list to one random member, and merges lists by
 * maximum. In the multi-level scheme a member gossips to another subnet (availability zone) with
 * probability 1/n and to another domain (region) with probability 1/(n*m), for n members in its
 * subnet and m subnets in its domain.
 */
class MembershipSimulation
{
public:
    explicit MembershipSimulation(const MembershipSetup &setup);

    /** Advances by a number of intervals. */
    void run(int intervals);

    /** Stops or restarts a member. */
    void setAlive(int member, bool alive) { m_alive[index(member)] = alive; }

    /** Returns the current time in ms. */
    [[nodiscard]] double nowMs() const { return m_nowMs; }

    /** Returns the time in ms at which an observer last received a higher counter of a member. */
    [[nodiscard]] double lastIncrease(int observer, int member) const
    {
        return m_lastIncrease[cell(observer, member)];
    }

    /** Returns the longest gap in ms between two counter increases at any observer. */
    [[nodiscard]] double longestGapMs() const { return m_longestGapMs; }

    /** Returns the number of gaps longer than @p intervals. */
    [[nodiscard]] std::int64_t gapsAbove(double intervals) const;

    /** Resets the gap statistics and the message counts. */
    void resetStatistics();

    /** Returns the number of messages sent since the last resetStatistics(). */
    [[nodiscard]] std::int64_t messages() const { return m_messages; }
    [[nodiscard]] std::int64_t messagesBetweenRegions() const { return m_messagesBetween; }

private:
    static std::size_t index(int member) { return static_cast<std::size_t>(member); }
    [[nodiscard]] std::size_t cell(int observer, int member) const
    {
        return index(observer) * index(m_setup.members) + index(member);
    }
    [[nodiscard]] int zoneOf(int member) const { return member % m_setup.zones; }
    [[nodiscard]] int regionOf(int member) const { return zoneOf(member) % 2; }
    void count(int from, int to);
    void sendHeartbeat(int member);
    void merge(int from, int to);
    void updateCounter(int observer, int member, std::uint32_t counter);
    int chooseTarget(int member);
    int chooseWhere(int member, bool sameZone, bool sameRegion);
    bool lost() { return m_random.unit() < m_setup.loss; }

    MembershipSetup m_setup;
    Random m_random;
    double m_nowMs = 0;
    double m_roundStartMs = 0;
    std::vector<double> m_phaseMs;
    std::vector<int> m_order;
    std::vector<bool> m_alive;
    std::vector<std::uint32_t> m_counters;
    std::vector<double> m_lastIncrease;
    std::vector<std::int64_t> m_gaps; ///< Histogram with buckets of a tenth of an interval.
    double m_longestGapMs = 0;
    std::int64_t m_messages = 0;
    std::int64_t m_messagesBetween = 0;
};

} // namespace dragonflysill
