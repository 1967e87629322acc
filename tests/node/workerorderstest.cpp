#include "dragonflysill/node/workerorders.h"
#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/net/httpclient.h"
#include "dragonflysill/net/httpserver.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace dragonflysill;
using namespace std::chrono_literals;

namespace {

/** A worker that does not answer the first calls of a path. */
struct SilentWorkerFixture
{
    EventLoop loop;
    std::string address = freeAddress();
    int silentCalls = 1;
    std::map<std::string, int> calls; ///< By path.
    std::vector<HttpServer::Respond> unanswered;
    HttpServer worker{loop, [this](const HttpRequest &request, HttpServer::Respond respond) {
                          if (++calls[request.target] <= silentCalls)
                              unanswered.push_back(std::move(respond));
                          else
                              respond({200, body, {}});
                      }};
    std::string body = R"({"clockMs":7,"born":3,"running":[],"ended":[]})";
    HttpClient client{loop};
    LoadGovernor governor;
    WorkerOrders orders{loop, client, client, governor, 1};
    HttpClient narrowClient{loop, {1}}; ///< Copies wait for the answer to the one before.
    WorkerOrders narrowOrders{loop, narrowClient, narrowClient, governor, 1};

    SilentWorkerFixture() { BOOST_REQUIRE(worker.listen(address).ok()); }

    static std::string freeAddress()
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::acceptor acceptor(context,
                                                {boost::asio::ip::make_address("127.0.0.1"), 0});
        return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }

    template <typename T>
    T await(std::optional<T> &result)
    {
        loop.context().restart();
        while (!result && loop.context().run_one() > 0) {
        }
        BOOST_REQUIRE(result.has_value());
        return *result;
    }

