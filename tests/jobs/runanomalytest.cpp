#include "schedulerharness.h"

#include <boost/test/unit_test.hpp>

using namespace dragonflysill;
using namespace dragonflysill::test;

namespace {

const TaskId task{"j", 0, 0, 0};

} // namespace

BOOST_AUTO_TEST_SUITE(RunAnomalies)

// Guards against a log that does not tell why a task was started again while a run was at work.
BOOST_AUTO_TEST_CASE(ReleaseWithoutAnEndIsRecordedWithItsReason)
{
    SchedulerHarness harness;
    auto &worker = harness.addWorker("w1");
    harness.addJob(job("j", {step(1)}));
    harness.decide();
    harness.advanceTime(5s);
    worker.restart(harness.now);
    harness.reportFrom("w1");
    const auto anomalies = harness.scheduler.takeRunAnomalies();
    BOOST_REQUIRE(anomalies.size() == 1);
    const auto &released = anomalies.front();
    BOOST_TEST(runAnomalyName(released.kind) == "earlier-incarnation");
    BOOST_TEST((released.task == task));
    BOOST_TEST(released.run == 1);
    BOOST_TEST(released.worker == "w1");
    BOOST_TEST((released.age == Duration(5s)));
    BOOST_TEST(released.confirmed);
    BOOST_TEST(harness.scheduler.takeRunAnomalies().empty());
}

BOOST_AUTO_TEST_CASE(ReportedRunThatIsNotWantedIsRecorded)
{
    SchedulerHarness harness;
    harness.addWorker("w1");
    auto &other = harness.addWorker("w2");
    harness.addJob(job("j", {step(1)}));
    harness.decide();
    const auto holder = harness.workerOf(task);
    auto &second = holder == "w1" ? other : harness.workers["w1"];
    second.running[task] = {task, 7, "", 10, {}};
    harness.reportFrom(second.description.id);
    harness.decide();
    const auto anomalies = harness.scheduler.takeRunAnomalies();
    BOOST_REQUIRE(anomalies.size() == 1);
    BOOST_TEST(runAnomalyName(anomalies.front().kind) == "unknown");
    BOOST_TEST(anomalies.front().run == 7);
}

BOOST_AUTO_TEST_SUITE_END()
