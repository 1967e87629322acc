#include "fakestore.h"

#include "dragonflysill/net/httpserver.h"
#include "dragonflysill/node/fleetcontroller.h"
#include "dragonflysill/node/scheduleowner.h"
#include "jobs/schedulerharness.h"
#include "nodesettings.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <string>
#include <utility>
#include <vector>

using namespace dragonflysill;
using namespace dragonflysill::test;
using namespace std::chrono_literals;

namespace {

/** Lists the instances that the test sets, and leaves orders unanswered until the test does. */
struct FakeMachineService
{
    std::string address = freeAddress();
    nlohmann::json instances = nlohmann::json::array();
    std::vector<HttpServer::Respond> orders;
    HttpServer server;

    explicit FakeMachineService(EventLoop &loop)
        : server(loop, [this](const HttpRequest &request, HttpServer::Respond respond) {
            if (request.method == "POST")
                orders.push_back(std::move(respond));
            else
                respond({200, nlohmann::json{{"machines", instances}}.dump(), {}});
        })
    {
        BOOST_REQUIRE(server.listen(address).ok());
    }

    static std::string freeAddress()
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::acceptor acceptor(context,
                                                {boost::asio::ip::make_address("127.0.0.1"), 0});
        return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }

    void add(const std::string &name, const std::string &pool, const std::string &worker)
    {
        instances.push_back({{"machine", name}, {"pool", pool}, {"state", "up"}, {"id", worker}});
    }
};

/** The controller of an owner that took over from another one. Times are moved by the test. */
struct FleetControllerFixture
{
    static constexpr auto machineLease = 3000ms;

    EventLoop loop;
    FakeMachineService service{loop};
    FakeStore store{loop};
    HttpClient client{loop};
    StateReplica replica;
    platform::NodeSettings settings = settingsFor(service.address);
    LoadGovernor governor;
    LinkBudget linkBudget{0};
    NodePeers peers{loop, [](const ReceivedRequest &, const PeerServer::Respond &) {}};
    OwnerContext context{loop,
                         store,
                         client,
                         client,
                         client,
                         replica,
                         settings,
                         governor,
                         linkBudget,
                         peers,
                         [] { return true; },
                         [] { return true; },
                         [] {}};
    SchedulerHarness harness;
    TimePoint start = EventLoop::now();
    FleetController controller{context, harness.scheduler, 2, start + machineLease};

    FleetControllerFixture()
    {
        harness.now = start;
        FleetConfiguration configuration;
        configuration.pools = {{"pool", true, false}, {"busy", true, false}};
        controller.setConfiguration(configuration);
    }

    static platform::NodeSettings settingsFor(const std::string &machinesAddress)
    {
        platform::NodeSettings result;
        result.machinesAddress = machinesAddress;
        result.machineLease = machineLease;
        return result;
    }

    /** Adds an instance whose worker has been up for long. */
    void addInstance(const std::string &name, const std::string &worker)
    {
        harness.addWorker(worker, 4, name);
        service.add(name, "pool", worker);
    }

    template <typename Condition>
    void runUntil(Condition condition)
    {
        loop.context().restart();
        while (!condition() && loop.context().run_one() > 0) {
        }
        BOOST_REQUIRE(condition());
    }

    /** Lets the controller read the list of the instances. */
    void list()
    {
        controller.tick(start);
        const auto idle = client.traffic().bytesReceived;
        runUntil([&] { return client.traffic().bytesReceived > idle; });
    }

    void addWave(std::vector<std::string> instances)
    {
        controller.addWave({1, std::move(instances), 20s, 1});
    }

    /** Lets the controller order maintenance of an instance with a worker. */
    void orderMaintenance(const std::string &instance, const std::string &worker)
    {
        addInstance(instance, worker);
        addWave({instance});
        list();
        harness.now = start + machineLease;
        controller.tick(harness.now);
        runUntil([this] { return service.orders.size() == 1U; });
    }

    void acceptOrder(const std::string &instance)
    {
        service.orders.at(0)({200, {}, {}});
        runUntil([&] { return controller.describeOrder(instance).ends_with("accepted"); });
    }

    /** Registers a worker that started again under the id that it had. */
    void restartWorker(const std::string &id)
    {
        auto &worker = harness.workers.at(id);
        worker.description.startedMs = ++worker.startedMs;
        harness.scheduler.addOrUpdateWorker(worker.description, harness.now);
        harness.reportFrom(id);
    }

