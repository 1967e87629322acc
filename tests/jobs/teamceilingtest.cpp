#include "schedulerharness.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <utility>
#include <vector>

namespace dragonflysill::test {
namespace {

/** A scheduler with jobs of team "t", whose tasks need one core each. */
struct TeamHarness : SchedulerHarness
{
    explicit TeamHarness(std::int64_t ceilingCores) { setCeiling({ceilingCores * 1000, 0, 0}); }

    void setCeiling(const Resources &ceiling)
    {
        Team team;
        team.name = "t";
        team.ceiling = ceiling;
        scheduler.setTeams(std::vector{team});
    }

    void addTeamJob(const std::string &id, JobStep only, bool inherited = false,
                    const std::string &pool = "pool")
    {
        auto added = job(id, {std::move(only)});
        added.team = "t";
        added.pool = pool;
        addJob(std::move(added), inherited);
    }

    void addWorkerOf(const std::string &pool, const std::string &id)
    {
        auto &worker = addWorker(id);
        worker.description.pool = pool;
        scheduler.addOrUpdateWorker(worker.description, now);
        reportFrom(id);
    }

    std::size_t starts() { return ordersOf<StartTask>(decide()).size(); }

    std::int64_t counted()
    {
        const auto &teams = scheduler.teamUsage().accounts();
        const auto it = teams.find("t");
        return it == teams.end() ? 0 : it->second.used().milliCores / 1000;
    }
};

TaskId task(const std::string &job, int index = 0)
{
    return {job, 0, 0, index};
}

} // namespace

BOOST_AUTO_TEST_SUITE(TeamCeilings)

// Guards against a ceiling for each pool instead of one over all, and against room that an end in
// one pool leaves unused while tasks wait in another.
BOOST_AUTO_TEST_CASE(CeilingAppliesOverAllPoolsAndWorkers)
{
    TeamHarness harness(3);
    harness.addWorker("w1");
    harness.addWorkerOf("pool-2", "w2");
    harness.addTeamJob("a", step(2));
    harness.addTeamJob("b", step(8), false, "pool-2");
    BOOST_TEST(harness.starts() == 3U);
    harness.advanceTime(10ms);
    const std::string pool = harness.workerOf(task("a")).empty() ? "b" : "a";
    harness.end(task(pool), RunEnd::Done);
    BOOST_TEST(ordersOf<StartTask>(harness.decideAfterEvent()).size() == 1U);
    BOOST_TEST(harness.counted() == 3);
}

// Guards against a lowered ceiling that stops runs or lets new ones start, and a raised one that
// takes effect late.
BOOST_AUTO_TEST_CASE(ChangedCeilingAppliesToTheNextStart)
{
    TeamHarness harness(3);
    harness.addWorker("w1", 8);
    harness.addTeamJob("a", step(8));
    BOOST_TEST(harness.starts() == 3U);
    harness.setCeiling({2000, 0, 0});
    harness.end(task("a"), RunEnd::Done);
    BOOST_TEST(harness.decide().empty());
    harness.setCeiling({4000, 0, 0});
    BOOST_TEST(ordersOf<StartTask>(harness.decideAfterEvent()).size() == 2U);
}

// Guards against an owner that takes a configuration it has not read for one without ceilings.
BOOST_AUTO_TEST_CASE(TasksOfTeamsWaitUntilAConfigurationIsKnown)
{
    SchedulerHarness harness;
    harness.addWorker("w1");
    auto ofTeam = job("a", {step(1)});
    ofTeam.team = "t";
    harness.addJob(ofTeam);
    harness.addJob(job("b", {step(1)}));
    BOOST_TEST(ordersOf<StartTask>(harness.decide()).size() == 1U);
    harness.scheduler.setTeams({});
    BOOST_TEST(ordersOf<StartTask>(harness.decideAfterEvent()).size() == 1U);
}

// Guards against best-effort tasks that take any amount of processor time beyond the ceiling.
BOOST_AUTO_TEST_CASE(BestEffortTasksCountWithTheirNeed)
{
    TeamHarness harness(2);
    harness.addWorker("w1", 8);
    auto bestEffort = step(5);
    bestEffort.bestEffort = true;
    harness.addTeamJob("a", bestEffort);
    BOOST_TEST(harness.starts() == 2U);
}

// Guards against gangs that start in part, and against work that can never fit: it must be named
// once and may keep nothing else from starting.
BOOST_AUTO_TEST_CASE(GangsStartWholeAndWorkThatNeverFitsBlocksNobody)
{
    TeamHarness harness(4);
    harness.addWorker("w1", 16);
    auto gang = step(5);
    gang.gang = true;
    harness.addTeamJob("a-never", gang);
    gang.count = 3;
    harness.addTeamJob("b-gang", gang);
    harness.addTeamJob("c-tasks", step(2));
    const auto starts = ordersOf<StartTask>(harness.decide());
    BOOST_REQUIRE(starts.size() == 4U);
    BOOST_TEST(starts.back().task.job == "c-tasks");
    const auto excesses = harness.scheduler.takeCeilingExcesses(10);
    BOOST_REQUIRE(excesses.size() == 1U);
    BOOST_TEST(excesses.front().job == "a-never");
    BOOST_TEST(harness.scheduler.takeCeilingExcesses(10).empty());
    harness.advanceTime(3s);
    const auto waits = harness.scheduler.longWaitingTasks(2s, 10, harness.now);
    BOOST_REQUIRE(waits.size() == 1U);
    BOOST_TEST(
            waits.front().obstacles.at(static_cast<std::size_t>(StartObstacle::ExceedsTeamCeiling))
            == 1);
}

// Guards against instances that are brought for tasks which their ceiling keeps waiting.
BOOST_AUTO_TEST_CASE(TasksBeyondTheCeilingAreNoDemand)
{
    TeamHarness harness(3);
    harness.addTeamJob("a", step(8));
    harness.decide();
    auto load = harness.scheduler.loads(harness.now).at("pool");
    BOOST_TEST(load.waitingMilliCores == 3000);
    harness.addWorker("w1", 8);
    BOOST_TEST(harness.starts() == 3U);
    load = harness.scheduler.loads(harness.now).at("pool");
    BOOST_TEST(load.waitingMilliCores == 0);
    BOOST_TEST(load.runningMilliCores == 3000);
    BOOST_TEST(load.lacking.empty());
}

// Guards against persistent tasks that are moved away and cannot start again.
BOOST_AUTO_TEST_CASE(PersistentTasksOfATeamAboveItsCeilingAreNotMovedAway)
{
    TeamHarness harness(2);
    harness.addWorker("w1");
    auto service = step(2);
    service.persistent = true;
    harness.addTeamJob("a", service);
    BOOST_TEST(harness.starts() == 2U);
    harness.addWorker("w2");
    harness.advanceTime(3s);
    harness.setCeiling({1000, 0, 0});
    for (auto &[id, run] : harness.workers["w1"].running)
        run.percent = 100;
    harness.reportAll();
    harness.scheduler.setLeaving("w1", true);
    BOOST_TEST(ordersOf<StopTask>(harness.decide()).empty());
    harness.setCeiling({2000, 0, 0});
    BOOST_TEST(ordersOf<StopTask>(harness.decide()).size() == 1U);
}

// Guards against a copy of a start that runs beside others once the worker that had ended the run
// is gone: its next incarnation does not refuse the copy.
BOOST_AUTO_TEST_CASE(EndedRunCountsAgainWhileTheNextIncarnationMayReceiveItsStart)
{
    TeamHarness harness(1);
    harness.addWorker("w1");
    harness.addWorker("w2");
    harness.addTeamJob("a", step(2));
    const auto start = ordersOf<StartTask>(harness.decide(true)).at(0);
    harness.workers[start.worker].running[start.task] = {start.task, start.run, "", 0, {}};
    harness.advanceTime(200ms);
    harness.scheduler.startConfirmed(start, harness.workers[start.worker].clock(harness.now),
                                     harness.now, 2);
    harness.end(start.task, RunEnd::Done);
    BOOST_TEST(harness.counted() == 0);
    harness.scheduler.holdUnanswered(start.worker, harness.now);
    BOOST_TEST(harness.starts() == 0U);
    // The same incarnation answers and refuses what still arrives.
    harness.reportFrom(start.worker);
    BOOST_TEST(harness.counted() == 0);
    harness.scheduler.holdUnanswered(start.worker, harness.now);
    harness.advanceTime(2s);
    BOOST_TEST(harness.starts() == 1U);
}

// Guards against two runs of a task on one worker that count as one.
BOOST_AUTO_TEST_CASE(RunBesideANewerOneCounts)
{
    TeamHarness harness(2);
    auto &worker = harness.addWorker("w1");
    harness.addTeamJob("a", step(1));
    BOOST_TEST(harness.starts() == 1U);
    auto report = worker.report(harness.now);
    auto older = report.running.at(0);
    --older.run;
    report.running.push_back(older);
    harness.scheduler.holdAnswered("w1", report, harness.now, harness.now);
    BOOST_TEST(harness.counted() == 2);
    harness.reportFrom("w1");
    BOOST_TEST(harness.counted() == 1);
}

// Guards against starts beside runs that a worker of the earlier owner still has, and against a
// team that is stopped for longer than such runs may last.
BOOST_AUTO_TEST_CASE(InheritedTasksCountUntilTheirWorkersHaveAnswered)
{
    for (const bool answers : {false, true}) {
        TeamHarness harness(4);
        auto &silent = harness.inheritWorker("w1");
        silent.description.capacity = {3000, 65536, 0};
        harness.scheduler.addOrUpdateWorker(silent.description, harness.now);
        harness.addWorkerOf("pool-2", "w2");
        harness.addTeamJob("inherited", step(8), true);
        harness.addTeamJob("new", step(8), false, "pool-2");
        // The bound is the capacity of the silent worker.
        BOOST_TEST(harness.starts() == 1U);
        BOOST_TEST(harness.counted() == 4);
        if (answers) {
            silent.running[task("inherited")] = {task("inherited"), 1, "", 0, {}};
            harness.reportFrom("w1");
            BOOST_TEST(harness.starts() > 0U);
        } else {
            harness.advanceTime(5s);
            harness.reportFrom("w2");
            BOOST_TEST(harness.starts() == 0U);
            harness.advanceTime(300ms);
            harness.reportFrom("w2");
            BOOST_TEST(harness.starts() == 3U);
        }
        BOOST_TEST(harness.counted() == 4);
    }
}

// Guards against a small team that one silent worker stops although nothing of it can be there.
BOOST_AUTO_TEST_CASE(OnlyTasksThatMayRunOnSilentWorkersCount)
{
    TeamHarness harness(4);
    auto &known = harness.inheritWorker("w1");
    harness.inheritWorker("w2").description.capacity = {32000, 65536, 0};
    known.description.capacity = harness.workers["w2"].description.capacity;
    for (const auto *id : {"w1", "w2"})
        harness.scheduler.addOrUpdateWorker(harness.workers[id].description, harness.now);
    harness.addWorkerOf("pool-2", "w3");
    auto inherited = job("inherited", {step(2), step(8, {0})});
    inherited.team = "t";
    harness.addJob(inherited, true);
    harness.addTeamJob("new", step(8), false, "pool-2");
    for (int n = 0; n < 2; ++n)
        known.running[task("inherited", n)] = {task("inherited", n), 1, "", 0, {}};
    harness.reportFrom("w1");
    // Both tasks of the first step are found, so that the second step has not begun.
    harness.decide();
    BOOST_TEST(harness.starts() == 2U);
    BOOST_TEST(harness.counted() == 4);
}

// Guards against starts beside runs of jobs that ended before the take-over.
BOOST_AUTO_TEST_CASE(RunsOfJobsThatEndedBeforeTheTakeoverCount)
{
    TeamHarness harness(2);
    auto cancelled = job("cancelled", {step(1)});
    cancelled.team = "t";
    auto completed = cancelled;
    completed.id = "completed";
    JobProgress progress;
    progress.state = JobStatus::Cancelled;
    harness.scheduler.addJob(cancelled, progress, true, {}, harness.now);
    harness.scheduler.setEndedJobs([completed](std::string_view id) {
        return id == completed.id ? std::optional(completed) : std::nullopt;
    });
    harness.inheritWorker("w1");
    auto &answering = harness.inheritWorker("w2");
    answering.running[task("completed")] = {task("completed"), 1, "", 0, {}};
    harness.reportFrom("w2");
    harness.addWorkerOf("pool-2", "w3");
    harness.addTeamJob("new", step(8), false, "pool-2");
    BOOST_TEST(harness.starts() == 0U);
    BOOST_TEST(harness.counted() == 2);
    harness.reportAll();
    BOOST_TEST(harness.starts() > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace dragonflysill::test
