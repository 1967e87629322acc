#include "dragonflysill/node/workercontroller.h"
#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/net/httpclient.h"
#include "jobs/schedulerharness.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace dragonflysill;
using namespace dragonflysill::test;
using namespace std::chrono_literals;

namespace {

/** A controller whose permission to give orders the test controls. */
struct WorkerControllerFixture
{
    SchedulerHarness harness;
    EventLoop loop;
    HttpClient client{loop};
    LoadGovernor governor;
    bool mayGiveOrders = true;
    WorkerController controller{loop,
                                {client, client, client},
                                harness.scheduler,
                                governor,
                                1,
                                {},
                                {},
                                [this] { return mayGiveOrders; },
                                [] {}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WorkerControllers, WorkerControllerFixture)

// Guards against tasks that never run: the permission of the owner can expire between a decision
// and its orders, for example during an outage of the store. A start that is not sent gets no
// answer, so the scheduler must be told that its task still waits.
BOOST_AUTO_TEST_CASE(TasksOfStartsThatAreNotSentWaitAgain)
{
    harness.now = EventLoop::now(); // The controller uses the clock of the event loop.
    harness.addWorker("w");
    harness.addJob(job("j", {step(2)}));
    const auto actions = harness.decide(true);
    BOOST_REQUIRE(ordersOf<StartTask>(actions).size() == 2U);
    mayGiveOrders = false;
    for (const auto &it : actions)
        controller.execute(it);
    BOOST_TEST(harness.scheduler.worker("w")->runs.empty());

    harness.advanceTime(1s);
    harness.reportAll();
    BOOST_TEST(ordersOf<StartTask>(harness.decide()).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
