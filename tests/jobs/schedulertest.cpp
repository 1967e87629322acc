#include "schedulerharness.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace dragonflysill;
using namespace dragonflysill::test;

BOOST_AUTO_TEST_SUITE(SchedulerDecisions)

// Guards against callers that hear of a completed job only after all queued progress of others was
// saved.
BOOST_AUTO_TEST_CASE(EndedJobsAreSavedFirstEvenIfTheyWereQueuedBefore)
{
    SchedulerHarness harness;
    harness.addWorker("a", 40);
    for (const auto *id : {"1", "2", "3"})
        harness.addJob(job(id, {step(2)}));
    harness.decide();
    harness.end({"3", 0, 0, 0}, RunEnd::Done);
    harness.end({"3", 0, 0, 1}, RunEnd::Done);
    BOOST_TEST(harness.scheduler.hasUrgentUpdates());
    const auto first = harness.scheduler.takeUpdates(1);
    BOOST_REQUIRE(first.size() == 1U);
    BOOST_TEST(first[0].job == "3");
    BOOST_TEST(!harness.scheduler.hasUrgentUpdates());
    BOOST_TEST(harness.scheduler.takeUpdates(10).size() == 2U);
}

// A start that was not sent needs no stop before the task starts elsewhere.
BOOST_AUTO_TEST_CASE(StartThatWasNotSentIsGivenToAnotherWorkerAtOnce)
{
    SchedulerHarness harness;
    harness.addWorker("w1");
    harness.addWorker("w2");
    harness.addJob(job("j", {step(1)}));
    const auto start = ordersOf<StartTask>(harness.decide(true)).at(0);
    harness.scheduler.startRefused(start, StartRefusal::NotSent, harness.now);
    const auto actions = harness.decide(true);
    BOOST_TEST(ordersOf<StopTask>(actions).empty());
    BOOST_TEST(ordersOf<StartTask>(actions).at(0).worker != start.worker);
}

// Guards against two writes of the same job in flight, of which the second would always conflict.
BOOST_AUTO_TEST_CASE(JobIsNotTakenForAnotherWriteUntilItsWriteHasEnded)
{
    SchedulerHarness harness;
    harness.addWorker("a", 40);
    harness.addJob(job("1", {step(2)}));
    harness.decide();
    const auto first = harness.scheduler.takeUpdates(10);
    BOOST_REQUIRE(first.size() == 1U);
    harness.end({"1", 0, 0, 0}, RunEnd::Done);
    BOOST_TEST(harness.scheduler.takeUpdates(10).empty());
    harness.scheduler.updatesSaved(first, true);
    BOOST_TEST(harness.scheduler.takeUpdates(10).size() == 1U);
}

BOOST_AUTO_TEST_CASE(StepsRunInOrderAndTheJobCompletes)
{
    SchedulerHarness harness;
    harness.addWorker("w1");
    harness.addJob(job("j", {step(2), step(1, {0})}));
    BOOST_TEST(ordersOf<StartTask>(harness.decide()).size() == 2U);
    harness.end({"j", 0, 0, 0}, RunEnd::Done);
    BOOST_TEST(harness.decide().empty());
    harness.end({"j", 0, 0, 1}, RunEnd::Done);
    const auto starts = ordersOf<StartTask>(harness.decide());
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts[0].task.step == 1);
    harness.end({"j", 0, 1, 0}, RunEnd::Done);
    BOOST_TEST((harness.scheduler.job("j")->progress().state == JobStatus::Completed));
    BOOST_TEST(harness.scheduler.openJobs() == 0U);
}

// A worker forgets an acknowledged end. If it had not been saved, it would be lost if the owner
// ends.
BOOST_AUTO_TEST_CASE(EndsAreAcknowledgedOnlyAfterTheyAreSaved)
{
    SchedulerHarness harness;
    harness.addWorker("w1");
    harness.addJob(job("j", {step(2)}));
    harness.decide();
    harness.saveAll();
    harness.end({"j", 0, 0, 0}, RunEnd::Done);
    BOOST_TEST(harness.scheduler.holdRequest("w1", harness.now).acknowledgedEnds == 0);
    harness.saveAll();
    BOOST_TEST(harness.scheduler.holdRequest("w1", harness.now).acknowledgedEnds == 1);
}

// If the second end of a task is acknowledged before the first one is saved, and the owner then
// ends, the next owner learns of neither.
BOOST_AUTO_TEST_CASE(SecondEndOfATaskIsAcknowledgedOnlyAfterTheFirstIsSaved)
{
    SchedulerHarness harness;
    harness.addWorker("w1", 1);
    auto speculativeStep = step(1);
    speculativeStep.speculative = true;
    harness.addJob(job("j", {speculativeStep}));
    harness.decide();
    harness.addWorker("w2", 1);
    harness.scheduler.holdUnanswered("w1", harness.now);
    harness.decide();
    harness.saveAll();
    harness.workers["w1"].end({"j", 0, 0, 0}, RunEnd::Done);
    harness.workers["w2"].end({"j", 0, 0, 0}, RunEnd::Done);
    harness.reportAll();
    BOOST_TEST(harness.scheduler.holdRequest("w1", harness.now).acknowledgedEnds == 0);
    BOOST_TEST(harness.scheduler.holdRequest("w2", harness.now).acknowledgedEnds == 0);
    harness.saveAll();
    BOOST_TEST(harness.scheduler.holdRequest("w2", harness.now).acknowledgedEnds == 1);
}

