#include "dragonflysill/node/workercontroller.h"
#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/net/httpclient.h"
#include "dragonflysill/net/httpserver.h"
#include "jobs/schedulerharness.h"

#include <boost/asio/ip/tcp.hpp>
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

// Guards against a former owner whose key was revoked and that goes on giving orders, which a
// worker that has restarted would carry out, although the others refuse its holds.
BOOST_AUTO_TEST_CASE(HoldThatIsRefusedForItsFenceShowsANewerOwner)
{
    using Tcp = boost::asio::ip::tcp;
    HttpServer server{loop, [](const HttpRequest &, const HttpServer::Respond &respond) {
                          respond({409, R"({"clockMs":7,"reason":"fence"})", {}});
                      }};
    Tcp::acceptor acceptor(loop.context(), {boost::asio::ip::make_address("127.0.0.1"), 0});
    WorkerDescription worker;
    worker.id = "w";
    worker.pool = "pool";
    worker.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    acceptor.close();
    BOOST_REQUIRE(server.listen(worker.address).ok());
    const auto now = EventLoop::now();
    harness.scheduler.addOrUpdateWorker(worker, now);
    controller.addNewWorkers(now);
    controller.sendDueHolds(now);
    while (controller.counts().holdsUnanswered == 0 && loop.context().run_one() > 0) {
    }
    BOOST_TEST(harness.scheduler.replaced());
}

BOOST_AUTO_TEST_SUITE_END()
