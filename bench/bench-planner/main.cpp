#include "maintenancereplay.h"
#include "scale.h"

#include "dragonflysill/base/time.h"
#include "dragonflysill/telemetry/benchreport.h"

#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <vector>

using namespace dragonflysill;

namespace {

constexpr std::uint64_t seed = 20261204;
constexpr BenchTarget::Bound atMost = BenchTarget::Bound::AtMost;

double residentMb()
{
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024.0 * 1024.0);
}

double allocatedMb()
{
    return static_cast<double>(mallinfo2().uordblks) / (1024.0 * 1024.0);
}

double millisecondsSince(TimePoint start)
{
    return std::chrono::duration<double, std::milli>(steadyNow() - start).count();
}

double percentile(std::vector<double> values, double part)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

/** The results for one fleet size. */
struct PlannerResult
{
    double fullMs = 0;
    double incrementalP99Ms = 0;
    double urgentMaxMs = 0;
    double residentMb = 0;
    double allocatedMb = 0;
    double startedTasks = 0;
    double coresUsed = 0; ///< Share of all cores that the first placement has assigned.
    double urgentStarted = 0;
};

/** Measures the planner at one fleet size: initial placement, single events, then urgent jobs. */
class PlannerRun
{
public:
    explicit PlannerRun(std::size_t workers)
        : m_scale(workers, seed)
    {
    }

    PlannerResult run()
    {
        const double resident = residentMb();
        const double allocated = allocatedMb();
        m_scale.fill(m_planner);
        placeAll();
        m_result.coresUsed = coresUsed();
        singleEvents();
        urgentJobs();
        m_result.residentMb = residentMb() - resident;
        m_result.allocatedMb = allocatedMb() - allocated - runningMb();
        return m_result;
    }

private:
    static constexpr int events = 3000;
    static constexpr int urgent = 200;

    [[nodiscard]] double runningMb() const
    {
        return static_cast<double>(m_running.capacity() * sizeof(PlacementAction))
               / (1024.0 * 1024.0);
    }

    [[nodiscard]] double coresUsed() const
    {
        double used = 0;
        double all = 0;
        for (std::size_t n = 0; n < m_planner.workers().size(); ++n) {
            used += static_cast<double>(m_planner.workers().at(n).used.milliCores);
            all += static_cast<double>(m_planner.workers().at(n).worker.capacity.milliCores);
        }
        return used / all;
    }

    void placeAll()
    {
        const auto start = steadyNow();
        std::size_t started = 1;
        while (started > 0) {
            started = countStarts(m_planner.decide(m_nowMs));
            m_result.startedTasks += static_cast<double>(started);
        }
        m_result.fullMs = millisecondsSince(start);
    }

    std::size_t countStarts(const std::vector<PlacementAction> &actions)
    {
        std::size_t started = 0;
        for (const auto &it : actions) {
            if (it.kind != PlacementAction::Kind::Start)
                continue;
            // Events are chosen from these tasks only; the planner keeps all of them.
            if (m_running.size() < maxEventTasks)
                m_running.push_back(it);
            ++started;
        }
        return started;
    }

    void singleEvents()
    {
        std::vector<double> times;
        for (int n = 0; n < events; ++n) {
            m_nowMs += 10;
            auto &random = m_scale.random();
            const auto kind = random.below(3);
            const auto &task = m_running[random.below(m_running.size())];
            const auto job = m_scale.makeJob(Priority::Normal);
            const auto start = steadyNow();
            if (kind == 0)
                m_planner.endTask(task.job, task.index, TaskOutcome::Succeeded, m_nowMs);
            else if (kind == 1)
                m_planner.reportUsage(
                        task.job, task.index,
                        {static_cast<std::int64_t>(500 + random.below(8000)), 4096, 0});
            else
                m_planner.setJob(job);
            const auto actions = m_planner.decide(m_nowMs);
            times.push_back(millisecondsSince(start));
        }
        m_result.incrementalP99Ms = percentile(times, 0.99);
    }

    void urgentJobs()
    {
        for (int n = 0; n < urgent; ++n) {
            m_nowMs += 10;
            auto job = m_scale.makeJob(Priority::Urgent);
            job.gang = n % 10 == 0;
            const auto start = steadyNow();
            m_planner.setJob(job);
            const auto actions = m_planner.decide(m_nowMs);
            m_result.urgentMaxMs = std::max(m_result.urgentMaxMs, millisecondsSince(start));
            m_result.urgentStarted
                    += std::any_of(actions.begin(), actions.end(),
                                   [&](const auto &it) {
                                       return it.job == job.name
                                              && it.kind == PlacementAction::Kind::Start;
                                   })
                               ? 1
                               : 0;
        }
    }

    static constexpr std::size_t maxEventTasks = 4000;

    Scale m_scale;
    PlacementPlanner m_planner;
    std::vector<PlacementAction> m_running;
    std::int64_t m_nowMs = 1000;
    PlannerResult m_result;
};

void addMaintenance(BenchReport &report)
{
    const auto result = MaintenanceReplay(seed).run();
    report.add("instances maintained in 5 weeks", result.maintained, "instances",
               BenchTarget{BenchTarget::Bound::AtLeast, static_cast<double>(Scale::fullWorkers)});
    report.add("last instance maintained after", result.days, "days", BenchTarget{atMost, 35});
    report.add("instance-hours beyond a budget with an instance in maintenance",
               result.hoursOverBudget, "h", BenchTarget{atMost, 0});
    report.add("calculated shortest time", result.calculatedDays, "days", BenchTarget{atMost, 35});
    report.add("wave decision, mean", result.meanDecisionMs, "ms");
}

} // namespace

int main()
{
    BenchReport report("planner", seed);
    // The full size runs first, because it would reuse resident memory of an earlier, smaller run
    // and its own growth would be understated.
    for (const std::size_t workers :
         {Scale::fullWorkers, std::size_t{4000}, std::size_t{2000}, std::size_t{1000}}) {
        const bool full = workers == Scale::fullWorkers;
        const auto result = PlannerRun(workers).run();
        const auto target = [full](double value) {
            return full ? std::optional(BenchTarget{atMost, value}) : std::nullopt;
        };
        const std::string suffix = ", " + std::to_string(workers) + " workers";
        report.add("full placement" + suffix, result.fullMs, "ms", target(2000));
        report.add("incremental decision p99" + suffix, result.incrementalP99Ms, "ms", target(5));
        report.add("urgent decision, slowest of 200" + suffix, result.urgentMaxMs, "ms",
                   target(100));
        report.add("urgent jobs started at once" + suffix, result.urgentStarted, "of 200");
        if (full)
            report.add("planner state, resident" + suffix, result.residentMb, "MB", target(48));
        report.add("planner state, allocated" + suffix, result.allocatedMb, "MB");
        report.add("tasks placed" + suffix, result.startedTasks, "tasks");
        report.add("cores planned after full placement" + suffix, result.coresUsed * 100, "%");
    }
    addMaintenance(report);
    return report.write() && report.allMet() ? 0 : 1;
}
