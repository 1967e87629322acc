#include "schedulerharness.h"

#include "dragonflysill/jobs/poolbalancer.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace dragonflysill;
using namespace dragonflysill::test;

namespace {

int workersWith(const WaitingTaskReport &report, StartObstacle obstacle)
{
    return report.obstacles.at(static_cast<std::size_t>(obstacle));
}

/** Time within which a task that could run must run, from the users' pages. */
constexpr Duration runnableBound = 3s;

/** Delivers the end of a failed run of a job's first task on a worker. */
void failOn(SchedulerHarness &harness, const std::string &worker, const std::string &job, int run)
{
    auto &it = harness.workers[worker];
    it.ended.push_back({it.nextEnd++, {job, 0, 0, 0}, run, RunEnd::Failed, {}});
    harness.reportFrom(worker);
}

/**
 * Lets time pass, with reports and decisions, until a task runs or @p bound is over.
 * @param eachTime called before each report
 * @return whether the task runs
 */
template <typename Action>
bool runsWithin(SchedulerHarness &harness, const TaskId &task, Duration bound, Action eachTime)
{
    for (const auto end = harness.now + bound; harness.now < end; harness.advanceTime(100ms)) {
        eachTime();
        harness.reportAll();
        harness.decide();
        if (!harness.workerOf(task).empty())
            return true;
    }
    return false;
}

/** Makes "slow" several times slower than "fast", from the progress of equal tasks on both. */
void makeSlow(SchedulerHarness &harness)
{
    harness.advanceTime(500ms);
    for (const auto &[id, percent] : {std::pair{"fast", 60}, std::pair{"slow", 10}}) {
        for (auto &[task, row] : harness.workers[id].running)
            row.percent = percent;
        harness.reportFrom(id);
    }
    BOOST_REQUIRE(harness.scheduler.worker("slow")->health.slow(harness.now));
}

/** Shows the harness's workers and one more instance in standby to a balancer for some time. */
std::vector<MoveInstance> movesOf(SchedulerHarness &harness, Duration time)
{
    FleetView fleet;
    fleet.standbyPool = "standby";
    for (const auto &[id, worker] : harness.scheduler.workers()) {
        InstanceView row;
        row.name = id;
        row.pool = "pool";
        row.usable = true;
        row.empty = worker.empty();
        row.milliCores = worker.description.capacity.milliCores;
        row.memoryMb = worker.description.capacity.memoryMb;
        fleet.instances.push_back(row);
    }
    // A busy instance of another pool, so that there are no spare instances to share out.
    InstanceView busy;
    busy.name = "busy";
    busy.pool = "other";
    busy.usable = true;
    busy.milliCores = 64000;
    busy.memoryMb = 65536;
    fleet.instances.push_back(busy);
    fleet.load["other"].runningMilliCores = 50000;
    InstanceView spare;
    spare.name = "spare";
    spare.pool = fleet.standbyPool;
    spare.standby = true;
    spare.milliCores = 64000;
    spare.memoryMb = 65536;
    fleet.instances.push_back(spare);
    PoolBalancer balancer;
    std::vector<MoveInstance> moves;
    for (const auto end = harness.now + time; harness.now < end && moves.empty();) {
        fleet.load["pool"] = harness.scheduler.loads(harness.now)["pool"];
        moves = balancer.decide(fleet, harness.now);
        harness.advanceTime(100ms);
    }
    return moves;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WaitingTasks)

// Guards against logs that cannot tell why a task was not started.
BOOST_AUTO_TEST_CASE(ReportNamesWhatKeepsEachWorkerFromTheTask)
{
    SchedulerHarness harness;
    harness.addWorker("small", 2);
    harness.addWorker("leaving", 8);
    harness.scheduler.setLeaving("leaving", true);
    harness.addWorker("silent", 8);
    harness.scheduler.holdUnanswered("silent", harness.now);
    auto large = step(1);
    large.need.milliCores = 4000;
    harness.addJob(job("j", {large}));
    harness.decide();
    BOOST_TEST(harness.scheduler.longWaitingTasks(2s, 10, harness.now).empty());
    harness.advanceTime(2s);
    const auto reports = harness.scheduler.longWaitingTasks(2s, 10, harness.now);
    BOOST_REQUIRE(reports.size() == 1U);
    BOOST_TEST(reports[0].job == "j");
    BOOST_TEST(reports[0].waited.count() == 2000);
    BOOST_TEST(reports[0].suitableWorkers == 0);
    BOOST_TEST(workersWith(reports[0], StartObstacle::TooSmall) == 1);
    BOOST_TEST(workersWith(reports[0], StartObstacle::Leaving) == 1);
    BOOST_TEST(workersWith(reports[0], StartObstacle::Unlisted) == 1);
}

// A backlog in a pool that is in use is no reason for a log entry.
BOOST_AUTO_TEST_CASE(TasksThatWaitForOccupiedWorkersAreNotReported)
{
    SchedulerHarness harness;
    harness.addWorker("w", 4);
    harness.addJob(job("a", {step(3)}));
    harness.decide();
    auto large = step(1);
    large.need.milliCores = 2000;
    harness.addJob(job("b", {large}));
    harness.decide();
    harness.advanceTime(5s);
    BOOST_TEST(harness.scheduler.longWaitingTasks(2s, 10, harness.now).empty());
}

// Two jobs whose tasks always fail put every worker of a small pool in quarantine. Guards against
// other jobs that wait for its end while all workers are sound and free.
BOOST_AUTO_TEST_CASE(QuarantineOfAWholePoolDoesNotKeepTasksWaiting)
{
    SchedulerHarness harness;
    for (const auto *id : {"w1", "w2"})
        harness.addWorker(id);
    for (const auto *id : {"faulty-1", "faulty-2"})
        harness.addJob(job(id, {step(1)}, 20));
    int run = 100;
    for (int round = 0; round < 2; ++round) {
        for (const auto *worker : {"w1", "w2"}) {
            failOn(harness, worker, "faulty-1", ++run);
            failOn(harness, worker, "faulty-2", ++run);
        }
    }
    for (const auto *id : {"w1", "w2"})
        BOOST_REQUIRE(harness.scheduler.worker(id)->health.quarantined(harness.now + 5s));
    harness.addJob(job("sound", {step(1)}));
    const bool runs = runsWithin(harness, {"sound", 0, 0, 0}, runnableBound, [&harness] {
        for (const auto *id : {"faulty-1", "faulty-2"})
            harness.end({id, 0, 0, 0}, RunEnd::Failed);
    });
    BOOST_TEST(runs);
}

// Guards against a last attempt that waits for the end of the quarantine of a whole pool, up to 12
// s, while the pool is free. It is made where the last run has completed, and not where the task
// failed.
BOOST_AUTO_TEST_CASE(LastAttemptDoesNotWaitForTheQuarantineOfAWholePool)
{
    SchedulerHarness harness;
    for (const auto *id : {"w1", "w2", "w3"})
        harness.addWorker(id);
    const TaskId task{"j", 0, 0, 0};
    harness.addJob(job("j", {step(1)}, 2));
    harness.decide();
    const auto failedOn = harness.workerOf(task);
    const std::string recent = failedOn == "w3" ? "w2" : "w3";
    harness.end(task, RunEnd::Failed);
    harness.addJob(job("done", {step(1)}));
    auto &worker = harness.workers[recent];
    worker.ended.push_back({worker.nextEnd++, {"done", 0, 0, 0}, 100, RunEnd::Done, {}});
    harness.reportFrom(recent);
    for (const auto *id : {"faulty-1", "faulty-2"})
        harness.addJob(job(id, {step(1)}, 20));
    int run = 100;
    for (int round = 0; round < 2; ++round) {
        for (const auto *id : {"w1", "w2", "w3"}) {
            failOn(harness, id, "faulty-1", ++run);
            failOn(harness, id, "faulty-2", ++run);
        }
    }
    for (const auto *id : {"w1", "w2", "w3"})
        BOOST_REQUIRE(harness.scheduler.worker(id)->health.quarantined(harness.now + 5s));
    BOOST_REQUIRE(!harness.scheduler.job("j")->hasEnded());
    const bool runs = runsWithin(harness, task, runnableBound, [&harness] {
        for (const auto *id : {"faulty-1", "faulty-2"})
            harness.end({id, 0, 0, 0}, RunEnd::Failed);
    });
    BOOST_TEST(runs);
    BOOST_TEST(harness.workerOf(task) == recent);
}

// Guards against counting stalled runs, which use up no attempt, as attempts: the task is taken for
// one whose next failure ends its job and waits for the end of the quarantine of the whole pool.
BOOST_AUTO_TEST_CASE(StalledRunsDoNotKeepTasksFromWorkersInQuarantine)
{
    SchedulerHarness harness;
    for (const auto *id : {"w1", "w2"})
        harness.addWorker(id);
    harness.addJob(job("sound", {step(1)}, 2));
    harness.decide();
    const auto stalledOn = harness.workerOf({"sound", 0, 0, 0});
    // The run makes no progress and is stopped.
    for (int n = 0; n < 100 && harness.workerOf({"sound", 0, 0, 0}) == stalledOn; ++n) {
        harness.advanceTime(100ms);
        harness.reportAll();
        harness.decide();
        if (harness.workerOf({"sound", 0, 0, 0}) != stalledOn)
            break;
    }
    // The next run is lost with its worker's process.
    harness.end({"sound", 0, 0, 0}, RunEnd::HoldExpired);
    for (const auto *id : {"faulty-1", "faulty-2"})
        harness.addJob(job(id, {step(1)}, 20));
    int run = 100;
    for (int round = 0; round < 2; ++round) {
        for (const auto *worker : {"w1", "w2"}) {
            failOn(harness, worker, "faulty-1", ++run);
            failOn(harness, worker, "faulty-2", ++run);
        }
    }
    for (const auto *id : {"w1", "w2"})
        BOOST_REQUIRE(harness.scheduler.worker(id)->health.quarantined(harness.now + 5s));
    BOOST_REQUIRE(harness.scheduler.job("sound")->progress().failures.empty());
    const bool runs = runsWithin(harness, {"sound", 0, 0, 0}, runnableBound, [&harness] {
        for (const auto *id : {"faulty-1", "faulty-2"})
            harness.end({id, 0, 0, 0}, RunEnd::Failed);
    });
    BOOST_TEST(runs);
}

// Guards against a task that goes to the same worker again and again, since fuller workers are
// preferred, while each of its starts there is lost and takes a second to be given up.
BOOST_AUTO_TEST_CASE(TaskAvoidsTheWorkerThatLeftItsStartUnanswered)
{
    SchedulerHarness harness;
    harness.addWorker("w1");
    harness.addWorker("w2");
    harness.addJob(job("other", {step(1)}));
    harness.decide();
    const auto fuller = harness.workerOf({"other", 0, 0, 0});
    harness.addJob(job("j", {step(1)}));
    const auto starts = ordersOf<StartTask>(harness.decide(true));
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_REQUIRE(starts[0].worker == fuller);
    harness.scheduler.startUnanswered(starts[0], harness.now);
    const TaskId task{"j", 0, 0, 0};
    BOOST_REQUIRE(runsWithin(harness, task, runnableBound, [] {}));
    BOOST_TEST(harness.workerOf(task) != fuller);
}

// Guards against a task that waits for 600 ms or more after each stop of a lost start that is lost
// as well, although the owner knows that the stop got no answer.
BOOST_AUTO_TEST_CASE(StopWithoutAnAnswerIsSentAgainSoon)
{
    SchedulerHarness harness;
    harness.addWorker("w");
    harness.addJob(job("j", {step(1)}));
    const auto starts = ordersOf<StartTask>(harness.decide(true));
    BOOST_REQUIRE(starts.size() == 1U);
    harness.scheduler.startUnanswered(starts[0], harness.now);
    const auto stops = ordersOf<StopTask>(harness.decide(true));
    BOOST_REQUIRE(stops.size() == 1U);
    harness.scheduler.stopUnanswered(stops[0], harness.now);
    harness.advanceTime(250ms);
    BOOST_TEST(ordersOf<StopTask>(harness.decide(true)).size() == 1U);
}

// Guards against the same if the resumed run ends before a report has listed its checkpoint.
BOOST_AUTO_TEST_CASE(ShortResumedRunDoesNotMakeOtherWorkersLookSlow)
{
    SchedulerHarness harness;
    for (const auto *id : {"w1", "w2", "w3", "w4"})
        harness.addWorker(id, 1);
    auto saving = step(4);
    saving.savesProgress = true;
    harness.addJob(job("j", {saving}, 10));
    harness.decide();
    const TaskId resumed{"j", 0, 0, 0};
    const auto holder = harness.workerOf(resumed);
    harness.advanceTime(900ms);
    harness.reportAll();
    harness.workers[holder].end(resumed, RunEnd::Stopped, "c");
    harness.reportFrom(holder);
    const auto starts = ordersOf<StartTask>(harness.decide());
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_REQUIRE(starts[0].checkpoint == "c");
    harness.advanceTime(50ms);
    harness.end(resumed, RunEnd::Done);
    harness.advanceTime(50ms);
    for (int n = 1; n < 4; ++n) {
        const TaskId task{"j", 0, 0, n};
        const auto worker = harness.workerOf(task);
        harness.end(task, RunEnd::Done);
        BOOST_TEST(!harness.scheduler.worker(worker)->health.slow(harness.now), worker);
    }
}

// A worker that crashes by itself again and again is always empty. Guards against preferring it for
// an innocent task that was on a worker that crashed, and giving the task up after three crashes.
BOOST_AUTO_TEST_CASE(SuspectedTaskPrefersTheWorkerThatHasBeenUpForLongest)
{
    SchedulerHarness harness;
    harness.addWorker("crashing");
    harness.addJob(job("j", {step(1)}));
    harness.decide();
    const TaskId task{"j", 0, 0, 0};
    BOOST_REQUIRE(harness.workerOf(task) == "crashing");
    for (const auto &[id, startedMs] :
         {std::pair{"a", 9000}, std::pair{"b", 3000}, std::pair{"c", 6000}}) {
        harness.workers[id].startedMs = startedMs;
        harness.addWorker(id);
    }
    harness.workers["crashing"].running.clear();
    harness.scheduler.holdUnanswered("crashing", harness.now);
    harness.scheduler.retireWorker("crashing", Scheduler::WorkerEnd::Down, harness.now);
    harness.saveAll();
    BOOST_REQUIRE(harness.scheduler.job("j")->crashes(task) == 1);
    harness.decideWithSaves();
    BOOST_TEST(harness.workerOf(task) == "b");
}

// Guards against a persistent task that is started again and again on the worker on which it fails,
// since fuller workers are preferred.
BOOST_AUTO_TEST_CASE(PersistentTaskAvoidsTheWorkerOnWhichItFailed)
{
    SchedulerHarness harness;
    harness.addWorker("w1");
    harness.addWorker("w2");
    harness.addJob(job("other", {step(1)}));
    harness.decide();
    const auto fuller = harness.workerOf({"other", 0, 0, 0});
    auto service = step(1);
    service.persistent = true;
    harness.addJob(job("service", {service}));
    harness.decide();
    const TaskId task{"service", 0, 0, 0};
    BOOST_REQUIRE(harness.workerOf(task) == fuller);
    harness.end(task, RunEnd::Failed);
    BOOST_REQUIRE(runsWithin(harness, task, runnableBound, [] {}));
    BOOST_TEST(harness.workerOf(task) != fuller);
    BOOST_TEST(!harness.scheduler.worker(fuller)->health.suspect(harness.now));
}

// The same for one that does not begin to serve.
BOOST_AUTO_TEST_CASE(PersistentTaskAvoidsTheWorkerOnWhichItDidNotStartUp)
{
    SchedulerHarness harness;
    harness.addWorker("w1");
    harness.addWorker("w2");
    harness.addJob(job("other", {step(1)}));
    harness.decide();
    const auto fuller = harness.workerOf({"other", 0, 0, 0});
    auto service = step(1);
    service.persistent = true;
    harness.addJob(job("service", {service}));
    harness.decide();
    const TaskId task{"service", 0, 0, 0};
    BOOST_REQUIRE(harness.workerOf(task) == fuller);
    constexpr int intervals = 100;
    for (int n = 0; n < intervals && harness.workerOf(task) == fuller; ++n) {
        harness.advanceTime(100ms);
        for (auto &[run, row] : harness.workers[fuller].running)
            row.percent = run == task ? 0 : row.percent + 1;
        harness.reportAll();
        harness.decide();
    }
    BOOST_REQUIRE(harness.workerOf(task).empty());
    // A worker that completes runs is not suspect.
    harness.end({"other", 0, 0, 0}, RunEnd::Done);
    BOOST_REQUIRE(runsWithin(harness, task, runnableBound, [] {}));
    BOOST_TEST(harness.workerOf(task) != fuller);
}

// Guards against an instance that gets no more tasks, to be given to another pool, and is then not
// given away because the rest of its pool is too small.
BOOST_AUTO_TEST_CASE(InstancesThatCannotBeGivenAwayDoNotYield)
{
    const auto instance = [](const char *name, const char *pool, std::int64_t milliCores) {
        InstanceView row;
        row.name = name;
        row.pool = pool;
        row.usable = true;
        row.empty = std::string(name) == "whole";
        row.milliCores = milliCores;
        row.memoryMb = 65536;
        return row;
    };
    FleetView fleet;
    fleet.instances = {instance("whole", "small", 64000), instance("shrunk", "small", 8000),
                       instance("busy", "large", 64000)};
    fleet.load["small"].waitingMilliCores = 20000;
    fleet.load["large"].waitingMilliCores = 400000;
    PoolBalancer balancer;
    TimePoint now{1000s};
    std::vector<MoveInstance> moves;
    for (const auto end = now + runnableBound; now < end && moves.empty(); now += 100ms)
        moves = balancer.decide(fleet, now);
    const bool whole = std::ranges::any_of(
            moves, [](const MoveInstance &it) { return it.instance == "whole"; });
    BOOST_TEST((whole || !balancer.yielding().contains("whole")));
}

// Guards against a task that waits for faster workers of which none has the capacity for it.
BOOST_AUTO_TEST_CASE(SlowWorkerTakesATaskThatNoFasterOneCanHold)
{
    SchedulerHarness harness;
    harness.addWorker("fast", 2);
    harness.addJob(job("a", {step(2)}));
    harness.decide();
    harness.addWorker("slow", 8);
    harness.addJob(job("b", {step(4)}));
    harness.decide();
    harness.end({"a", 0, 0, 0}, RunEnd::Done);
    harness.addJob(job("c", {step(2)}));
    harness.decide();
    makeSlow(harness);
    auto large = step(1);
    large.need.milliCores = 3000;
    harness.addJob(job("large", {large}));
    harness.decide();
    BOOST_TEST(harness.workerOf({"large", 0, 0, 0}) == "slow");
}

// The percentage of a resumed run includes the progress of earlier runs. Guards against a run time
// that is projected from it and far too short: all other workers of the step count as slow.
BOOST_AUTO_TEST_CASE(ResumedRunDoesNotMakeOtherWorkersLookSlow)
{
    SchedulerHarness harness;
    harness.addWorker("w1", 2);
    harness.addWorker("w2", 2);
    harness.addJob(job("j", {step(4)}));
    harness.decide();
    const TaskId resumed{"j", 0, 0, 0};
    const auto resumedOn = harness.workerOf(resumed);
    const std::string other = resumedOn == "w1" ? "w2" : "w1";
    harness.workers[resumedOn].end(resumed, RunEnd::HoldExpired, "checkpoint at 60 %");
    harness.reportFrom(resumedOn);
    harness.decide();
    BOOST_REQUIRE(harness.workerOf(resumed) == resumedOn);
    BOOST_REQUIRE(harness.workers[resumedOn].running[resumed].checkpoint == "checkpoint at 60 %");
    constexpr int intervals = 5;
    for (int n = 1; n <= intervals; ++n) {
        harness.advanceTime(100ms);
        for (auto &[id, worker] : harness.workers) {
            for (auto &[task, row] : worker.running)
                row.percent = 10 * n + (task == resumed ? 60 : 0);
        }
        harness.reportAll();
    }
    BOOST_TEST(!harness.scheduler.worker(other)->health.slow(harness.now));
}

// Guards against a job without any run while slow workers are free, because the faster ones are
// occupied for long.
BOOST_AUTO_TEST_CASE(SlowWorkersTakeTasksThatFasterOnesLeaveWaiting)
{
    SchedulerHarness harness;
    harness.addWorker("fast", 1);
    harness.addWorker("slow", 8);
    harness.addJob(job("a", {step(4)}));
    harness.decide();
    makeSlow(harness);
    harness.addJob(job("waiting", {step(1)}));
    const TaskId task{"waiting", 0, 0, 0};
    harness.decide();
    BOOST_TEST(harness.workerOf(task).empty());
    const bool runs = runsWithin(harness, task, runnableBound, [&harness] {
        // The runs go on, and those of the slow worker still show that it is slow.
        for (const auto *id : {"fast", "slow"}) {
            for (auto &[run, row] : harness.workers[id].running)
                ++row.percent;
        }
    });
    BOOST_TEST(runs);
}

// A small step that waits for a worker with a recent success says nothing about free capacity.
// Guards against a search that skips all steps whose tasks are as large or larger.
BOOST_AUTO_TEST_CASE(StepThatWaitsForAnotherReasonThanRoomDoesNotHideLargerOnes)
{
    SchedulerHarness harness;
    harness.addWorker("w1", 8);
    harness.addWorker("w2", 8);
    harness.addJob(job("a", {step(1)}, 2));
    harness.decide();
    harness.end({"a", 0, 0, 0}, RunEnd::Failed);
    auto large = step(1);
    large.need.milliCores = 4000;
    harness.addJob(job("b", {large}));
    harness.decide();
    BOOST_TEST(harness.workerOf({"a", 0, 0, 0}).empty());
    BOOST_TEST(!harness.workerOf({"b", 0, 0, 0}).empty());
}

// Guards against a task that waits for ever because the pool counts as large enough: the capacity
// of its instance shrank, and the task does not fit any more.
BOOST_AUTO_TEST_CASE(PoolGetsAnInstanceForATaskThatExceedsTheCapacityOfItsOwn)
{
    SchedulerHarness harness;
    auto &worker = harness.addWorker("w", 64);
    worker.description.capacity.milliCores = 16000;
    harness.scheduler.addOrUpdateWorker(worker.description, harness.now);
    auto large = step(1);
    large.need.milliCores = 32000;
    harness.addJob(job("large", {large}));
    harness.decide();
    const auto moves = movesOf(harness, runnableBound);
    BOOST_REQUIRE(!moves.empty());
    BOOST_TEST(moves[0].instance == "spare");
    BOOST_TEST(moves[0].pool == "pool");
}

// The same for persistent tasks that need an instance each, of which one became too small.
BOOST_AUTO_TEST_CASE(PoolGetsAnInstanceForAPersistentTaskThatFitsNoneWithoutItsSiblings)
{
    SchedulerHarness harness;
    for (const auto *id : {"w1", "w2", "w3"})
        harness.addWorker(id, 64);
    auto &shrunk = harness.workers["w2"].description;
    shrunk.capacity.memoryMb = 1000;
    harness.scheduler.addOrUpdateWorker(shrunk, harness.now);
    auto exclusive = step(3);
    exclusive.persistent = true;
    exclusive.maxPerWorker = 1;
    exclusive.need = {8000, 30000, 0};
    harness.addJob(job("service", {exclusive}));
    harness.decide();
    const auto moves = movesOf(harness, runnableBound);
    BOOST_REQUIRE(!moves.empty());
    BOOST_TEST(moves[0].instance == "spare");
    BOOST_TEST(moves[0].pool == "pool");
}

// Guards against tasks of a crashed worker that wait for the end of their hold, over 3 s, although
// the list of instances shows at once that the worker has ended.
BOOST_AUTO_TEST_CASE(SilentWorkerWithRunsAsksForTheListOfInstances)
{
    SchedulerHarness harness;
    harness.addWorker("idle");
    harness.addWorker("busy");
    harness.addJob(job("j", {step(1)}));
    harness.decide();
    const auto worker = harness.workerOf({"j", 0, 0, 0});
    harness.scheduler.holdUnanswered(worker == "idle" ? "busy" : "idle", harness.now);
    BOOST_TEST(!harness.scheduler.hasSilentWorkers(harness.now));
    harness.scheduler.holdUnanswered(worker, harness.now);
    BOOST_TEST(harness.scheduler.hasSilentWorkers(harness.now));
    harness.scheduler.retireWorker(worker, Scheduler::WorkerEnd::Down, harness.now);
    BOOST_TEST(!harness.scheduler.hasSilentWorkers(harness.now));
}

BOOST_AUTO_TEST_SUITE_END()