// A worker that does not answer may restart. An acknowledgement for the previous incarnation would
// make the new one forget an end that was not processed.
BOOST_AUTO_TEST_CASE(UnresponsiveWorkerGetsNoAcknowledgements)
{
    SchedulerHarness harness;
    harness.addWorker("w1");
    harness.addJob(job("j", {step(2)}));
    harness.decide();
    harness.end({"j", 0, 0, 0}, RunEnd::Done);
    harness.saveAll();
    BOOST_TEST(harness.scheduler.holdRequest("w1", harness.now).acknowledgedEnds == 1);
    harness.scheduler.holdUnanswered("w1", harness.now);
    BOOST_TEST(harness.scheduler.holdRequest("w1", harness.now).acknowledgedEnds == 0);
}

// The ends in a failed save must not be acknowledged.
BOOST_AUTO_TEST_CASE(FailedSaveIsRepeated)
{
    SchedulerHarness harness;
    harness.addWorker("w1");
    harness.addJob(job("j", {step(1)}));
    harness.decide();
    harness.end({"j", 0, 0, 0}, RunEnd::Done);
    const auto updates = harness.scheduler.takeUpdates(10);
    BOOST_REQUIRE(updates.size() == 1U);
    harness.scheduler.updatesSaved(updates, false);
    BOOST_TEST(harness.scheduler.holdRequest("w1", harness.now).acknowledgedEnds == 0);
    BOOST_TEST(harness.scheduler.takeUpdates(10).size() == 1U);
}

// An unanswered start order may take effect seconds later, when a second run has started.
BOOST_AUTO_TEST_CASE(UnansweredStartIsStoppedBeforeTheTaskStartsElsewhere)
{
    SchedulerHarness harness;
    harness.addWorker("w1");
    harness.addWorker("w2");
    harness.addJob(job("j", {step(1)}));
    const auto start = ordersOf<StartTask>(harness.decide(true)).at(0);
    harness.scheduler.startUnanswered(start, harness.now);
    const auto actions = harness.decide(true);
    BOOST_TEST(ordersOf<StartTask>(actions).empty());
    const auto stop = ordersOf<StopTask>(actions).at(0);
    BOOST_TEST(stop.worker == start.worker);
    harness.scheduler.stopConfirmed(stop, harness.now);
    harness.reportAll();
    BOOST_TEST(ordersOf<StartTask>(harness.decide(true)).empty());
    harness.advanceTime(300ms);
    harness.reportAll();
    const auto again = ordersOf<StartTask>(harness.decide(true));
    BOOST_REQUIRE(again.size() == 1U);
    BOOST_TEST(again[0].run > start.run);
}

// Repeating an answered stop order would restart the wait for the stop time with each answer, so
// the task would never start elsewhere.
BOOST_AUTO_TEST_CASE(AnsweredStopIsNotRepeated)
{
    SchedulerHarness harness;
    harness.addWorker("w1");
    harness.addJob(job("j", {step(1)}));
    const auto start = ordersOf<StartTask>(harness.decide(true)).at(0);
    harness.scheduler.startUnanswered(start, harness.now);
    const auto stop = ordersOf<StopTask>(harness.decide(true)).at(0);
    harness.scheduler.stopConfirmed(stop, harness.now);
    harness.advanceTime(250ms);
    const auto holdSentAt = harness.now;
    harness.advanceTime(600ms);
    BOOST_TEST(ordersOf<StopTask>(harness.decide(true)).empty());
    harness.scheduler.holdAnswered("w1", harness.workers["w1"].report(harness.now), holdSentAt,
                                   harness.now);
    BOOST_TEST(ordersOf<StartTask>(harness.decide(true)).size() == 1U);
}

// A worker that does not answer may still run its tasks until its hold expires.
BOOST_AUTO_TEST_CASE(TasksOfUnresponsiveWorkerWaitForTheEndOfItsHold)
{
    SchedulerHarness harness;
    harness.addWorker("w1", 1);
    harness.addJob(job("j", {step(1)}));
    harness.decide();
    harness.reportAll();
    const auto lastHold = harness.scheduler.holdRequest("w1", harness.now);
    BOOST_TEST(lastHold.holdUntil.has_value());
    harness.addWorker("w2", 1);
    harness.scheduler.holdUnanswered("w1", harness.now);
    harness.advanceTime(2900ms);
    BOOST_TEST(ordersOf<StartTask>(harness.decide(true)).empty());
    harness.advanceTime(400ms);
    const auto starts = ordersOf<StartTask>(harness.decide(true));
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts[0].worker == "w2");
}

// Repeated hold requests to a worker that does not answer must not extend its runs indefinitely.
BOOST_AUTO_TEST_CASE(HoldOfUnresponsiveWorkerIsNotExtended)
{
    SchedulerHarness harness;
    harness.addWorker("w1");
    harness.scheduler.holdUnanswered("w1", harness.now);
    BOOST_TEST(!harness.scheduler.holdRequest("w1", harness.now).holdUntil.has_value());
}

BOOST_AUTO_TEST_CASE(SecondAttemptGoesToAnotherWorkerAndTheLastFailureFailsTheJob)
{
    SchedulerHarness harness;
    harness.addWorker("w1", 2);
    harness.addWorker("w2", 2);
    harness.addJob(job("j", {step(1)}, 2));
    harness.decide();
    const TaskId task{"j", 0, 0, 0};
    const auto first = harness.workerOf(task);
    harness.end(task, RunEnd::Failed);
    BOOST_TEST(harness.decide().empty());
    harness.advanceTime(1500ms);
    harness.reportAll();
    harness.decide();
    BOOST_TEST(harness.workerOf(task) != first);
    BOOST_TEST(!harness.workerOf(task).empty());
    harness.end(task, RunEnd::Failed);
    BOOST_TEST((harness.scheduler.job("j")->progress().state == JobStatus::Failed));
}

