#pragma once

#include <cstdint>
#include <string_view>

namespace dragonflysill {

/** How a change travels from the store to all members. */
enum class Distribution {
    WatchPerMember, ///< Each member watches the store.
    RelayPerZone, ///< One member of each availability zone watches and passes changes on.
    Gossip, ///< One member watches; changes travel with the gossip.
};

std::string_view toText(Distribution distribution);

/** The parameters of simulated changes. */
struct DistributionSetup
{
    Distribution distribution = Distribution::RelayPerZone;
    int members = 8;
    int zones = 4;
    double loss = 0; ///< Probability that a segment is lost and sent again.
    double gossipMs = 333; ///< Time between two messages of a member with gossip.
    std::uint64_t seed = 1;
};

/** The result of simulated changes. */
struct DistributionResult
{
    double medianMs = 0; ///< Time until a change is in effect everywhere.
    double p99Ms = 0;
    int watches = 0;
    double meanBytes = 0; ///< Bytes sent and received per member and change.
    double largestBytes = 0; ///< The same for the member with the most.
};

/** Simulates a number of changes. */
DistributionResult simulateChanges(const DistributionSetup &setup, int changes);

} // namespace dragonflysill
