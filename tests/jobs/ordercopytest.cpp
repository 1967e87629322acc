#include "schedulerharness.h"

#include <boost/test/unit_test.hpp>

using namespace dragonflysill;
using namespace dragonflysill::test;

namespace {

const TaskId task{"j", 0, 0, 0};
/** Latest arrival of a copy of an order after the decision to send it. */
constexpr Duration maxCopyTime = 2s;

/** A task whose start on w1 was answered after some time; w2 is added afterwards. */
struct StartedTask
{
    explicit StartedTask(Duration answerTime)
    {
        harness.addWorker("w1");
        harness.addJob(job("j", {step(1)}));
        const auto starts = ordersOf<StartTask>(harness.decide(true));
        BOOST_REQUIRE(starts.size() == 1);
        harness.advanceTime(answerTime);
        harness.workers["w1"].running[task] = {task, starts[0].run, "", 0, {}};
        harness.scheduler.startConfirmed(starts[0], harness.workers["w1"].clock(harness.now),
                                         harness.now);
        harness.addWorker("w2");
    }

    SchedulerHarness harness;
};

} // namespace

BOOST_AUTO_TEST_SUITE(OrderCopies)

// Guards against a task that runs twice: a copy of its start reaches the next incarnation of the
// worker, which knows nothing of before, after the task was started elsewhere (TWICE).
BOOST_AUTO_TEST_CASE(RestartedWorkerIsToldNotToStartBeforeTheTaskStartsElsewhere)
{
    for (const bool copied : {true, false}) {
        StartedTask started(copied ? 100ms : 50ms);
        auto &harness = started.harness;
        harness.workers["w1"].restart(harness.now);
        harness.advanceTime(100ms);
        harness.reportFrom("w1");
        const auto stops = ordersOf<StopTask>(harness.decide(true));
        BOOST_TEST(stops.size() == (copied ? 1 : 0));
        BOOST_TEST(ordersOf<StartTask>(harness.decideWithSaves(true)).empty() == copied);
        if (stops.empty())
            continue;
        BOOST_TEST(stops[0].worker == "w1");
        harness.scheduler.stopConfirmed(stops[0], harness.now);
        harness.advanceTime(300ms);
        harness.reportFrom("w1");
        BOOST_TEST(ordersOf<StartTask>(harness.decideWithSaves(true)).size() == 1);
    }
}

// Guards against the same if the list of instances shows first that the worker has ended.
BOOST_AUTO_TEST_CASE(TaskOfAnEndedWorkerWaitsForCopiesUnlessTheWorkerIsReplaced)
{
    using WorkerEnd = Scheduler::WorkerEnd;
    for (const auto end : {WorkerEnd::Down, WorkerEnd::Replaced}) {
        StartedTask started(100ms);
        auto &harness = started.harness;
        harness.scheduler.holdUnanswered("w1", harness.now);
        harness.scheduler.retireWorker("w1", end, harness.now);
        const auto starts = ordersOf<StartTask>(harness.decideWithSaves(true));
        BOOST_TEST(starts.empty() == (end == WorkerEnd::Down));
        harness.advanceTime(maxCopyTime);
        harness.reportFrom("w2");
        if (end == WorkerEnd::Down)
            BOOST_TEST(ordersOf<StartTask>(harness.decideWithSaves(true)).size() == 1);
    }
}

// Guards against the same if the ended worker comes back under its id in the meantime, whether its
// entry in the store or its own answer is seen first.
BOOST_AUTO_TEST_CASE(EndedWorkerThatComesBackIsToldNotToStart)
{
    for (const bool entrySeen : {true, false}) {
        StartedTask started(100ms);
        auto &harness = started.harness;
        auto &worker = harness.workers["w1"];
        harness.scheduler.holdUnanswered("w1", harness.now);
        harness.scheduler.retireWorker("w1", Scheduler::WorkerEnd::Down, harness.now);
        harness.decideWithSaves(true);
        worker.restart(harness.now);
        worker.description.startedMs = worker.startedMs;
        if (entrySeen)
            harness.scheduler.addOrUpdateWorker(worker.description, harness.now);
        harness.advanceTime(600ms);
        harness.reportFrom("w1");
        const auto actions = harness.decide(true);
        BOOST_TEST(ordersOf<StartTask>(actions).empty());
        BOOST_REQUIRE(ordersOf<StopTask>(actions).size() == 1);
        BOOST_TEST(ordersOf<StopTask>(actions)[0].run == 1);
    }
}

