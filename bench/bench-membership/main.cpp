#include "distribution.h"
#include "membership.h"

#include "dragonflysill/telemetry/benchreport.h"
#include "dragonflysill/wire/codec.h"

#include <algorithm>
#include <array>
#include <string>

namespace dragonflysill {
namespace {

constexpr std::uint64_t seed = 7;
constexpr std::array<int, 4> sizes{8, 32, 128, 512};
constexpr std::array<int, 3> lossesPercent{0, 5, 10};
constexpr std::array<Scheme, 3> schemes{Scheme::Direct, Scheme::FlatGossip,
                                        Scheme::MultiLevelGossip};
constexpr std::array<Distribution, 3> distributions{
        Distribution::WatchPerMember, Distribution::RelayPerZone, Distribution::Gossip};
/** The control process's settings: three heartbeats a second; failed after 1.2 s without one. */
constexpr double productIntervalMs = 333;
constexpr double productFailIntervals = 3.6;
/**
 * Bytes per second that a node may send for membership: half of the node's 13 KB/s for both
 * directions. A scheme that needs more sends less often, so that all schemes are compared at equal
 * bandwidth, as in the paper.
 */
constexpr double budgetBytesPerSecond = 6.5 * 1024;
constexpr double frameHeaderBytes = 4;
constexpr double msPerSecond = 1000;
constexpr double msPerHour = 3600 * msPerSecond;
constexpr int warmUpIntervals = 40;
/** Entries of a packed gossip list: a member number of 4 bytes and a counter of 8 bytes. */
constexpr int packedEntryBytes = 12;
constexpr double changesPerSecond = 36000.0 / 86400;
constexpr int simulatedChanges = 2000;

/** Length of a simulation; an interval takes time quadratic in the number of members. */
struct Length
{
    int quietIntervals;
    int crashes;
};

Length lengthOf(int members)
{
    constexpr int largeMembers = 100;
    constexpr int veryLargeMembers = 400;
    if (members > veryLargeMembers)
        return {100, 3};
    return members > largeMembers ? Length{300, 6} : Length{1200, 12};
}

int zonesOf(int members)
{
    // Four availability zones today, seven at the design scale.
    return members <= 8 ? 4 : 7;
}

/**
 * Returns the bytes of one message of a scheme, with names as long as in practice. Gossip lists are
 * counted packed, which favours gossip: as FlatBuffers tables their entries take five times that.
 */
double messageBytes(Scheme scheme, int members)
{
    Heartbeat heartbeat;
    heartbeat.name = "entry-west-1-000";
    heartbeat.incarnation = 1796362445637;
    heartbeat.sequence = 100000;
    heartbeat.appliedRevision = heartbeat.viewRevision = 1000000;
    heartbeat.ticketNumber = 1000;
    heartbeat.storeReachable = true;
    const double list = scheme == Scheme::Direct ? 0.0 : packedEntryBytes * members;
    return static_cast<double>(encodeEnvelope({{1796362445637, 1}, heartbeat}).size())
           + frameHeaderBytes + list;
}

void measureMembership(Scheme scheme, int members, int lossPercent, BenchReport &report)
{
    const double perRound
            = messageBytes(scheme, members) * (scheme == Scheme::Direct ? members - 1 : 1);
    MembershipSetup setup;
    setup.scheme = scheme;
    setup.members = members;
    setup.zones = zonesOf(members);
    setup.loss = lossPercent / 100.0;
    setup.seed = seed;
    setup.intervalMs = std::max(productIntervalMs, perRound / budgetBytesPerSecond * msPerSecond);

    const Length length = lengthOf(members);
    MembershipSimulation simulation(setup);
    simulation.run(warmUpIntervals);
    simulation.resetStatistics();
    simulation.run(length.quietIntervals);
    const double hours = length.quietIntervals * setup.intervalMs / msPerHour;
    const double falseDetections
            = static_cast<double>(simulation.gapsAbove(productFailIntervals)) / members / hours;
    // The shortest T_fail without false detections while no member fails, but at least the
    // product's.
    const double failMs
            = std::max(simulation.longestGapMs(), productFailIntervals * setup.intervalMs);
    const double bytesPerMessage = messageBytes(scheme, members) / members
                                   / (length.quietIntervals * setup.intervalMs / msPerSecond);
    const double sent = static_cast<double>(simulation.messages()) * bytesPerMessage;
    const double between
            = static_cast<double>(simulation.messagesBetweenRegions()) * bytesPerMessage;

    double meanMs = 0;
    double longestMs = 0;
    for (int crash = 0; crash < length.crashes; ++crash) {
        const int crashed = crash * 5 % members;
        const double at = simulation.nowMs();
        simulation.setAlive(crashed, false);
        simulation.run(static_cast<int>(failMs / setup.intervalMs) + warmUpIntervals);
        double last = 0;
        for (int n = 0; n < members; ++n) {
            if (n != crashed)
                last = std::max(last, simulation.lastIncrease(n, crashed) + failMs - at);
        }
        meanMs += last / length.crashes;
        longestMs = std::max(longestMs, last);
        simulation.setAlive(crashed, true);
        simulation.run(warmUpIntervals);
    }

    const std::string prefix = std::to_string(members) + " members, " + std::to_string(lossPercent)
                               + " % loss, " + std::string(toText(scheme)) + ": ";
    const bool today = members == sizes[0] && scheme == Scheme::Direct;
    report.add(prefix + "detected by all, mean", meanMs / msPerSecond, "s");
    report.add(prefix + "detected by all, longest", longestMs / msPerSecond, "s");
    report.add(prefix + "false detections at 3.6 intervals", falseDetections, "/member h");
    report.add(prefix + "sent per node", sent, "B/s",
               today ? std::optional(BenchTarget{BenchTarget::Bound::AtMost, budgetBytesPerSecond})
                     : std::nullopt);
    report.add(prefix + "of that between regions", between, "B/s");
}

void measureDistribution(Distribution distribution, int members, int lossPercent,
                         BenchReport &report)
{
    DistributionSetup setup;
    setup.distribution = distribution;
    setup.members = members;
    setup.zones = zonesOf(members);
    setup.loss = lossPercent / 100.0;
    setup.seed = seed;
    const DistributionResult result = simulateChanges(setup, simulatedChanges);
    const std::string prefix = std::to_string(members) + " members, " + std::to_string(lossPercent)
                               + " % loss, " + std::string(toText(distribution)) + ": ";
    report.add(prefix + "in effect everywhere, median", result.medianMs, "ms");
    report.add(prefix + "in effect everywhere, p99", result.p99Ms, "ms");
    report.add(prefix + "store watches", result.watches, "");
    report.add(prefix + "bytes per node, mean", result.meanBytes * changesPerSecond, "B/s");
    report.add(prefix + "bytes of the busiest node", result.largestBytes * changesPerSecond, "B/s");
}

} // namespace
} // namespace dragonflysill

int main()
{
    using namespace dragonflysill;
    BenchReport report("membership", seed);
    for (const int members : sizes) {
        for (const int loss : lossesPercent) {
            for (const auto scheme : schemes)
                measureMembership(scheme, members, loss, report);
        }
    }
    for (const int members : sizes) {
        for (const int loss : lossesPercent) {
            for (const auto distribution : distributions)
                measureDistribution(distribution, members, loss, report);
        }
    }
    return report.write() && report.allMet() ? 0 : 1;
}
