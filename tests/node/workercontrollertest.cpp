#include "dragonflysill/node/workercontroller.h"
#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/net/httpclient.h"
#include "dragonflysill/net/httpserver.h"
#include "dragonflysill/peers/peerlink.h"
#include "dragonflysill/peers/peerserver.h"
#include "jobs/schedulerharness.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
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

// Guards against a task that runs twice: the link to a delegate that has received a start fails,
// the second copy is answered at once, and the delegate goes on with the first one.
BOOST_AUTO_TEST_CASE(QuickAnswerAfterAFailedLinkLeavesACopyOnItsWay)
{
    using Tcp = boost::asio::ip::tcp;
    const auto freeAddress = [this] {
        const Tcp::acceptor acceptor(loop.context(),
                                     {boost::asio::ip::make_address("127.0.0.1"), 0});
        return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    };
    HttpServer worker{loop, [](const HttpRequest &, const HttpServer::Respond &respond) {
                          respond({200, R"({"clockMs":7,"born":1,"running":[],"ended":[]})", {}});
                      }};
    const auto workerAddress = freeAddress();
    BOOST_REQUIRE(worker.listen(workerAddress).ok());
    int delegated = 0;
    std::unique_ptr<PeerServer> delegate;
    delegate = std::make_unique<PeerServer>(
            loop, [&](const ReceivedRequest &, const PeerServer::Respond &) {
                ++delegated;
                loop.post([&] { delegate.reset(); });
            });
    const auto delegateAddress = freeAddress();
    BOOST_REQUIRE(delegate->listen(delegateAddress).ok());
    PeerLink link{loop, delegateAddress, Duration{1ms}};
    link.connect();
    while (!link.usable() && loop.context().run_one() > 0) {
    }
    WorkerController delegating{loop,
                                {client, client, client},
                                harness.scheduler,
                                governor,
                                1,
                                {},
                                {[&](const WorkerTarget &, int copy) {
                                     return copy == 0 ? WorkerChannel(DelegateChannel{&link})
                                                      : DirectChannel{};
                                 },
                                 [](const WorkerChannel &) {}},
                                [] { return true; },
                                [] {}};
    harness.now = EventLoop::now();
    auto &known = harness.addWorker("w");
    known.description.address = workerAddress;
    harness.scheduler.addOrUpdateWorker(known.description, harness.now);
    harness.addJob(job("j", {step(1)}));
    harness.now = EventLoop::now();
    const auto orderedAt = harness.now;
    for (const auto &it : harness.decide(true))
        delegating.execute(it);
    const auto &runs = harness.scheduler.worker("w")->runs;
    BOOST_REQUIRE(runs.size() == 1U);
    while (!runs.begin()->second.confirmed && loop.context().run_one() > 0) {
    }
    BOOST_TEST_MESSAGE("answered after " << (EventLoop::now() - orderedAt) / 1ms << " ms");
    BOOST_TEST(delegated == 1);
    BOOST_TEST((runs.begin()->second.copiesUntil > orderedAt + 1s));
}

BOOST_AUTO_TEST_SUITE_END()