// A worker that starts to fail all its runs looks healthy until the first of them ends.
BOOST_AUTO_TEST_CASE(LastAttemptGoesToAWorkerThatHasCompletedARunSinceTheFailure)
{
    SchedulerHarness harness;
    harness.addWorker("w1", 1);
    harness.addJob(job("j", {step(1)}, 2));
    harness.decide();
    harness.addWorker("w2", 2);
    harness.addWorker("w3", 1);
    harness.addJob(job("other", {step(1)}));
    harness.decide();
    const auto proven = harness.workerOf({"other", 0, 0, 0});
    harness.end({"j", 0, 0, 0}, RunEnd::Failed);
    BOOST_TEST(ordersOf<StartTask>(harness.decide()).empty());
    harness.advanceTime(100ms);
    harness.end({"other", 0, 0, 0}, RunEnd::Done);
    const auto starts = ordersOf<StartTask>(harness.decide());
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts[0].worker == proven);
}

BOOST_AUTO_TEST_CASE(SlowWorkerGetsNoTasksWhileOthersCanTakeThem)
{
    SchedulerHarness harness;
    harness.addWorker("w1", 2);
    harness.addWorker("w2", 2);
    harness.addJob(job("j", {step(4)}));
    harness.decide();
    harness.addWorker("w3", 4);
    harness.advanceTime(500ms);
    for (const auto &[id, percent] : {std::pair{"w2", 60}, std::pair{"w1", 10}}) {
        for (auto &[task, row] : harness.workers[id].running)
            row.percent = percent;
        harness.reportFrom(id);
    }
    // Free a core on the slow worker, which is fuller than the idle one.
    harness.end(harness.workers["w1"].running.begin()->first, RunEnd::Done);
    harness.addJob(job("next", {step(1)}));
    const auto starts = ordersOf<StartTask>(harness.decide());
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts[0].worker == "w3");
}

// Jobs may be far larger than declared, which does not mean that their workers are slow.
BOOST_AUTO_TEST_CASE(LongRunsOfOneStepDoNotMakeTheirWorkersSlow)
{
    SchedulerHarness harness;
    harness.addWorker("w1", 4);
    harness.addWorker("w2", 4);
    harness.addJob(job("j", {step(6)}));
    harness.decide();
    harness.advanceTime(5s);
    for (const std::string id : {"w1", "w2"}) {
        for (auto &[task, row] : harness.workers[id].running)
            row.percent = 20;
    }
    harness.reportAll();
    BOOST_TEST(!harness.scheduler.worker("w1")->health.slow(harness.now));
    BOOST_TEST(!harness.scheduler.worker("w2")->health.slow(harness.now));
}

// Stopped runs, expired holds and ends with a gang are caused by the system and must not fail a
// job.
BOOST_AUTO_TEST_CASE(OnlyFailuresCountAsAttempts)
{
    SchedulerHarness harness;
    harness.addWorker("w1");
    harness.addJob(job("j", {step(1)}, 1));
    for (const auto how :
         {RunEnd::Stopped, RunEnd::HoldExpired, RunEnd::GangMemberEnded, RunEnd::GangIncomplete}) {
        harness.decide();
        harness.end({"j", 0, 0, 0}, how);
    }
    BOOST_TEST((harness.scheduler.job("j")->progress().state == JobStatus::Running));
}

BOOST_AUTO_TEST_CASE(CancelledJobIsStoppedAndNotStartedAgain)
{
    SchedulerHarness harness;
    harness.addWorker("w1", 1);
    harness.addJob(job("j", {step(3)}));
    harness.decide();
    harness.scheduler.cancelJob("j", harness.now);
    BOOST_TEST(ordersOf<StopTask>(harness.decide()).size() == 1U);
    harness.reportAll();
    BOOST_TEST(harness.decide().empty());
    BOOST_TEST(harness.workers["w1"].running.empty());
}

BOOST_AUTO_TEST_CASE(SpreadingLimitsTheTasksOfAStepOnOneWorker)
{
    SchedulerHarness harness;
    harness.addWorker("w1", 8);
    harness.addWorker("w2", 8);
    auto spread = step(3);
    spread.maxPerWorker = 1;
    harness.addJob(job("j", {spread}));
    std::set<std::string> used;
    const auto starts = ordersOf<StartTask>(harness.decide());
    for (const auto &it : starts)
        used.insert(it.worker);
    BOOST_TEST(starts.size() == 2U);
    BOOST_TEST(used.size() == 2U);
}

BOOST_AUTO_TEST_CASE(GangStartsAsAWholeOrNotAtAll)
{
    SchedulerHarness harness;
    harness.addWorker("w1", 2);
    auto gang = step(3);
    gang.gang = true;
    harness.addJob(job("j", {gang}));
    BOOST_TEST(harness.decide().empty());
    harness.addWorker("w2", 2);
    const auto starts = ordersOf<StartTask>(harness.decide());
    BOOST_TEST(starts.size() == 3U);
    for (const auto &it : starts)
        BOOST_TEST(it.run == starts[0].run);
}

BOOST_AUTO_TEST_CASE(OneEndOfAGangCompletesItsStep)
{
    SchedulerHarness harness;
    harness.addWorker("w1", 4);
    auto gang = step(3);
    gang.gang = true;
    harness.addJob(job("j", {gang}));
    harness.decide();
    harness.end({"j", 0, 0, 1}, RunEnd::Done);
    BOOST_TEST((harness.scheduler.job("j")->progress().state == JobStatus::Completed));
}

// A job that fits on no worker must not block other jobs.
BOOST_AUTO_TEST_CASE(JobThatNeverFitsDoesNotBlockOtherJobs)
{
    SchedulerHarness harness;
    harness.addWorker("w1", 4);
    auto large = step(1);
    large.need.milliCores = 100000;
    harness.addJob(job("a", {large}));
    harness.addJob(job("b", {step(1)}));
    const auto starts = ordersOf<StartTask>(harness.decide());
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts[0].task.job == "b");
}

