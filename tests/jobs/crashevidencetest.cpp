#include "schedulerharness.h"

#include <boost/test/unit_test.hpp>

using namespace dragonflysill;
using namespace dragonflysill::test;

namespace {

const TaskId firstTask{"j", 0, 0, 0};

} // namespace

BOOST_AUTO_TEST_SUITE(CrashEvidence)

// Guards against a crash that is forgotten because the ended worker's entry expires before its hold
// ends, so that its task crashes one worker after the other.
BOOST_AUTO_TEST_CASE(CrashCountsIfTheEntryExpiresBeforeTheHold)
{
    SchedulerHarness harness;
    harness.addWorker("w1", 4, "instance-1");
    harness.addJob(job("j", {step(1)}));
    harness.decide();
    BOOST_REQUIRE(harness.workerOf(firstTask) == "w1");
    harness.scheduler.holdUnanswered("w1", harness.now);
    harness.workers.erase("w1");
    harness.advanceTime(2500ms);
    harness.scheduler.unlistWorker("w1", harness.now);
    for (int n = 0; n < 10; ++n) {
        harness.advanceTime(100ms);
        harness.decide();
    }
    // The instance is back with another worker.
    harness.workers["w2"].startedMs = 2;
    harness.addWorker("w2", 4, "instance-1");
    BOOST_TEST(harness.scheduler.job("j")->crashes(firstTask) == 1);
}

// Guards against a job that is given up because its workers were cut off one after the other, long
// enough for their entries to expire, and answer again as the same incarnations (LOST).
BOOST_AUTO_TEST_CASE(SilentWorkersThatAnswerAgainHaveNotCrashed)
{
    SchedulerHarness harness;
    for (const auto *id : {"w1", "w2", "w3", "w4"})
        harness.addWorker(id, 4, std::string("instance-") + id);
    harness.addJob(job("j", {step(1)}));
    harness.decide();
    for (int n = 0; n < 3; ++n) {
        const auto holder = harness.workerOf(firstTask);
        BOOST_REQUIRE(!holder.empty());
        harness.scheduler.holdUnanswered(holder, harness.now);
        harness.workers[holder].end(firstTask, RunEnd::HoldExpired);
        harness.advanceTime(3300ms);
        harness.decideWithSaves();
        harness.advanceTime(1200ms);
        harness.scheduler.unlistWorker(holder, harness.now);
        harness.decide();
        harness.advanceTime(1s);
        harness.scheduler.addOrUpdateWorker(harness.workers[holder].description, harness.now);
        harness.reportFrom(holder);
        BOOST_TEST(harness.scheduler.job("j")->crashes(firstTask) == 0);
    }
    BOOST_TEST((harness.scheduler.job("j")->progress().state == JobStatus::Running));
    harness.saveAll();
    BOOST_TEST(harness.scheduler.job("j")->progress().trials.empty());
}

// Guards against the same after a take-over: a start that was saved counts as a crash only once its
// worker is known to have ended (LOST).
BOOST_AUTO_TEST_CASE(SuccessorCountsNoCrashOfAWorkerThatItHasNotReached)
{
    for (const bool crashed : {false, true}) {
        JobProgress progress;
        progress.state = JobStatus::Running;
        progress.crashes[{0, 0, 0}] = {1};
        SchedulerHarness first(500);
        first.addWorker("w1");
        first.scheduler.addJob(job("j", {step(1)}), progress, true, Duration{0}, first.now);
        first.decideWithSaves();
        BOOST_REQUIRE(first.workerOf(firstTask) == "w1");

        SchedulerHarness second(1000);
        second.scheduler.addInheritedWorker(first.workers["w1"].description, second.now);
        second.scheduler.holdUnanswered("w1", second.now);
        second.addWorker("w2");
        second.scheduler.addJob(job("j", {step(1)}), first.scheduler.job("j")->progress(), true,
                                Duration{0}, second.now);
        for (int n = 0; n < 80 && second.workerOf(firstTask).empty(); ++n) {
            second.decideWithSaves();
            second.advanceTime(100ms);
        }
        BOOST_TEST(second.workerOf(firstTask) == "w2");
        BOOST_TEST(second.scheduler.job("j")->crashes(firstTask) == 1);
        second.workers["w1"].startedMs = crashed ? 2 : 1;
        second.reportFrom("w1");
        BOOST_TEST(second.scheduler.job("j")->crashes(firstTask) == (crashed ? 2 : 1));
    }
}

