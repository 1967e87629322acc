#include "dragonflysill/machines/placementplanner.h"

#include "support/goldenfile.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <sstream>

using namespace dragonflysill;

namespace {

using Kind = PlacementAction::Kind;

Worker makeWorker(const std::string &name, int cores = 16, int accelerators = 0)
{
    return {name, "p", "z1", "r" + name.substr(1, 1), {cores * 1000LL, 65536, accelerators}};
}

Job makeJob(const std::string &name, int tasks, double cores, Priority priority = Priority::Normal)
{
    Job job;
    job.name = name;
    job.team = "team";
    job.pool = "p";
    job.tasks = tasks;
    job.cores = cores;
    job.memoryMb = 1024;
    job.priority = priority;
    return job;
}

std::size_t count(const std::vector<PlacementAction> &actions, Kind kind,
                  const std::string &job = {})
{
    return static_cast<std::size_t>(
            std::count_if(actions.begin(), actions.end(), [&](const auto &it) {
                return it.kind == kind && (job.empty() || it.job == job);
            }));
}

JobStatus status(const PlacementPlanner &planner, const std::string &name)
{
    for (const auto &it : planner.statuses()) {
        if (it.name == name)
            return it;
    }
    return {};
}

std::string text(const std::vector<PlacementAction> &actions, std::int64_t nowMs)
{
    constexpr const char *names[] = {"start", "checkpoint", "throttle",   "resume",
                                     "stop",  "refuse",     "quarantine", "readmit"};
    std::ostringstream out;
    for (const auto &it : actions)
        out << nowMs << " " << names[static_cast<int>(it.kind)] << " " << it.job << "/" << it.index
            << " " << it.worker << " " << it.reason << "\n";
    return out.str();
}

} // namespace

BOOST_AUTO_TEST_SUITE(Placement)