// Guards against the same if the earlier incarnation had answered the stop of a start without an
// answer: the next one does not know of it.
BOOST_AUTO_TEST_CASE(StopAnsweredByAnEarlierIncarnationIsGivenAgain)
{
    for (const bool answerIsLate : {false, true}) {
        SchedulerHarness harness;
        auto &worker = harness.addWorker("w1");
        harness.addJob(job("j", {step(1)}));
        const auto starts = ordersOf<StartTask>(harness.decide(true));
        BOOST_REQUIRE(starts.size() == 1);
        harness.addWorker("w2");
        harness.advanceTime(500ms);
        harness.scheduler.startUnanswered(starts[0], harness.now);
        const auto stops = ordersOf<StopTask>(harness.decide(true));
        BOOST_REQUIRE(stops.size() == 1);
        if (!answerIsLate)
            harness.scheduler.stopConfirmed(stops[0], harness.now);
        harness.advanceTime(300ms);
        worker.restart(harness.now);
        harness.reportFrom("w1");
        if (answerIsLate)
            harness.scheduler.stopConfirmed(stops[0], harness.now);
        BOOST_TEST(ordersOf<StopTask>(harness.decide(true)).size() == 1);
        harness.advanceTime(300ms);
        harness.reportFrom("w1");
        BOOST_TEST(ordersOf<StartTask>(harness.decideWithSaves(true)).empty());
    }
}

// Guards against a run that nobody stops, because its worker has a newer run of the task.
BOOST_AUTO_TEST_CASE(RunBesideANewerOneOnTheSameWorkerIsStopped)
{
    SchedulerHarness harness(1000);
    auto &worker = harness.addWorker("w1");
    harness.addJob(job("j", {step(1)}));
    harness.decide();
    BOOST_REQUIRE(worker.running.contains(task));
    auto report = worker.report(harness.now);
    report.running.push_back({task, 7, "", 10, {}});
    std::vector<StopTask> stops;
    for (int n = 0; n < 7; ++n) {
        harness.advanceTime(100ms);
        harness.scheduler.holdAnswered("w1", report, harness.now, harness.now);
        for (auto &it : ordersOf<StopTask>(harness.decide(true)))
            stops.push_back(std::move(it));
    }
    // A stop without an effect is given again, at an interval.
    BOOST_REQUIRE(stops.size() == 2);
    BOOST_TEST(stops[0].run == 7);
    BOOST_TEST(stops[1].run == 7);

    // The task is done as soon as either run is.
    report.running.pop_back();
    report.ended.push_back({1, task, 7, RunEnd::Done, ""});
    harness.scheduler.holdAnswered("w1", report, harness.now, harness.now);
    stops = ordersOf<StopTask>(harness.decide(true));
    BOOST_REQUIRE(stops.size() == 1);
    BOOST_TEST(stops[0].run == 1001);
}

// Guards against an ended worker whose entry in the store makes it a new one, because it was
// removed as soon as no copy could arrive any more.
BOOST_AUTO_TEST_CASE(EndedWorkerIsKeptAfterItsCopies)
{
    StartedTask started(100ms);
    auto &harness = started.harness;
    harness.scheduler.holdUnanswered("w1", harness.now);
    harness.scheduler.retireWorker("w1", Scheduler::WorkerEnd::Down, harness.now);
    harness.advanceTime(maxCopyTime);
    harness.decideWithSaves(true);
    harness.scheduler.addOrUpdateWorker(harness.workers["w1"].description, harness.now);
    const auto *worker = harness.scheduler.worker("w1");
    BOOST_REQUIRE(worker != nullptr);
    BOOST_TEST(!worker->listed);
}

// Guards against a copy of a start that an earlier owner gave right before a take-over.
BOOST_AUTO_TEST_CASE(CopyOfAStartByAnEarlierOwnerIsBlocked)
{
    SchedulerHarness harness(1000);
    auto &worker = harness.inheritWorker("w1");
    harness.addJob(job("j", {step(1)}), true);
    worker.running[task] = {task, 1, "", 0, {}};
    harness.reportFrom("w1");
    harness.decide();
    harness.addWorker("w2");
    harness.advanceTime(100ms);
    worker.restart(harness.now);
    harness.advanceTime(100ms);
    harness.reportFrom("w1");
    const auto stops = ordersOf<StopTask>(harness.decide(true));
    BOOST_REQUIRE(stops.size() == 1);
    BOOST_TEST(stops[0].run == 1);
    BOOST_TEST(ordersOf<StartTask>(harness.decideWithSaves(true)).empty());
}