// Guards against workers that were retired while they answered, or that have not answered yet, and
// are taken for a failed rack.
BOOST_AUTO_TEST_CASE(RetiredWorkersDoNotMakeACrashARackFailure)
{
    SchedulerHarness harness;
    const auto add = [&harness](const std::string &id, std::int64_t startedMs,
                                const std::string &instance) {
        harness.workers[id].startedMs = startedMs;
        harness.workers[id].description.rack = "r1";
        harness.addWorker(id, 4, instance);
    };
    for (const auto *id : {"a", "b", "c"}) {
        add(id, 1, std::string("instance-") + id);
        harness.scheduler.retireWorker(id, Scheduler::WorkerEnd::Down, harness.now);
    }
    harness.advanceTime(5s);
    add("w1", 1, "instance-1");
    harness.addJob(job("j", {step(1)}));
    harness.decide();
    BOOST_REQUIRE(harness.workerOf(firstTask) == "w1");
    // The process has crashed, and its successor is back before a hold was unanswered.
    harness.workers.erase("w1");
    add("w2", 2, "instance-1");
    BOOST_TEST(harness.scheduler.job("j")->crashes(firstTask) == 1);
}

// Guards against running tasks that are started twice, and crashes that did not happen: an entry of
// another writer may name the instance of a running worker and a later start time.
BOOST_AUTO_TEST_CASE(EntryAloneDoesNotReplaceARunningWorker)
{
    SchedulerHarness harness;
    harness.addWorker("w1", 4, "instance-1");
    harness.addWorker("other", 4, "instance-2");
    harness.addJob(job("j", {step(4)}));
    harness.decide();
    const auto holder = harness.workerOf(firstTask);
    auto entry = harness.workers[holder].description;
    entry.id = "odd";
    entry.startedMs = 2;
    harness.scheduler.addOrUpdateWorker(entry, harness.now);
    BOOST_TEST(!harness.scheduler.worker(holder)->retired);
    // The worker at the entry's address, if any, does not answer for this id.
    harness.scheduler.holdUnanswered("odd", harness.now);
    harness.reportAll();
    BOOST_TEST(ordersOf<StartTask>(harness.decide()).empty());
    BOOST_TEST(!harness.scheduler.worker(holder)->retired);
    BOOST_TEST(harness.scheduler.worker(holder)->usable(harness.now));
    BOOST_TEST(harness.scheduler.job("j")->crashes(firstTask) == 0);
}

// Guards against the same after a take-over: an inherited worker has not answered yet.
BOOST_AUTO_TEST_CASE(EntryAloneDoesNotReplaceAnInheritedWorker)
{
    SchedulerHarness harness(1000);
    WorkerDescription inherited;
    inherited.id = "w1";
    inherited.pool = "pool";
    inherited.instance = "instance-1";
    inherited.startedMs = 1;
    harness.scheduler.addInheritedWorker(inherited, harness.now);
    auto entry = inherited;
    entry.id = "odd";
    entry.startedMs = 2;
    harness.scheduler.addOrUpdateWorker(entry, harness.now);
    harness.scheduler.holdUnanswered("odd", harness.now);
    BOOST_TEST(!harness.scheduler.worker("w1")->retired);
}

// Guards against crashes that a successor does not know, since they are noticed late.
BOOST_AUTO_TEST_CASE(EntryReplacesAWorkerThatFellSilent)
{
    SchedulerHarness harness;
    auto entry = harness.addWorker("w1", 4, "instance-1").description;
    harness.addJob(job("j", {step(1)}));
    harness.decide();
    harness.scheduler.holdUnanswered("w1", harness.now);
    entry.id = "w2";
    entry.startedMs = 2;
    harness.scheduler.addOrUpdateWorker(entry, harness.now);
    BOOST_TEST(harness.scheduler.worker("w1")->retired);
    BOOST_TEST(harness.scheduler.job("j")->crashes(firstTask) == 1);
}

// Guards against tasks that wait for the end of the hold of a worker whose instance is back.
BOOST_AUTO_TEST_CASE(FirstAnswerOfALaterWorkerReplacesTheFormerOne)
{
    SchedulerHarness harness;
    harness.addWorker("w1", 4, "instance-1");
    harness.addJob(job("j", {step(1)}));
    harness.decide();
    BOOST_REQUIRE(harness.workerOf(firstTask) == "w1");
    harness.scheduler.holdUnanswered("w1", harness.now);
    harness.workers.erase("w1");
    harness.workers["w2"].startedMs = 2;
    harness.addWorker("w2", 4, "instance-1");
    BOOST_TEST(harness.scheduler.worker("w1")->retired);
    harness.decideWithSaves();
    BOOST_TEST(harness.workerOf(firstTask) == "w2");
}

// Guards against a sound job that is given up: a start that the next incarnation of a worker has
// answered and lists counts as a crash of the earlier one.
BOOST_AUTO_TEST_CASE(RunThatTheNextIncarnationListsHasNotCrashedTheEarlierOne)
{
    SchedulerHarness harness;
    auto &worker = harness.addWorker("w1");
    harness.advanceTime(500ms);
    worker.restart(harness.now);
    harness.addJob(job("j", {step(1)}));
    BOOST_REQUIRE(ordersOf<StartTask>(harness.decide()).size() == 1U);
    harness.advanceTime(30ms);
    harness.reportFrom("w1");
    BOOST_TEST(harness.scheduler.worker("w1")->runs.size() == 1U);
    BOOST_TEST(harness.scheduler.job("j")->progress().crashes.empty());
}

BOOST_AUTO_TEST_SUITE_END()