BOOST_AUTO_TEST_CASE(DrainingWorkerGetsNoNewTasks)
{
    SchedulerHarness harness;
    auto &worker = harness.addWorker("w1");
    worker.description.draining = true;
    harness.scheduler.addOrUpdateWorker(worker.description, harness.now);
    harness.addJob(job("j", {step(1)}));
    BOOST_TEST(harness.decide().empty());
}

BOOST_AUTO_TEST_CASE(OccurrencesStartAtTheirTimes)
{
    SchedulerHarness harness;
    harness.addWorker("w1");
    auto timed = job("j", {step(1)});
    timed.spec.scheduled = true;
    timed.spec.occurrences = 2;
    timed.spec.firstDueMs = harness.unixMs + 1000;
    timed.spec.interval = 500ms;
    harness.addJob(timed);
    BOOST_TEST(harness.decide().empty());
    harness.unixMs += 1000;
    BOOST_TEST(ordersOf<StartTask>(harness.decide()).at(0).task.occurrence == 0);
    harness.unixMs += 500;
    BOOST_TEST(ordersOf<StartTask>(harness.decide()).at(0).task.occurrence == 1);
}

// Moving all tasks of a persistent step at once would exceed its availability budget.
BOOST_AUTO_TEST_CASE(PersistentTasksAreMovedAwayWithinTheBudget)
{
    SchedulerHarness harness;
    harness.addWorker("w1", 4);
    auto serving = step(3);
    serving.persistent = true;
    serving.maxUnavailable = 1;
    harness.addJob(job("j", {serving}));
    harness.decide();
    for (auto &[task, row] : harness.workers["w1"].running)
        row.percent = 100;
    harness.reportAll();
    harness.addWorker("w2", 4);
    harness.scheduler.setLeaving("w1", true);
    BOOST_TEST(ordersOf<StopTask>(harness.decide()).size() == 1U);
    harness.reportAll();
    BOOST_TEST(ordersOf<StopTask>(harness.decide()).empty());
    BOOST_TEST(harness.workers["w2"].running.size() == 1U);
    for (auto &[task, row] : harness.workers["w2"].running)
        row.percent = 100;
    harness.reportAll();
    BOOST_TEST(ordersOf<StopTask>(harness.decide()).size() == 1U);
}

// Guards against a wave that is late because tasks that may move only one at a time begin to leave
// when their instance's turn has come.
BOOST_AUTO_TEST_CASE(PersistentTasksThatNeedManyRoundsLeaveBeforeTheTurnOfTheirInstance)
{
    SchedulerHarness harness;
    harness.addWorker("w1", 4);
    auto serving = step(4);
    serving.persistent = true;
    serving.maxUnavailable = 1;
    harness.addJob(job("j", {serving}));
    harness.decide();
    for (auto &[task, row] : harness.workers["w1"].running)
        row.percent = 100;
    harness.reportAll();
    harness.addWorker("w2", 4);
    harness.scheduler.setMaintenanceDeadline("w1", harness.now + 20s);
    BOOST_TEST(ordersOf<StopTask>(harness.decide()).empty());
    harness.scheduler.setMaintenanceDeadline("w1", harness.now + 15s);
    BOOST_TEST(ordersOf<StopTask>(harness.decide()).size() == 1U);
}

// Guards against a wave that is late because the tasks of its instances are moved to other
// instances of the wave and have to be moved again, or only when each instance's turn has come.
BOOST_AUTO_TEST_CASE(PersistentTasksLeaveInstancesThatAwaitMaintenanceForOthers)
{
    SchedulerHarness harness;
    harness.addWorker("w1", 4);
    auto serving = step(2);
    serving.persistent = true;
    serving.maxUnavailable = 1;
    harness.addJob(job("j", {serving}));
    harness.decide();
    for (auto &[task, row] : harness.workers["w1"].running)
        row.percent = 100;
    harness.reportAll();
    harness.addWorker("w2", 4);
    // Time for more than two rounds of moves is left.
    harness.scheduler.setMaintenanceDeadline("w1", harness.now + 60s);
    BOOST_TEST(ordersOf<StopTask>(harness.decide()).empty());
    harness.scheduler.setMaintenanceDeadline("w1", harness.now + 3s);
    harness.scheduler.setMaintenanceDeadline("w2", harness.now + 3s);
    BOOST_TEST(ordersOf<StopTask>(harness.decide()).empty());
    harness.scheduler.setLeaving("w1", true);
    BOOST_TEST(ordersOf<StopTask>(harness.decide()).empty());
    const auto load = harness.scheduler.loads(harness.now).at("pool");
    BOOST_REQUIRE(load.lacking.size() == 1U);
    BOOST_TEST((load.lacking.front().need == serving.need));
    BOOST_TEST(load.spread == 1);
    harness.addWorker("w3", 4);
    BOOST_TEST(ordersOf<StopTask>(harness.decide()).size() == 1U);
    harness.reportAll();
    harness.decide();
    BOOST_TEST(harness.workers["w3"].running.size() == 1U);
    harness.advanceTime(1000ms);
    harness.decide();
    BOOST_TEST(harness.scheduler.loads(harness.now).at("pool").lacking.empty());
}

// Guards against persistent tasks that never leave an instance of a full pool, because tasks that
// are not persistent take all room as soon as it becomes free.
BOOST_AUTO_TEST_CASE(PersistentTasksLeaveTheirWorkerAlthoughManyOthersAreBusy)
{
    SchedulerHarness harness;
    harness.addWorker("w0", 2);
    auto serving = step(1);
    serving.persistent = true;
    harness.addJob(job("serving", {serving}));
    harness.decide();
    harness.workers["w0"].running.begin()->second.percent = 100;
    for (int n = 1; n <= 8; ++n)
        harness.addWorker("w" + std::to_string(n), 1);
    harness.addJob(job("busy", {step(8)}));
    harness.decide();
    harness.reportAll();
    harness.scheduler.setLeaving("w0", true);
    BOOST_TEST(ordersOf<StopTask>(harness.decide()).size() == 1U);
}

