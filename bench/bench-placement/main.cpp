#include "run.h"

#include "dragonflysill/telemetry/benchreport.h"

using namespace dragonflysill;

namespace {

constexpr std::uint64_t seed = 20261204;

template <typename Policy>
RunResult measure(const Workload &workload)
{
    Policy policy(workload);
    return Run(workload, policy).run();
}

} // namespace

int main()
{
    const auto workload = makeWorkload(seed);
    const auto ours = measure<PlannerPolicy>(workload);
    const auto base = measure<FirstFitPolicy>(workload);
    const auto none = std::optional<BenchTarget>();
    const auto atMost = [](double value) { return BenchTarget{BenchTarget::Bound::AtMost, value}; };
    BenchReport report("placement", seed);
    report.add("useful work", ours.usefulCoreHours, "core-hours", none, base.usefulCoreHours);
    report.add("work lost by stops and failures", ours.wastedCoreHours, "core-hours", none,
               base.wastedCoreHours);
    report.add("cores used, mean", 100 * ours.coresUsed, "%", none, 100 * base.coresUsed);
    report.add("memory used, mean", 100 * ours.memoryUsed, "%", none, 100 * base.memoryUsed);
    report.add("tasks finished", ours.tasksFinished, "", none, base.tasksFinished);
    report.add("tasks lost to bad workers", ours.tasksLostToBadWorkers, "", none,
               base.tasksLostToBadWorkers);
    report.add("tasks out of memory", ours.tasksOutOfMemory, "", none, base.tasksOutOfMemory);
    report.add("urgent work, mean wait", ours.urgentMeanWaitSeconds, "s", none,
               base.urgentMeanWaitSeconds);
    report.add("urgent work, wait p99", ours.urgentP99WaitSeconds, "s", atMost(1.7),
               base.urgentP99WaitSeconds);
    report.add("urgent tasks never started", ours.urgentNeverStarted, "", atMost(0),
               base.urgentNeverStarted);
    report.add("jobs that can never run, refused", ours.impossibleRefused, "",
               BenchTarget{BenchTarget::Bound::AtLeast, ours.impossible});
    report.add("other jobs refused", ours.possibleRefused, "", none);
    report.add("cancelled tasks that run on after one decision", ours.cancelledLeft, "", atMost(0),
               base.cancelledLeft);
    report.add("cancellation with its decision", ours.cancelDecisionMs, "ms", none,
               base.cancelDecisionMs);
    return report.write() && report.allMet() ? 0 : 1;
}
