#include "day.h"

#include "dragonflysill/telemetry/benchreport.h"

using namespace dragonflysill;

namespace {

constexpr std::uint64_t seed = 20261204;

void addDay(BenchReport &report, const Deployment &deployment)
{
    const auto ours = Day(deployment, Policy::Shared, seed).run();
    const auto base = Day(deployment, Policy::Baseline, seed).run();
    const auto atMost = [](double value) { return BenchTarget{BenchTarget::Bound::AtMost, value}; };
    const auto atLeast = [](double value) {
        return BenchTarget{BenchTarget::Bound::AtLeast, value};
    };
    const std::string suffix = ", " + deployment.name;
    report.add("minutes below budget" + suffix, ours.minutesBelowBudget, "min", atMost(0),
               base.minutesBelowBudget);
    report.add("moments with an instance in two pools" + suffix, ours.instancesInTwoPools, "",
               atMost(0), base.instancesInTwoPools);
    report.add("waves finished" + suffix, ours.wavesFinished, "", atLeast(ours.wavesOrdered),
               base.wavesFinished);
    report.add("buffer cost" + suffix, ours.idleInstances, "instances",
               atMost(0.7 * base.idleInstances), base.idleInstances);
    report.add("buffer cost in parts of the baseline" + suffix,
               100 * ours.idleInstances / base.idleInstances, "%", atMost(70));
    report.add("rollout time, mean" + suffix, ours.meanRolloutSeconds, "s", std::nullopt,
               base.meanRolloutSeconds);
    report.add("rollout time, worst" + suffix, ours.worstRolloutSeconds, "s", std::nullopt,
               base.worstRolloutSeconds);
    report.add("tickets complete" + suffix, ours.ticketsComplete, "", atLeast(ours.tickets),
               base.ticketsComplete);
    report.add("moves" + suffix, ours.moves, "", std::nullopt, base.moves);
    report.add("time of all maintenance" + suffix, ours.waveHours, "h", std::nullopt,
               base.waveHours);
}

} // namespace

int main()
{
    BenchReport report("fleetday", seed);
    addDay(report, {"tubo-sul", 3, "support"});
    addDay(report, {"petal-cluster", 4, "registry"});
    return report.write() && report.allMet() ? 0 : 1;
}