// Two owners that are active at the same time would each use the availability budget.
BOOST_AUTO_TEST_CASE(InheritedPersistentTasksAreNotMovedWhileThePreviousOwnerMayBeActive)
{
    SchedulerHarness harness;
    auto serving = step(2);
    serving.persistent = true;
    serving.maxUnavailable = 1;
    harness.addJob(job("j", {serving}), true);
    harness.addWorker("w1", 4);
    harness.addWorker("w2", 4);
    for (int n = 0; n < 2; ++n) {
        const TaskId task{"j", 0, 0, n};
        harness.workers["w1"].running[task] = {task, 1, "", 100, {}};
    }
    harness.reportAll();
    harness.scheduler.setLeaving("w1", true);
    for (auto passed = 0ms; passed < SchedulerSettings{}.previousOwner; passed += 100ms) {
        BOOST_TEST(ordersOf<StopTask>(harness.decide()).empty());
        harness.advanceTime(100ms);
        harness.reportAll();
    }
    BOOST_TEST(ordersOf<StopTask>(harness.decide()).size() == 1U);
}

BOOST_AUTO_TEST_CASE(SlowSpeculativeTaskGetsASecondCopyAndTheSlowerOneIsStopped)
{
    SchedulerHarness harness;
    harness.addWorker("w1", 1);
    auto speculativeStep = step(1);
    speculativeStep.speculative = true;
    harness.addJob(job("j", {speculativeStep}));
    harness.decide();
    harness.addWorker("w2", 1);
    for (int n = 1; n <= 5; ++n) {
        harness.advanceTime(500ms);
        harness.workers["w1"].running.begin()->second.percent = n;
        harness.reportAll();
        harness.decide();
    }
    const TaskId task{"j", 0, 0, 0};
    BOOST_REQUIRE(harness.workers["w2"].running.contains(task));
    harness.workers["w2"].end(task, RunEnd::Done);
    harness.reportFrom("w2");
    BOOST_TEST(ordersOf<StopTask>(harness.decide()).at(0).worker == "w1");
}

BOOST_AUTO_TEST_CASE(StalledTaskIsMovedToAnotherWorker)
{
    SchedulerHarness harness;
    harness.addWorker("w1", 1);
    harness.addJob(job("j", {step(1)}));
    harness.decide();
    harness.addWorker("w2", 1);
    for (int n = 0; n < 4; ++n) {
        harness.reportAll();
        harness.decide();
        harness.advanceTime(600ms);
    }
    harness.reportAll();
    harness.decide();
    harness.reportAll();
    harness.decide();
    BOOST_TEST(harness.workerOf({"j", 0, 0, 0}) == "w2");
}

// If a worker has not been asked for its runs, their progress is unknown and must not count as a
// stall.
BOOST_AUTO_TEST_CASE(WorkerWithoutReportsDoesNotCountAsStalled)
{
    SchedulerHarness harness;
    harness.addWorker("w1", 1);
    harness.addJob(job("j", {step(1)}));
    harness.decide();
    harness.advanceTime(2000ms);
    BOOST_TEST(ordersOf<StopTask>(harness.decide(true)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Takeover)

BOOST_AUTO_TEST_CASE(RunsOfThePreviousOwnerContinue)
{
    SchedulerHarness harness(1000);
    auto &worker = harness.workers["w1"];
    worker.running[{"j", 0, 0, 0}] = {{"j", 0, 0, 0}, 1, "", 50, {}};
    harness.addJob(job("j", {step(2)}), true);
    harness.addWorker("w1");
    const auto starts = ordersOf<StartTask>(harness.decide());
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts[0].task.index == 1);
    BOOST_TEST(starts[0].run == 1001);
}

// A worker of the previous owner that has not answered may run the inherited task.
BOOST_AUTO_TEST_CASE(InheritedTasksWaitForAllInheritedWorkers)
{
    SchedulerHarness harness(1000);
    WorkerDescription silent;
    silent.id = "w2";
    silent.pool = "pool";
    silent.instance = "machine-2";
    harness.scheduler.addInheritedWorker(silent, harness.now);
    harness.addJob(job("old", {step(1)}), true);
    harness.addJob(job("new", {step(1)}));
    harness.addWorker("w1");
    const auto starts = ordersOf<StartTask>(harness.decide());
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts[0].task.job == "new");
    harness.advanceTime(4000ms);
    harness.reportAll();
    BOOST_TEST(harness.decide().empty());
    harness.advanceTime(1300ms);
    harness.reportAll();
    BOOST_TEST(ordersOf<StartTask>(harness.decide()).at(0).task.job == "old");
}

// After a move of an instance, its old worker never answers again. Waiting for it would delay the
// inherited tasks after each move.
BOOST_AUTO_TEST_CASE(NewerWorkerOnTheSameInstanceEndsTheWaitForTheOlder)
{
    SchedulerHarness harness(1000);
    WorkerDescription old;
    old.id = "w1";
    old.pool = "pool";
    old.instance = "machine-1";
    harness.scheduler.addInheritedWorker(old, harness.now);
    harness.addJob(job("j", {step(1)}), true);
    harness.addWorker("w2", 4, "machine-1");
    BOOST_TEST(ordersOf<StartTask>(harness.decide()).size() == 1U);
}