    OrderOutcome start(Milliseconds timeout)
    {
        std::optional<OrderOutcome> result;
        orders.start(address, {"w", {"j", 0, 0, 0}, 1, "p", {}, {}, 100}, timeout,
                     [&](const OrderOutcome &it) { result = it; });
        return await(result);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WorkersThatDoNotAnswer, SilentWorkerFixture)

// Guards against tasks that are given up and started elsewhere because one answer of a worker that
// is well was lost.
BOOST_AUTO_TEST_CASE(StartIsSentAgainToTheSameWorker)
{
    const auto outcome = start(10s);
    BOOST_REQUIRE(std::holds_alternative<OrderConfirmed>(outcome));
    BOOST_TEST(std::get<OrderConfirmed>(outcome).clock == 7);
    BOOST_TEST(calls["/v1/run-start"] == 2);
    BOOST_TEST(orders.counts().repeated == 1U);
}

BOOST_AUTO_TEST_CASE(StartThatNoCopyOfWasAnsweredMayHaveBeenCarriedOut)
{
    silentCalls = 100;
    BOOST_TEST(std::holds_alternative<OrderUnanswered>(start(300ms)));
    BOOST_TEST(calls["/v1/run-start"] == OrderAttempts::maxCopies);
}

// A worker that ends without closing its connections is replaced by one at the same address. Guards
// against an order to the new one that is lost with the first connection, which fails at once: its
// task waits until a stop of the order has been answered.
BOOST_AUTO_TEST_CASE(StartIsSentAgainIfItsConnectionFails)
{
    using Tcp = boost::asio::ip::tcp;
    silentCalls = 0;
    const auto failing = freeAddress();
    const auto port = static_cast<std::uint16_t>(std::stoi(failing.substr(failing.find(':') + 1)));
    Tcp::acceptor acceptor(loop.context(), {boost::asio::ip::make_address("127.0.0.1"), port});
    Tcp::socket connection(loop.context());
    std::string bytes(1000, ' ');
    HttpServer successor{loop, [this](const HttpRequest &, const HttpServer::Respond &respond) {
                             respond({200, body, {}});
                         }};
    acceptor.async_accept(connection, [&](boost::system::error_code) {
        connection.async_read_some(boost::asio::buffer(bytes),
                                   [&](boost::system::error_code, std::size_t) {
                                       connection.close();
                                       acceptor.close();
                                       BOOST_REQUIRE(successor.listen(failing).ok());
                                   });
    });
    address = failing;
    BOOST_TEST(std::holds_alternative<OrderConfirmed>(start(10s)));
    BOOST_TEST(orders.counts().repeated == 1U);
}

// Guards against a start that is carried out by the next incarnation of a worker: copies that
// waited in the process were sent after another one had been answered.
BOOST_AUTO_TEST_CASE(CopiesThatWaitWhenTheOrderIsDecidedAreNotSent)
{
    std::optional<OrderOutcome> result;
    narrowOrders.start(address, {"w", {"j", 0, 0, 0}, 1, "p", {}, {}, 100}, 10s,
                       [&](const OrderOutcome &it) { result = it; });
    while (narrowOrders.counts().repeated < 2 && loop.context().run_one() > 0) {
    }
    BOOST_REQUIRE(unanswered.size() == 1U);
    silentCalls = 0;
    unanswered[0]({200, body, {}});
    BOOST_TEST(std::holds_alternative<OrderConfirmed>(await(result)));
    std::optional<OrderOutcome> next;
    narrowOrders.stop(address, {"w", {"j", 0, 0, 1}, 1}, 10s,
                      [&](const OrderOutcome &it) { next = it; });
    BOOST_TEST(std::holds_alternative<OrderConfirmed>(await(next)));
    BOOST_TEST(calls["/v1/run-start"] == 1);
}

// Guards against a process that was paused and goes on to send an order that its caller books as
// unanswered.
BOOST_AUTO_TEST_CASE(CopiesAreNotSentAfterTheTimeoutOfTheFirst)
{
    silentCalls = 100;
    std::optional<OrderOutcome> result;
    orders.start(address, {"w", {"j", 0, 0, 0}, 1, "p", {}, {}, 100}, 300ms,
                 [&](const OrderOutcome &it) { result = it; });
    while (calls.empty() && loop.context().run_one() > 0) {
    }
    const auto repeated = orders.counts().repeated;
    std::this_thread::sleep_for(400ms);
    BOOST_TEST(std::holds_alternative<OrderUnanswered>(await(result)));
    BOOST_TEST(orders.counts().repeated == repeated);
}

// Guards against orders of an owner that has lost its lease beside those of the next one: only the
// first copy depended on the lease.
BOOST_AUTO_TEST_CASE(CopiesAreNotSentAfterTheLeaseOfTheirOwner)
{
    silentCalls = 100;
    bool leased = true;
    orders.setMayGiveOrders([&] { return leased; });
    std::optional<OrderOutcome> result;
    orders.start(address, {"w", {"j", 0, 0, 0}, 1, "p", {}, {}, 100}, 500ms,
                 [&](const OrderOutcome &it) { result = it; });
    while (calls.empty() && loop.context().run_one() > 0) {
    }
    leased = false;
    const auto repeated = orders.counts().repeated;
    BOOST_TEST(std::holds_alternative<OrderUnanswered>(await(result)));
    BOOST_TEST(orders.counts().repeated == repeated);
}

// Guards against a copy of a start that is sent after the end of its run was reported, because the
// answer was lost, and that the next incarnation of the worker carries out (TWICE).
BOOST_AUTO_TEST_CASE(CopiesAreNotSentOnceAReportHasToldOfTheRun)
{
    silentCalls = 100;
    bool undecided = true;
    std::optional<OrderOutcome> result;
    orders.start(
            address, {"w", {"j", 0, 0, 0}, 1, "p", {}, {}, 100}, 500ms,
            [&](const OrderOutcome &it) { result = it; }, [&] { return undecided; });
    while (calls.empty() && loop.context().run_one() > 0) {
    }
    undecided = false;
    const auto repeated = orders.counts().repeated;
    BOOST_TEST(std::holds_alternative<OrderUnanswered>(await(result)));
    BOOST_TEST(orders.counts().repeated == repeated);
}

BOOST_AUTO_TEST_CASE(StopIsSentAgain)
{
    std::optional<OrderOutcome> result;
    orders.stop(address, {"w", {"j", 0, 0, 0}, 1}, 10s,
                [&](const OrderOutcome &it) { result = it; });
    BOOST_TEST(std::holds_alternative<OrderConfirmed>(await(result)));
    BOOST_TEST(calls["/v1/run-stop"] == 2);
}

// Guards against a worker whose ended runs go unnoticed and whose capacity stays unused until the
// timeout of a lost hold.
BOOST_AUTO_TEST_CASE(HoldIsSentAgain)
{
    std::optional<Result<WorkerReport>> result;
    orders.hold({{"w", address}, {}, 50ms, 10s, true},
                [&](const Result<WorkerReport> &it) { result = it; });
    const auto report = await(result);
    BOOST_REQUIRE(report.ok());
    BOOST_TEST(report->startedMs == 3);
    BOOST_TEST(calls["/v1/hold"] == 2);
}

// Guards against a completed task that runs again: the numbers of ends restart with each
// incarnation, and one that a late copy of a hold reaches would forget an end that no owner has
// seen.
BOOST_AUTO_TEST_CASE(CopiesOfAHoldAcknowledgeNoEnds)
{
    std::vector<std::string> bodies;
    HttpServer server{loop, [&](const HttpRequest &request, HttpServer::Respond respond) {
                          bodies.push_back(request.body);
                          if (bodies.size() == 1)
                              unanswered.push_back(std::move(respond));
                          else
                              respond({200, body, {}});
                      }};
    address = freeAddress();
    BOOST_REQUIRE(server.listen(address).ok());
    DelegatedHold hold{{"w", address}, {}, 50ms, 10s, true};
    hold.request.acknowledgedEnds = 5;
    std::optional<Result<WorkerReport>> result;
    orders.hold(hold, [&](const Result<WorkerReport> &it) { result = it; });
    BOOST_REQUIRE(await(result).ok());
    BOOST_REQUIRE(bodies.size() == 2U);
    BOOST_TEST(bodies[0].find(R"("ackedUpto":5)") != std::string::npos);
    BOOST_TEST(bodies[1].find(R"("ackedUpto":0)") != std::string::npos);
}

// A copy that arrives after a newer pace would undo it.
BOOST_AUTO_TEST_CASE(PaceIsNotSentAgain)
{
    std::optional<OrderOutcome> result;
    orders.pace(address, {"w", {"j", 0, 0, 0}, 1, 40}, 300ms,
                [&](const OrderOutcome &it) { result = it; });
    BOOST_TEST(std::holds_alternative<OrderUnanswered>(await(result)));
    BOOST_TEST(calls["/v1/pace"] == 1);
}

BOOST_AUTO_TEST_SUITE_END()
