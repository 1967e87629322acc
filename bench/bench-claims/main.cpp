#include "simulation.h"

#include "dragonflysill/telemetry/benchreport.h"

#include <string>

using namespace dragonflysill;

namespace {

constexpr std::uint64_t seed = 20261204;

SimulationResult simulate(ClaimDesign design, double rate, bool withFaults,
                          std::chrono::milliseconds groupDelay = {})
{
    SimulationSettings settings;
    settings.design = design;
    settings.ratePerSecond = rate;
    settings.withFaults = withFaults;
    settings.groupDelay = groupDelay;
    settings.seed = seed;
    return ClaimSimulation(settings).run();
}

double callsPerThousand(const SimulationResult &result)
{
    return 1000.0 * static_cast<double>(result.storeCalls) / static_cast<double>(result.attempts);
}

void addCalls(BenchReport &report, double rate)
{
    const std::string suffix = ", " + std::to_string(static_cast<int>(rate)) + " requests/s";
    const auto perRequest = simulate(ClaimDesign::WritePerRequest, rate, false);
    const auto owner = simulate(ClaimDesign::OwnerGroups, rate, false);
    const auto group = simulate(ClaimDesign::EntryGroups, rate, false);
    const auto delayed
            = simulate(ClaimDesign::EntryGroups, rate, false, std::chrono::milliseconds(100));
    const double baseline = callsPerThousand(perRequest);
    report.add("(a) store calls per 1000 requests" + suffix, baseline, "calls");
    report.add("(b) store calls per 1000 requests" + suffix, callsPerThousand(owner), "calls",
               std::nullopt, baseline);
    report.add("(c) store calls per 1000 requests" + suffix, callsPerThousand(group), "calls",
               std::nullopt, baseline);
    report.add("(c) time to grant, median" + suffix, group.p50Ms, "ms");
    report.add("(c) time to grant, 99th percentile" + suffix, group.p99Ms, "ms");
    report.add("(c) with 100 ms group delay: store calls per 1000 requests" + suffix,
               callsPerThousand(delayed), "calls", std::nullopt, baseline);
}

void addFaults(BenchReport &report)
{
    const auto result = simulate(ClaimDesign::EntryGroups, 400, true);
    const BenchTarget none{BenchTarget::Bound::AtMost, 0};
    const auto number = [](std::int64_t value) { return static_cast<double>(value); };
    report.add("faults: attempts", number(result.attempts), "requests");
    report.add("faults: answered", number(result.answered), "requests");
    report.add("faults: keys run twice", number(result.runTwice), "keys", none);
    report.add("faults: 'not run' that ran", number(result.falseNotRun), "requests", none);
    report.add("faults: not run", number(result.notRun), "requests");
    report.add("faults: unknown outcomes", number(result.unknown), "requests");
    report.add("faults: commits with a lost answer", number(result.unknownCommits), "calls");
    report.add("faults: store calls per 1000 requests", callsPerThousand(result), "calls");
}

} // namespace

int main()
{
    BenchReport report("claims", seed);
    for (const double rate : {40.0, 400.0, 2000.0})
        addCalls(report, rate);
    addFaults(report);
    return report.write() && report.allMet() ? 0 : 1;
}