// The step of a reported run is not ready if another worker has yet to report the ends of the
// earlier step. Stopping such a run would lead to a second start of its task.
BOOST_AUTO_TEST_CASE(RunOfALaterStepIsKeptUntilTheEarlierEndsAreKnown)
{
    SchedulerHarness harness(1000);
    harness.addJob(job("j", {step(1), step(1, {0})}), true);
    WorkerDescription late;
    late.id = "w2";
    late.pool = "pool";
    harness.scheduler.addInheritedWorker(late, harness.now);
    harness.workers["w1"].running[{"j", 0, 1, 0}] = {{"j", 0, 1, 0}, 1, "", 50, {}};
    harness.addWorker("w1");
    BOOST_TEST(harness.decide().empty());
    harness.workers["w2"].ended.push_back({1, {"j", 0, 0, 0}, 1, RunEnd::Done, ""});
    harness.addWorker("w2");
    BOOST_TEST(harness.decide().empty());
    harness.end({"j", 0, 1, 0}, RunEnd::Done);
    BOOST_TEST((harness.scheduler.job("j")->progress().state == JobStatus::Completed));
}

// If the end of a step was lost with its worker, an inherited run of the next step is stopped. Its
// task must not start elsewhere before the stop has taken effect, or both runs overlap.
BOOST_AUTO_TEST_CASE(TaskWaitsForTheEndOfAnEarlierRunThatIsBeingStopped)
{
    SchedulerHarness harness(1000);
    harness.addJob(job("j", {step(1), step(1, {0})}), true);
    const TaskId first{"j", 0, 0, 0};
    const TaskId second{"j", 0, 1, 0};
    harness.workers["w1"].running[second] = {second, 1, "", 50, {}};
    harness.addWorker("w1");
    harness.addWorker("w2");
    const auto actions = harness.decide(true);
    BOOST_TEST(ordersOf<StopTask>(actions).size() == 1U);
    BOOST_TEST(ordersOf<StartTask>(actions).size() == 1U);
    harness.workers["w2"].ended.push_back({1, first, 1001, RunEnd::Done, ""});
    harness.reportFrom("w2");
    BOOST_TEST(ordersOf<StartTask>(harness.decide(true)).empty());
    harness.workers["w1"].end(second, RunEnd::Done);
    harness.reportFrom("w1");
    BOOST_TEST(ordersOf<StartTask>(harness.decide(true)).empty());
    BOOST_TEST((harness.scheduler.job("j")->progress().state == JobStatus::Completed));
}

BOOST_AUTO_TEST_CASE(TaskStartsOnceItsEarlierRunHasBeenStopped)
{
    SchedulerHarness harness(1000);
    harness.addJob(job("j", {step(1), step(1, {0})}), true);
    const TaskId second{"j", 0, 1, 0};
    harness.workers["w1"].running[second] = {second, 1, "", 50, {}};
    harness.addWorker("w1");
    harness.decide();
    harness.workers["w1"].end({"j", 0, 0, 0}, RunEnd::Done);
    harness.reportFrom("w1");
    BOOST_TEST(ordersOf<StartTask>(harness.decide()).size() == 1U);
}

// If an instance is moved while the store is unavailable, ends that have not been saved are lost
// with its worker. The worker must not count as empty before.
BOOST_AUTO_TEST_CASE(WorkerIsNotEmptyBeforeItsEndsAreSaved)
{
    SchedulerHarness harness;
    harness.addWorker("w1");
    harness.addJob(job("j", {step(1)}));
    harness.decide();
    BOOST_TEST(!harness.scheduler.worker("w1")->empty());
    harness.end({"j", 0, 0, 0}, RunEnd::Done);
    BOOST_TEST(!harness.scheduler.worker("w1")->empty());
    harness.saveAll();
    BOOST_TEST(harness.scheduler.worker("w1")->empty());
}

// Idle workers are polled only every 2 s. A worker that has only inherited runs must not be treated
// as idle.
BOOST_AUTO_TEST_CASE(WorkerWithInheritedRunsIsBusy)
{
    SchedulerHarness harness(1000);
    harness.addJob(job("j", {step(1), step(1, {0})}), true);
    harness.workers["w1"].running[{"j", 0, 1, 0}] = {{"j", 0, 1, 0}, 1, "", 50, {}};
    harness.addWorker("w1");
    BOOST_TEST(harness.scheduler.worker("w1")->busy());
}

// An end of a step that is not ready must not be dropped and acknowledged.
BOOST_AUTO_TEST_CASE(EndOfALaterStepCountsBeforeTheEarlierEndsAreKnown)
{
    SchedulerHarness harness(1000);
    harness.addJob(job("j", {step(1), step(1, {0})}), true);
    harness.workers["w1"].ended.push_back({1, {"j", 0, 1, 0}, 1, RunEnd::Done, ""});
    harness.addWorker("w1");
    harness.workers["w2"].ended.push_back({1, {"j", 0, 0, 0}, 1, RunEnd::Done, ""});
    harness.addWorker("w2");
    BOOST_TEST(harness.decide().empty());
    BOOST_TEST((harness.scheduler.job("j")->progress().state == JobStatus::Completed));
}

// Guards against a count of waiting jobs that leaves out those whose starts were refused or got no
// answer (MIXED).
BOOST_AUTO_TEST_CASE(JobWaitsUntilAWorkerHasConfirmedAStart)
{
    enum class Answer { Refused, None, Confirmed, Listed, Ended };
    for (const auto answer :
         {Answer::Refused, Answer::None, Answer::Confirmed, Answer::Listed, Answer::Ended}) {
        SchedulerHarness harness;
        auto &worker = harness.addWorker("w1");
        harness.addJob(job("j", {step(1)}));
        const auto starts = ordersOf<StartTask>(harness.decide(true));
        BOOST_REQUIRE(starts.size() == 1U);
        const auto &start = starts.front();
        const auto *waiting = harness.scheduler.job("j");
        BOOST_TEST(!waiting->started());
        harness.advanceTime(10ms);
        if (answer == Answer::Refused) {
            harness.scheduler.startRefused(start, StartRefusal::InsufficientCapacity, harness.now);
        } else if (answer == Answer::None) {
            harness.scheduler.startUnanswered(start, harness.now);
        } else if (answer == Answer::Confirmed) {
            harness.scheduler.startConfirmed(start, 0, harness.now);
        } else {
            worker.running[start.task] = {start.task, start.run, "", 0, {}};
            if (answer == Answer::Ended)
                worker.end(start.task, RunEnd::Failed);
            harness.reportFrom("w1");
        }
        const bool begun = answer != Answer::Refused && answer != Answer::None;
        BOOST_TEST(waiting->started() == begun);
        BOOST_TEST(harness.scheduler.hasUpdates() == begun);
    }
}