// Guards against a task that runs twice (TWICE): a worker that is down after a take-over carries
// out a start of the earlier owner when it is back, whether it answered the new owner before or
// not.
BOOST_AUTO_TEST_CASE(StartsOfAnEarlierOwnerAreWaitedForWhileTheirWorkerIsDown)
{
    for (const bool answered : {true, false}) {
        SchedulerHarness harness(1000);
        harness.inheritWorker("w1");
        if (answered)
            harness.reportFrom("w1");
        harness.scheduler.holdUnanswered("w1", harness.now);
        harness.scheduler.retireWorker("w1", Scheduler::WorkerEnd::Down, harness.now);
        harness.addWorker("w2");
        harness.addJob(job("j", {step(1)}), true);
        const auto begin = harness.now;
        while (harness.workerOf(task).empty() && harness.now - begin < 10s) {
            harness.advanceTime(100ms);
            harness.reportFrom("w2");
            harness.decide();
        }
        BOOST_TEST((harness.now - begin >= SchedulerSettings().previousOwner + maxCopyTime));
        BOOST_TEST((harness.now - begin < 5s), "answered " << answered);
    }
}

// Guards against a wait that is longer than necessary: a worker that is back refuses the earlier
// owner's starts from its first answer on.
BOOST_AUTO_TEST_CASE(StartsOfAnEarlierOwnerAreNotWaitedForOnceTheirWorkerIsBack)
{
    SchedulerHarness harness(1000);
    auto &worker = harness.inheritWorker("w1");
    harness.scheduler.retireWorker("w1", Scheduler::WorkerEnd::Down, harness.now);
    harness.addWorker("w2");
    harness.addJob(job("j", {step(1)}), true);
    BOOST_TEST(ordersOf<StartTask>(harness.decide()).empty());
    harness.advanceTime(500ms);
    worker.restart(harness.now);
    harness.reportFrom("w1");
    BOOST_TEST(ordersOf<StartTask>(harness.decide()).size() == 1);
}

// Guards against a new owner that adopts the older one of two runs of a task on a worker, or that
// leaves the other one at work until the next list.
BOOST_AUTO_TEST_CASE(OlderOfTwoUnknownRunsOnAWorkerIsStopped)
{
    for (const bool newerFirst : {true, false}) {
        SchedulerHarness harness(1000);
        auto &worker = harness.addWorker("w1");
        harness.addJob(job("j", {step(1)}), true);
        auto report = worker.report(harness.now);
        report.running
                = {{task, newerFirst ? 5 : 4, "", 10, {}}, {task, newerFirst ? 4 : 5, "", 10, {}}};
        harness.scheduler.holdAnswered("w1", report, harness.now, harness.now);
        const auto stops = ordersOf<StopTask>(harness.decide(true));
        const auto &runs = harness.scheduler.worker("w1")->runs;
        BOOST_REQUIRE(runs.contains(task));
        BOOST_TEST(runs.at(task).run == 5);
        BOOST_TEST(stops.size() == 1);
        if (!stops.empty())
            BOOST_TEST(stops[0].run == 4);
    }
}

// Guards against a copy of the start of a run that was released because it has ended, or because
// its stop was answered: the next incarnation of its worker knows of neither.
BOOST_AUTO_TEST_CASE(CopyOfAStartIsBlockedAfterItsRunWasReleased)
{
    for (const bool ended : {true, false}) {
        SchedulerHarness harness;
        auto &worker = harness.addWorker("w1");
        harness.addJob(job("j", {step(1)}));
        const auto first = ordersOf<StartTask>(harness.decide(true));
        BOOST_REQUIRE(first.size() == 1);
        harness.addWorker("w2");
        if (ended) {
            harness.advanceTime(100ms);
            worker.running[task] = {task, 1, "", 0, {}};
            harness.scheduler.startConfirmed(first[0], worker.clock(harness.now), harness.now);
            harness.advanceTime(100ms);
            worker.end(task, RunEnd::Failed);
        } else {
            harness.advanceTime(500ms);
            harness.scheduler.startUnanswered(first[0], harness.now);
            const auto stops = ordersOf<StopTask>(harness.decide(true));
            BOOST_REQUIRE(stops.size() == 1);
            harness.scheduler.stopConfirmed(stops[0], harness.now);
            harness.advanceTime(300ms);
        }
        harness.reportFrom("w1");
        const auto starts = ordersOf<StartTask>(harness.decideWithSaves());
        BOOST_REQUIRE(starts.size() == 1);
        BOOST_TEST(starts[0].worker == "w2");
        worker.restart(harness.now);
        harness.advanceTime(100ms);
        harness.reportFrom("w1");
        const auto stops = ordersOf<StopTask>(harness.decide(true));
        BOOST_TEST(stops.size() == 1, "no stop, ended " << ended);
        if (stops.empty())
            continue;
        BOOST_TEST(stops[0].worker == "w1");
        BOOST_TEST(stops[0].run == 1);
    }
}

BOOST_AUTO_TEST_SUITE_END()