    /** Starts the worker of an instance again under another id. */
    void replaceWorker(const std::string &id, const std::string &next)
    {
        auto description = harness.workers.at(id).description;
        harness.workers.erase(id);
        harness.scheduler.holdUnanswered(id, harness.now);
        auto &worker = harness.workers[next];
        worker.startedMs = 2;
        description.id = next;
        description.startedMs = 2;
        worker.description = std::move(description);
        harness.scheduler.addOrUpdateWorker(worker.description, harness.now);
        harness.reportFrom(next);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FleetControllers, FleetControllerFixture)

// Guards against an order of a previous owner that arrives after one of its successor. An order
// that waits in a link that was cut has not taken its instance down yet: that the worker has been
// up for long does not show that no order for its instance is open.
BOOST_AUTO_TEST_CASE(NoInstanceIsOrderedWhileAnOrderOfThePreviousOwnerMayArrive)
{
    addInstance("m-1", "i-1");
    addWave({"m-1"});
    list();
    controller.tick(start + machineLease - 1ms);
    BOOST_TEST(controller.describeOrder("m-1") == "");
    controller.tick(start + machineLease);
    BOOST_TEST(controller.describeOrder("m-1") == "maintenance in wave 1, not answered yet");
}

// Guards against a worker that gets no tasks for seconds after maintenance because it has kept its
// id.
BOOST_AUTO_TEST_CASE(OrderIsCompleteWhenTheWorkerHasStartedAgainUnderItsId)
{
    orderMaintenance("m-1", "i-1");
    acceptOrder("m-1");
    controller.tick(harness.now);
    BOOST_TEST(controller.describeOrder("m-1") == "maintenance in wave 1, accepted");

    restartWorker("i-1");
    controller.tick(harness.now);
    BOOST_TEST(controller.describeOrder("m-1") == "");
    BOOST_TEST(harness.scheduler.worker("i-1")->usable(harness.now));
}

BOOST_AUTO_TEST_CASE(OrderIsNotCompleteWhileTheWorkerHasNotStartedAgain)
{
    orderMaintenance("m-1", "i-1");
    harness.reportFrom("i-1");
    controller.tick(harness.now);
    BOOST_TEST(controller.describeOrder("m-1") == "maintenance in wave 1, not answered yet");
    BOOST_TEST(harness.scheduler.worker("i-1")->leaving);
}

// Guards against tasks that are started twice: the acceptance of an order may be read after the
// worker has started again under its id, and its tasks run on.
BOOST_AUTO_TEST_CASE(LateAcceptanceDoesNotRetireAWorkerThatHasStartedAgain)
{
    orderMaintenance("m-1", "i-1");
    restartWorker("i-1");
    acceptOrder("m-1");
    BOOST_TEST(!harness.scheduler.worker("i-1")->retired);
}

// Guards against more instances of a wave in maintenance than its ceiling: a worker that crashes
// and starts again while its instance's order is on its way says nothing about the order.
BOOST_AUTO_TEST_CASE(RestartOfAWorkerDoesNotCompleteAnOrderThatIsOnItsWay)
{
    addInstance("m-2", "i-2");
    addInstance("m-1", "i-1");
    addWave({"m-1", "m-2"});
    list();
    harness.now = start + machineLease;
    controller.tick(harness.now);
    runUntil([this] { return service.orders.size() == 1U; });
    BOOST_REQUIRE(!controller.describeOrder("m-1").empty());
    replaceWorker("i-1", "i-9");
    // An instance without tasks is maintained first.
    auto only = step(1);
    only.requiredLabel = "rack-i-1";
    harness.addJob(job("j", {only}));
    harness.decide();
    BOOST_REQUIRE(harness.workerOf({"j", 0, 0, 0}) == "i-9");
    controller.tick(harness.now);
    BOOST_TEST(controller.describeOrder("m-1") == "maintenance in wave 1, not answered yet");
    BOOST_TEST(controller.describeOrder("m-2") == "");
}

BOOST_AUTO_TEST_CASE(AcceptanceRetiresTheWorkerThatTheOrderHasEnded)
{
    orderMaintenance("m-1", "i-1");
    acceptOrder("m-1");
    BOOST_TEST(harness.scheduler.worker("i-1")->retired);
}

// Guards against a pool that stays short of capacity because a small instance in standby is counted
// like the largest one of the fleet.
BOOST_AUTO_TEST_CASE(InstancesWithoutAWorkerCountWithTheirListedCapacity)
{
    FleetConfiguration configuration;
    configuration.pools = {{"pool", true, false}, {"busy", true, false}, {"standby", true, true}};
    controller.setConfiguration(configuration);
    addInstance("m-1", "i-1");
    for (const auto *name : {"m-2", "m-3"}) {
        service.instances.push_back({{"machine", name},
                                     {"pool", "standby"},
                                     {"state", "up"},
                                     {"capacity", {{"cpu", 500}, {"memMb", 8192}, {"gpu", 0}}},
                                     {"id", nullptr}});
    }
    list();
    harness.now = start + machineLease;
    auto submitted = job("j", {step(1)});
    submitted.pool = "busy";
    harness.addJob(std::move(submitted));
    harness.addJob(job("k", {step(1)})); // It keeps m-1 in its pool.
    harness.decide();
    controller.tick(harness.now);
    harness.advanceTime(200ms);
    controller.tick(harness.now);
    BOOST_TEST(controller.describeOrder("m-2") == "move to busy, not answered yet");
    BOOST_TEST(controller.describeOrder("m-3") == "move to busy, not answered yet");
}

BOOST_AUTO_TEST_SUITE_END()