// A worker reports a failure until it is acknowledged, so the next owner may see it again.
BOOST_AUTO_TEST_CASE(FailureThatWasSavedIsNotCountedAgain)
{
    SchedulerHarness harness(1000);
    JobProgress progress;
    progress.state = JobStatus::Running;
    progress.failures[{0, 0, 0}] = {1};
    harness.scheduler.addJob(job("j", {step(1)}, 2), progress, true, 0s, harness.now);
    harness.workers["w1"].ended.push_back({1, {"j", 0, 0, 0}, 1, RunEnd::Failed, ""});
    harness.addWorker("w1");
    BOOST_TEST((harness.scheduler.job("j")->progress().state == JobStatus::Running));
    BOOST_TEST(ordersOf<StartTask>(harness.decide()).size() == 1U);
}

BOOST_AUTO_TEST_CASE(UnknownRunIsStopped)
{
    SchedulerHarness harness;
    harness.workers["w1"].running[{"gone", 0, 0, 0}] = {{"gone", 0, 0, 0}, 3, "", 10, {}};
    harness.addWorker("w1");
    const auto stops = ordersOf<StopTask>(harness.decide());
    BOOST_REQUIRE(stops.size() == 1U);
    BOOST_TEST(stops[0].run == 3);
}

// A restarted worker keeps its id but has lost its runs.
BOOST_AUTO_TEST_CASE(RestartedWorkerLosesItsRuns)
{
    SchedulerHarness harness;
    auto &worker = harness.addWorker("w1");
    harness.addJob(job("j", {step(1)}));
    harness.decide();
    harness.advanceTime(100ms);
    worker.running.clear();
    worker.startedMs = 2;
    worker.description.startedMs = 2;
    harness.scheduler.addOrUpdateWorker(worker.description, harness.now);
    harness.reportAll();
    // The crash is saved before the task starts again.
    BOOST_TEST(ordersOf<StartTask>(harness.decide()).empty());
    harness.saveAll();
    const auto starts = ordersOf<StartTask>(harness.decide());
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts[0].run == 2);
}

BOOST_AUTO_TEST_CASE(HigherFencingTokenAtAWorkerEndsTheOwnership)
{
    SchedulerHarness harness;
    harness.addWorker("w1");
    harness.addJob(job("j", {step(1)}));
    const auto start = ordersOf<StartTask>(harness.decide(true)).at(0);
    harness.scheduler.startRefused(start, StartRefusal::Fenced, harness.now);
    BOOST_TEST(harness.scheduler.replaced());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WorkerSharing)

BOOST_AUTO_TEST_CASE(BestEffortTaskIsSlowedDownBesideATaskOverItsLatencyTarget)
{
    SchedulerHarness harness;
    harness.addWorker("w1", 4);
    auto serving = step(1);
    serving.persistent = true;
    serving.latencyTarget = 100ms;
    auto bestEffort = step(1);
    bestEffort.persistent = true;
    bestEffort.bestEffort = true;
    harness.addJob(job("fill", {bestEffort}));
    harness.addJob(job("serve", {serving}));
    harness.decide();
    auto &worker = harness.workers["w1"];
    worker.running.at({"serve", 0, 0, 0}).percent = 100;
    worker.running.at({"serve", 0, 0, 0}).usage = 150;
    harness.advanceTime(800ms);
    harness.reportAll();
    const auto paces = ordersOf<PaceTask>(harness.decide());
    BOOST_REQUIRE(paces.size() == 1U);
    BOOST_TEST(paces[0].task.job == "fill");
    BOOST_TEST(paces[0].percent < 100);
}

