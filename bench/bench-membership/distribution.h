#pragma once

#include <cstdint>
#include <string_view>

namespace dragonflysill {

/** How a change is distributed from the store to all members. */
enum class Distribution {
    WatchPerMember, ///< Each member watches the store.
    RelayPerZone, ///< One member of each availability zone watches and forwards changes.
    Gossip, ///< One member watches; changes are distributed by gossip.
};

std::string_view toText(Distribution distribution);

/** The parameters of simulated changes. */
struct DistributionSetup
{
    Distribution distribution = Distribution::RelayPerZone;
    int members = 8;
    int zones = 4;
    double loss = 0; ///< Probability that a segment is lost and retransmitted.
    double gossipMs = 333; ///< Interval between the gossip messages of a member.
    std::uint64_t seed = 1;
};

/** The result of simulated changes. */
struct DistributionResult
{
    double medianMs = 0; ///< Time until a change is in effect everywhere.
    double p99Ms = 0;
    int watches = 0;
    double meanBytes = 0; ///< Bytes sent and received per member and change.
    double largestBytes = 0; ///< Bytes per change of the member with the most traffic.
};

/** Simulates the distribution of @p changes changes. */
DistributionResult simulateChanges(const DistributionSetup &setup, int changes);

} // namespace dragonflysill
