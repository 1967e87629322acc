#include "schedulerharness.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace dragonflysill;
using namespace dragonflysill::test;

namespace {

/** Time for which a task that could run may wait. */
constexpr Duration maxWait = 3s;

/** Lets time pass as the owner does, with reports and decisions, until the task runs. */
std::string runWithin(SchedulerHarness &harness, const TaskId &task, Duration limit)
{
    constexpr Duration interval = 100ms;
    for (Duration passed{0}; passed < limit; passed += interval) {
        harness.decide();
        if (!harness.workerOf(task).empty())
            return harness.workerOf(task);
        harness.advanceTime(interval);
        harness.reportAll();
    }
    return {};
}

} // namespace

BOOST_AUTO_TEST_SUITE(RunnableTasks)

// The list of instances names no worker for an instance that is down, so that its worker is
// retired. Guards against leaving the worker unused for 10 s when it is back under the same id.
BOOST_AUTO_TEST_CASE(RetiredWorkerThatIsBackUnderItsIdGetsTasks)
{
    SchedulerHarness harness;
    auto &worker = harness.addWorker("w", 4, "instance");
    harness.scheduler.holdUnanswered("w", harness.now);
    harness.scheduler.retireWorker("w", Scheduler::WorkerEnd::Down, harness.now);
    harness.advanceTime(500ms);
    // The entry in the store is that of the ended process until it is replaced.
    harness.scheduler.addOrUpdateWorker(worker.description, harness.now);
    BOOST_TEST(!harness.scheduler.worker("w")->listed);
    worker.startedMs = 2;
    worker.description.startedMs = 2;
    harness.scheduler.addOrUpdateWorker(worker.description, harness.now);
    harness.reportFrom("w");
    harness.addJob(job("j", {step(1)}));
    BOOST_TEST(runWithin(harness, {"j", 0, 0, 0}, maxWait) == "w");
}

// A worker in quarantine is better than none. Guards against tasks that wait for the end of a long
// quarantine because other workers of the pool, which are too small for them, are usable.
BOOST_AUTO_TEST_CASE(QuarantinedWorkersAreUsedIfTheOthersAreTooSmall)
{
    SchedulerHarness harness;
    harness.addWorker("large", 8);
    harness.addWorker("small", 2);
    auto large = step(1);
    large.need.milliCores = 4000;
    constexpr int attempts = 5;
    harness.addJob(job("a", {large}, attempts));
    harness.addJob(job("b", {large}, attempts));
    harness.decide();
    harness.end({"a", 0, 0, 0}, RunEnd::Failed);
    harness.end({"b", 0, 0, 0}, RunEnd::Failed);
    // Another failure after the first quarantine doubles the time of the next one.
    harness.scheduler.cancelJob("b", harness.now);
    BOOST_TEST(runWithin(harness, {"a", 0, 0, 0}, 6s) == "large");
    harness.end({"a", 0, 0, 0}, RunEnd::Failed);
    BOOST_REQUIRE(harness.scheduler.worker("large")->health.quarantined(harness.now + maxWait));
    harness.addJob(job("c", {large}));
    BOOST_TEST(runWithin(harness, {"c", 0, 0, 0}, maxWait) == "large");
}

BOOST_AUTO_TEST_SUITE_END()