// The entries of live workers expire during a store outage.
BOOST_AUTO_TEST_CASE(ReachableWorkerGetsTasksForAWhileAfterItsEntryExpired)
{
    SchedulerHarness harness;
    harness.addWorker("w1", 8);
    harness.scheduler.unlistWorker("w1", harness.now);
    harness.addJob(job("a", {step(1)}));
    BOOST_TEST(ordersOf<StartTask>(harness.decide()).size() == 1U);
    harness.advanceTime(2600ms);
    harness.reportAll();
    harness.addJob(job("b", {step(1)}));
    BOOST_TEST(ordersOf<StartTask>(harness.decide()).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Admission)

// A start without a ticket is refused, and each worker in an admission request takes time.
BOOST_AUTO_TEST_CASE(TasksThatNeedTicketsStartOnAdmittedWorkersOnly)
{
    SchedulerHarness harness;
    for (const char *id : {"w1", "w2", "w3"})
        harness.addWorker(id, 4);
    harness.scheduler.setAdmissionQueues({{"queue", {5ms, 1ms, 3000ms}}});
    harness.addJob(job("j", {step(2)}));
    const auto actions = harness.decide();
    BOOST_TEST(ordersOf<StartTask>(actions).empty());
    const auto questions = ordersOf<RequestAdmission>(actions);
    BOOST_REQUIRE(questions.size() == 1U);
    BOOST_TEST(questions[0].workers.size() == 3U);
    BOOST_TEST(ordersOf<RequestAdmission>(harness.decide()).empty());
    harness.scheduler.admissionAnswered(questions[0], {{"w2", "ticket"}}, harness.now);
    const auto starts = ordersOf<StartTask>(harness.decide());
    BOOST_REQUIRE(starts.size() == 2U);
    for (const auto &it : starts) {
        BOOST_TEST(it.worker == "w2");
        BOOST_TEST(it.ticket == "ticket");
    }
}

// Guards against jobs that never run because the route of their queue was removed: their workers go
// on refusing starts without a ticket (LOST).
BOOST_AUTO_TEST_CASE(JobsOfARemovedQueueKeepItsAdmissionSettings)
{
    for (const bool queueRemoved : {true, false}) {
        SchedulerHarness harness;
        harness.addWorker("w1");
        harness.scheduler.setAdmissionQueues({{"queue", {5ms, 1ms, 3000ms}}});
        auto accepted = job("j", {step(1)});
        accepted.policy.workerAdmission = {5ms, 1ms, 3000ms};
        harness.addJob(accepted);
        std::set<std::string> others{"other"};
        if (!queueRemoved)
            others.insert("queue");
        harness.scheduler.setAdmissionQueues({}, others);
        const auto actions = harness.decide();
        BOOST_TEST(ordersOf<StartTask>(actions).size() == (queueRemoved ? 0U : 1U));
        const auto questions = ordersOf<RequestAdmission>(actions);
        BOOST_REQUIRE(questions.size() == (queueRemoved ? 1U : 0U));
        if (!queueRemoved)
            continue;
        harness.scheduler.admissionAnswered(questions[0], {{"w1", "ticket"}}, harness.now);
        const auto starts = ordersOf<StartTask>(harness.decide());
        BOOST_REQUIRE(starts.size() == 1U);
        BOOST_TEST(starts[0].ticket == "ticket");
    }
}

// Guards against a start that is refused and sent again at once, thousands of times a second, if
// only the worker knows that its job needs a ticket.
BOOST_AUTO_TEST_CASE(RefusalForWantOfATicketLeadsToAnAdmissionRequest)
{
    SchedulerHarness harness;
    harness.addWorker("w1");
    harness.addJob(job("j", {step(1)}));
    const auto refused = ordersOf<StartTask>(harness.decide(true));
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST(refused[0].ticket.empty());
    harness.scheduler.startRefused(refused[0], StartRefusal::InvalidTicket, harness.now);
    const auto actions = harness.decide();
    BOOST_TEST(ordersOf<StartTask>(actions).empty());
    const auto questions = ordersOf<RequestAdmission>(actions);
    BOOST_REQUIRE(questions.size() == 1U);
    harness.scheduler.admissionAnswered(questions[0], {{"w1", "ticket"}}, harness.now);
    const auto starts = ordersOf<StartTask>(harness.decide());
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts[0].ticket == "ticket");
}

BOOST_AUTO_TEST_CASE(ExpiredTicketsAreRequestedAgainButNotForRejectedWorkers)
{
    SchedulerHarness harness;
    harness.addWorker("w1", 1);
    harness.addWorker("w2", 1);
    harness.scheduler.setAdmissionQueues({{"queue", {5ms, 1ms, 3000ms}}});
    harness.addJob(job("j", {step(2)}));
    const auto question = ordersOf<RequestAdmission>(harness.decide()).at(0);
    harness.scheduler.admissionAnswered(question, {{"w2", "ticket"}}, harness.now);
    harness.decide();
    harness.end({"j", 0, 0, 0}, RunEnd::Done);
    harness.advanceTime(3000ms);
    harness.reportAll();
    const auto again = ordersOf<RequestAdmission>(harness.decide());
    BOOST_REQUIRE(again.size() == 1U);
    BOOST_TEST((again[0].workers == std::vector<std::string>{"w2"}));
}

// A delegate leaves the list of running tasks out of most reports. Guards against runs that are
// taken for lost because such a report does not name them.
BOOST_AUTO_TEST_CASE(ReportWithoutTheListOfRunsReleasesNone)
{
    SchedulerHarness harness;
    harness.addWorker("w");
    harness.addJob(job("j", {step(2)}));
    harness.decide();
    harness.advanceTime(5s);
    auto report = harness.workers["w"].report(harness.now);
    report.running.clear();
    report.runningListed = false;
    harness.workers["w"].end({"j", 0, 0, 0}, RunEnd::Done);
    report.ended = harness.workers["w"].ended;
    harness.scheduler.holdAnswered("w", report, harness.now, harness.now);
    BOOST_TEST(harness.scheduler.worker("w")->runs.size() == 1U);
    BOOST_TEST(harness.scheduler.worker("w")->runs.contains({"j", 0, 0, 1}));
    harness.reportFrom("w");
    BOOST_TEST(harness.scheduler.worker("w")->runs.size() == 1U);
}

// Guards against two runs of a task at once: a worker that has restarted carries out a start, and
// the first report of its new incarnation comes from a delegate, without the list of runs (TWICE).
BOOST_AUTO_TEST_CASE(FirstReportOfAnIncarnationWithoutTheListOfRunsReleasesNone)
{
    SchedulerHarness harness;
    auto &worker = harness.addWorker("w1");
    harness.advanceTime(500ms);
    worker.restart(harness.now);
    harness.addJob(job("j", {step(1)}));
    BOOST_REQUIRE(ordersOf<StartTask>(harness.decide()).size() == 1U);
    harness.addWorker("w2");
    harness.advanceTime(30ms);
    auto report = worker.report(harness.now);
    report.running.clear();
    report.runningListed = false;
    harness.scheduler.holdAnswered("w1", report, harness.now, harness.now);
    BOOST_TEST(ordersOf<StartTask>(harness.decideWithSaves()).empty());
    harness.reportFrom("w1");
    const auto actions = harness.decideWithSaves();
    BOOST_TEST(ordersOf<StartTask>(actions).empty());
    BOOST_TEST(ordersOf<StopTask>(actions).empty());
    BOOST_TEST(harness.scheduler.worker("w1")->runs.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