// Guards against changes of the actions in a session with placement, refusal, observed usage,
// preemption, quarantine and readmission.
BOOST_AUTO_TEST_CASE(GoldenSession)
{
    PlacementPlanner planner;
    std::string session;
    const auto decide = [&](std::int64_t nowMs) { session += text(planner.decide(nowMs), nowMs); };
    for (const char *const it : {"w1a", "w1b", "w2a"})
        planner.setWorker(makeWorker(it));
    planner.setWorker(makeWorker("w2g", 16, 2));
    planner.setJob(makeJob("large", 1, 40));
    auto batch = makeJob("batch", 6, 8, Priority::Batch);
    batch.checkpointable = true;
    planner.setJob(batch);
    planner.setJob(makeJob("normal", 3, 4));
    decide(1000);
    planner.reportUsage("batch", 0, {2000, 512, 0});
    decide(2000);
    planner.setJob(makeJob("rush", 2, 14, Priority::Urgent));
    decide(3000);
    planner.endTask("rush", 0, TaskOutcome::Succeeded, 4000);
    for (int n = 0; n < 3; ++n) {
        planner.endTask("normal", n, TaskOutcome::Failed, 4000);
        planner.endTask("batch", n, TaskOutcome::Failed, 4000);
    }
    decide(5000);
    for (int n = 0; n < 3; ++n)
        planner.endTask("normal", n, TaskOutcome::Failed, 6000);
    decide(7000);
    decide(700'000);
    support::checkGolden("placement.txt", session);
}

// Guards against a job that cannot run as declared and blocks the jobs behind it.
BOOST_AUTO_TEST_CASE(ImpossibleJobIsReportedAndBlocksNothing)
{
    PlacementPlanner planner;
    planner.setWorker(makeWorker("w1"));
    planner.setJob(makeJob("large", 1, 17));
    auto elsewhere = makeJob("elsewhere", 1, 1);
    elsewhere.pool = "q";
    planner.setJob(elsewhere);
    planner.setJob(makeJob("small", 1, 1));
    const auto actions = planner.decide(1);
    BOOST_TEST(count(actions, Kind::Refuse) == 2U);
    BOOST_TEST(count(actions, Kind::Start, "small") == 1U);
    BOOST_TEST(status(planner, "large").reason.find("17.0 cores") != std::string::npos);
    BOOST_TEST(toText(status(planner, "elsewhere").state) == "impossible");
    planner.setWorker(makeWorker("w2", 32));
    BOOST_TEST(count(planner.decide(2), Kind::Start, "large") == 1U);
}

// Guards against planning with declared sizes although usage was observed: too large a size wastes
// capacity, too small a size overloads a worker.
BOOST_AUTO_TEST_CASE(PlansWithObservedUsage)
{
    PlacementPlanner planner;
    planner.setWorker(makeWorker("w1"));
    planner.setJob(makeJob("over", 8, 8));
    BOOST_TEST(count(planner.decide(1), Kind::Start) == 2U);
    planner.reportUsage("over", 0, {1000, 512, 0});
    BOOST_TEST(count(planner.decide(2), Kind::Start) == 6U);
    planner.setJob(makeJob("under", 6, 1));
    BOOST_TEST(count(planner.decide(3), Kind::Start) == 6U);
    planner.reportUsage("under", 0, {4000, 1024, 0});
    planner.setJob(makeJob("next", 1, 1));
    BOOST_TEST(planner.decide(4).empty(), "a worker without free cores gets no task");
    planner.reportUsage("under", 0, {4000, 16'384, 0});
    const auto stopped = count(planner.decide(5), Kind::Stop);
    BOOST_TEST(stopped >= 2U, "six tasks of 16 GB were left on a worker of 64 GB");
    BOOST_TEST(stopped <= 3U);
}

// Guards against a team that uses more than its quota.
BOOST_AUTO_TEST_CASE(QuotaLimitsATeam)
{
    PlacementPlanner planner;
    planner.setWorker(makeWorker("w1"));
    planner.setQuota({"team", 1, 4, 65536, 0});
    planner.setJob(makeJob("job", 8, 1));
    BOOST_TEST(count(planner.decide(1), Kind::Start) == 4U);
    BOOST_TEST(status(planner, "job").reason.find("quota") != std::string::npos);
    planner.endTask("job", 0, TaskOutcome::Succeeded, 2);
    BOOST_TEST(count(planner.decide(2), Kind::Start) == 1U);
    planner.setJob(makeJob("gang", 5, 1));
    auto gang = makeJob("gang", 5, 1);
    gang.gang = true;
    planner.setJob(gang);
    BOOST_TEST(count(planner.decide(3), Kind::Refuse, "gang") == 1U);
}

// Guards against urgent tasks that wait for other tasks, and against stopping a task where a
// checkpoint or throttling is enough.
BOOST_AUTO_TEST_CASE(UrgentPreemptsByCheckpointThenThrottleThenStop)
{
    for (const int stage : {0, 1, 2}) {
        PlacementPlanner planner;
        planner.setWorker(makeWorker("w1"));
        auto other = makeJob("other", 2, 8);
        other.checkpointable = stage == 0;
        planner.setJob(other);
        planner.decide(1);
        auto urgent = makeJob("urgent", 1, 8, Priority::Urgent);
        if (stage == 2)
            urgent.memoryMb = 65536 - 1024;
        planner.setJob(urgent);
        const auto actions = planner.decide(2);
        BOOST_TEST(count(actions, Kind::Start, "urgent") == 1U);
        BOOST_TEST(count(actions, Kind::Checkpoint) == (stage == 0 ? 1U : 0U));
        BOOST_TEST(count(actions, Kind::Throttle) == (stage == 1 ? 2U : 0U));
        BOOST_TEST(count(actions, Kind::Stop) == (stage == 2 ? 1U : 0U));
    }
}

// Guards against tasks that stay throttled although their worker has free cores.
BOOST_AUTO_TEST_CASE(ThrottledTasksAreResumed)
{
    PlacementSettings settings;
    settings.resumesThrottled = true;
    PlacementPlanner planner(settings);
    planner.setWorker(makeWorker("w1"));
    planner.setJob(makeJob("other", 2, 8));
    planner.decide(1);
    planner.setJob(makeJob("urgent", 1, 8, Priority::Urgent));
    BOOST_TEST(count(planner.decide(2), Kind::Throttle) == 2U);
    BOOST_TEST(count(planner.decide(3), Kind::Resume) == 0U);
    planner.endTask("urgent", 0, TaskOutcome::Succeeded, 4);
    BOOST_TEST(count(planner.decide(4), Kind::Resume) == 2U);
    BOOST_TEST(planner.used("team").milliCores == 16'000);
}

// Guards against urgent tasks that preempt other urgent tasks.
BOOST_AUTO_TEST_CASE(UrgentDoesNotPreemptUrgent)
{
    PlacementPlanner planner;
    planner.setWorker(makeWorker("w1"));
    planner.setJob(makeJob("first", 2, 8, Priority::Urgent));
    planner.decide(1);
    planner.setJob(makeJob("second", 1, 8, Priority::Urgent));
    BOOST_TEST(planner.decide(2).empty());
    BOOST_TEST(toText(status(planner, "second").state) == "waiting");
}

// Guards against a gang that starts only some tasks and occupies workers while the others wait.
BOOST_AUTO_TEST_CASE(GangStartsTogetherOrNotAtAll)
{
    PlacementPlanner planner;
    planner.setWorker(makeWorker("w1"));
    planner.setWorker(makeWorker("w2"));
    planner.setJob(makeJob("other", 1, 16));
    planner.decide(1);
    auto gang = makeJob("gang", 4, 8);
    gang.gang = true;
    planner.setJob(gang);
    BOOST_TEST(planner.decide(2).empty());
    BOOST_TEST(status(planner, "gang").placed == 0);
    planner.endTask("other", 0, TaskOutcome::Succeeded, 3);
    BOOST_TEST(count(planner.decide(3), Kind::Start, "gang") == 4U);
    planner.setJob(makeJob("urgent", 1, 10, Priority::Urgent));
    const auto actions = planner.decide(4);
    BOOST_TEST(count(actions, Kind::Start, "urgent") == 1U);
    BOOST_TEST(count(actions, Kind::Throttle) + count(actions, Kind::Stop) > 0U);
    const int placed = status(planner, "gang").placed;
    BOOST_TEST((placed == 0 || placed == 4), "gang runs with " << placed << " of 4 tasks");
}

// Guards against a worker that fails all tasks at once and, being free, receives all waiting tasks;
// against a quarantine that never ends; and against more than one task when it ends.
BOOST_AUTO_TEST_CASE(WorkerThatFailsAllTasksIsQuarantinedAndReadmitted)
{
    PlacementPlanner planner;
    planner.setWorker(makeWorker("w1"));
    planner.setJob(makeJob("a", 100, 8));
    planner.setJob(makeJob("b", 100, 8));
    int lost = 0;
    std::int64_t now = 0;
    for (; now < 100; ++now) {
        for (const auto &it : planner.decide(now)) {
            if (it.kind == Kind::Start) {
                ++lost;
                planner.endTask(it.job, it.index, TaskOutcome::Failed, now);
            }
        }
    }
    BOOST_TEST(lost <= 6);
    const auto later = planner.decide(now + 700'000);
    BOOST_TEST(count(later, Kind::Readmit) == 1U);
    BOOST_TEST(count(later, Kind::Start) == 1U);
    const auto start = std::find_if(later.begin(), later.end(),
                                    [](const auto &it) { return it.kind == Kind::Start; });
    BOOST_REQUIRE(start != later.end());
    planner.endTask(start->job, start->index, TaskOutcome::Succeeded, now + 700'001);
    BOOST_TEST(count(planner.decide(now + 700'002), Kind::Start) == 2U);
}

// Guards against a job that fails on every run and causes the quarantine of healthy workers.
BOOST_AUTO_TEST_CASE(JobThatAlwaysFailsIsRefused)
{
    PlacementPlanner planner;
    for (const char *const it : {"w1", "w2", "w3", "w4"})
        planner.setWorker(makeWorker(it));
    planner.setJob(makeJob("good", 64, 1));
    for (const auto &it : planner.decide(0))
        planner.endTask(it.job, it.index, TaskOutcome::Succeeded, 0);
    planner.setJob(makeJob("bad", 1, 1));
    std::size_t refused = 0;
    for (int n = 1; n < 40; ++n) {
        for (const auto &it : planner.decide(n)) {
            if (it.kind == Kind::Start)
                planner.endTask(it.job, it.index, TaskOutcome::Failed, n);
            refused += it.kind == Kind::Refuse ? 1 : 0;
        }
    }
    BOOST_TEST(refused == 1U);
    BOOST_TEST(toText(status(planner, "bad").state) == "impossible");
}

// Guards against a cancellation that needs one pass per task or does not free the capacity.
BOOST_AUTO_TEST_CASE(BulkCancellationTakesOnePass)
{
    PlacementPlanner planner;
    for (int n = 0; n < 50; ++n)
        planner.setWorker(makeWorker("w" + std::to_string(n)));
    planner.setJob(makeJob("bulk", 800, 1));
    BOOST_TEST(count(planner.decide(1), Kind::Start) == 800U);
    auto cancelled = makeJob("bulk", 800, 1);
    cancelled.cancelled = true;
    planner.setJob(cancelled);
    planner.setJob(makeJob("next", 800, 1));
    const auto actions = planner.decide(2);
    BOOST_TEST(count(actions, Kind::Stop) == 800U);
    BOOST_TEST(count(actions, Kind::Start, "next") == 800U);
    BOOST_TEST(planner.used("team").milliCores == 800'000);
}

// Guards against a task that runs twice, or is never restarted, after its worker stops responding.
BOOST_AUTO_TEST_CASE(TaskIsStartedElsewhereOnlyAfterItsLease)
{
    PlacementPlanner planner;
    planner.setWorker(makeWorker("w1"));
    planner.setWorker(makeWorker("w2"));
    planner.setJob(makeJob("job", 1, 1));
    planner.decide(0);
    planner.renewTask("job", 0, 20'000);
    BOOST_TEST(planner.decide(30'000).empty());
    BOOST_TEST(planner.decide(49'999).empty());
    const auto actions = planner.decide(50'000);
    BOOST_TEST(count(actions, Kind::Stop) == 1U);
    BOOST_TEST(count(actions, Kind::Start) == 1U);
}

// Guards against a job that loses all its tasks with one rack.
BOOST_AUTO_TEST_CASE(TasksAreSpreadOverRacks)
{
    PlacementPlanner planner;
    for (const char *const it : {"w1a", "w1b", "w2a", "w2b"})
        planner.setWorker(makeWorker(it));
    planner.setJob(makeJob("job", 8, 1));
    std::map<char, int> racks;
    for (const auto &it : planner.decide(0))
        ++racks[it.worker[1]];
    BOOST_TEST(racks['1'] == 4);
    BOOST_TEST(racks['2'] == 4);
}

// Guards against jobs that need no accelerators but occupy the workers that have them.
BOOST_AUTO_TEST_CASE(KeepsAcceleratorsForJobsThatNeedThem)
{
    PlacementPlanner planner;
    planner.setWorker(makeWorker("w1", 16, 4));
    planner.setWorker(makeWorker("w2"));
    planner.setJob(makeJob("plain", 1, 8));
    BOOST_TEST(planner.decide(0).front().worker == "w2");
    auto accelerated = makeJob("accelerated", 2, 1);
    accelerated.accelerators = 2;
    planner.setJob(accelerated);
    for (const auto &it : planner.decide(1))
        BOOST_TEST(it.worker == "w1");
    BOOST_TEST(planner.used("team").accelerators == 4);
}

// Guards against starting a running task again after the planner was rebuilt.
BOOST_AUTO_TEST_CASE(RestoredTasksAreNotStartedAgain)
{
    PlacementPlanner planner;
    planner.setWorker(makeWorker("w1"));
    planner.setJob(makeJob("job", 2, 1));
    planner.restoreTask("job", 1, "w1", 0);
    const auto actions = planner.decide(1);
    BOOST_TEST(actions.size() == 1U);
    BOOST_TEST(actions.front().index == 0);
}

// Guards against tasks that stay assigned to a removed worker, and against wrong worker positions
// after workers are added.
BOOST_AUTO_TEST_CASE(HandlesRemovedAndAddedWorkers)
{
    PlacementPlanner planner;
    planner.setWorker(makeWorker("w5"));
    planner.setJob(makeJob("job", 4, 4));
    BOOST_TEST(planner.decide(0).size() == 4U);
    planner.setWorker(makeWorker("w1"));
    planner.setWorker(makeWorker("w9"));
    BOOST_TEST(planner.decide(1).empty());
    planner.removeWorker("w5");
    BOOST_TEST(count(planner.decide(2), Kind::Start) == 4U);
    for (std::size_t n = 0; n < planner.workers().size(); ++n) {
        const auto &it = planner.workers().at(n);
        BOOST_TEST(it.used.milliCores == static_cast<std::int64_t>(it.tasks.size()) * 4000);
        BOOST_TEST((it.worker.name != "w5" || it.tasks.empty()));
    }
}

BOOST_AUTO_TEST_SUITE_END()
