#include "dragonflysill/node/workerdelegate.h"
#include "dragonflysill/jobs/json.h"
#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/net/httpclient.h"
#include "dragonflysill/net/httpserver.h"
#include "dragonflysill/node/workerorders.h"
#include "dragonflysill/peers/peerlink.h"
#include "dragonflysill/peers/peerserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace dragonflysill;
using namespace std::chrono_literals;

namespace {

std::string freeAddress()
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context,
                                            {boost::asio::ip::make_address("127.0.0.1"), 0});
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

/** An owner, a delegate and a worker on the loopback interface. */
struct DelegateFixture
{
    static constexpr std::int64_t fence = 5;

    EventLoop loop;
    std::string workerAddress = freeAddress();
    std::map<std::string, int> calls; ///< Of the worker, by path.
    bool startsAnswered = true;
    std::vector<HttpServer::Respond> unanswered;
    std::int64_t incarnation = 3; ///< Start time of the worker in Unix milliseconds.
    std::vector<Json> holds; ///< That the present incarnation has received.
    std::unique_ptr<HttpServer> worker;
    HttpClient delegateClient{loop};
    LoadGovernor governor;
    WorkerDelegate delegate{loop, delegateClient, delegateClient, governor};
    std::string delegateAddress = freeAddress();
    bool delegateAnswers = true;
    int delegated = 0;
    std::unique_ptr<PeerServer> server;
    PeerLink link{loop, delegateAddress, Duration{1ms}};
    HttpClient ownerClient{loop};
    int failedLinks = 0;
    WorkerOrders orders{loop,
                        ownerClient,
                        ownerClient,
                        governor,
                        fence,
                        {[this](const WorkerTarget &, int copy) {
                             return copy == 0 ? WorkerChannel(DelegateChannel{&link})
                                              : DirectChannel{};
                         },
                         [this](const WorkerChannel &) { ++failedLinks; }}};

    DelegateFixture()
    {
        startWorker();
        server = std::make_unique<PeerServer>(
                loop, [this](const ReceivedRequest &request, const PeerServer::Respond &respond) {
                    ++delegated;
                    if (delegateAnswers)
                        delegate.handle(request, respond);
                });
        BOOST_REQUIRE(server->listen(delegateAddress).ok());
        link.setFence(fence);
        link.connect();
        runUntil([this] { return link.usable(); });
    }

    void startWorker()
    {
        worker = std::make_unique<HttpServer>(
                loop, [this](const HttpRequest &request, const HttpServer::Respond &respond) {
                    ++calls[request.target];
                    if (!startsAnswered && request.target == "/v1/run-start") {
                        unanswered.push_back(respond);
                        return;
                    }
                    if (request.target == "/v1/hold")
                        holds.push_back(Json::parse(request.body));
                    respond({200,
                             R"({"clockMs":7,"born":)" + std::to_string(incarnation)
                                     + R"(,"running":[["0123456789abcdef.0.0.1",4,"",41]],)"
                                       R"("ended":[[9,"0123456789abcdef.0.0.2",3,"done",""]]})",
                             {}});
                });
        BOOST_REQUIRE(worker->listen(workerAddress).ok());
    }

    /** Replaces the worker by its next incarnation, with the same id and address. */
    void restartWorker()
    {
        worker.reset();
        ++incarnation;
        calls.clear();
        holds.clear();
        startWorker();
    }

    template <typename Condition>
    void runUntil(Condition done)
    {
        loop.context().restart();
        while (!done() && loop.context().run_one() > 0) {
        }
        BOOST_REQUIRE(done());
    }

    /** @param startedMs incarnation of the worker that the start is for; 0 for any */
    OrderOutcome start(std::int64_t startedMs = 0)
    {
        std::optional<OrderOutcome> result;
        orders.start(workerAddress,
                     {"w", {"0123456789abcdef", 0, 0, 0}, 1, "p", {}, {}, 100, startedMs}, 10s,
                     [&](const OrderOutcome &it) { result = it; });
        runUntil([&] { return result.has_value(); });
        return *result;
    }

    Result<WorkerReport> hold(bool listRunning)
    {
        std::optional<Result<WorkerReport>> result;
        orders.hold({{"w", workerAddress}, {}, 0ms, 10s, listRunning},
                    [&](const Result<WorkerReport> &it) { result = it; });
        runUntil([&] { return result.has_value(); });
        return *result;
    }

    /** Sends a hold with a time and an acknowledgement for an incarnation of the worker. */
    Result<WorkerReport> holdFor(std::int64_t startedMs)
    {
        std::optional<Result<WorkerReport>> result;
        orders.hold({{"w", workerAddress}, {9000, 5, startedMs}, 0ms, 10s, true},
                    [&](const Result<WorkerReport> &it) { result = it; });
        runUntil([&] { return result.has_value(); });
        return *result;
    }

    /** Passes a request to the delegate as if it had arrived in a frame. */
    PeerAnswer receive(PeerRequest message, std::int64_t requestFence, Duration delay)
    {
        std::optional<PeerAnswer> result;
        delegate.handle({std::move(message), requestFence, delay},
                        [&](PeerAnswer it) { result = std::move(it); });
        runUntil([&] { return result.has_value(); });
        return *result;
    }

    DelegatedStart startRequest() const
    {
        return {{"w", {"0123456789abcdef", 0, 0, 0}, 1, "p", {}, {}, 100}, workerAddress, 10s};
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DelegatedCalls, DelegateFixture)

BOOST_AUTO_TEST_CASE(DelegateCarriesOutAnOrderAndTellsItsOutcome)
{
    const auto outcome = start();
    BOOST_REQUIRE(std::holds_alternative<OrderConfirmed>(outcome));
    BOOST_TEST(std::get<OrderConfirmed>(outcome).clock == 7);
    BOOST_TEST(delegated == 1);
    BOOST_TEST(calls["/v1/run-start"] == 1);
    BOOST_TEST(orders.counts().delegated == 1U);
    BOOST_TEST(orders.counts().direct == 0U);
}

// The list of running tasks is most of a report, and the owner needs it only now and then.
BOOST_AUTO_TEST_CASE(ReportListsRunningTasksOnRequestAndEndsAlways)
{
    const auto full = hold(true);
    BOOST_REQUIRE(full.ok());
    BOOST_TEST(full->runningListed);
    BOOST_TEST(full->running.size() == 1U);
    BOOST_TEST(full->ended.size() == 1U);
    const auto brief = hold(false);
    BOOST_REQUIRE(brief.ok());
    BOOST_TEST(!brief->runningListed);
    BOOST_TEST(brief->running.empty());
    BOOST_TEST(brief->ended.size() == 1U);
    BOOST_TEST(brief->startedMs == 3);
}

// A delegate that is killed during a turn has dozens of orders in hand. Guards against tasks that
// are given up, and started elsewhere later, because of it.
BOOST_AUTO_TEST_CASE(OrderOfALostDelegateIsSentDirectly)
{
    delegateAnswers = false;
    std::optional<OrderOutcome> result;
    orders.start(workerAddress, startRequest().order, 10s,
                 [&](const OrderOutcome &it) { result = it; });
    runUntil([this] { return delegated == 1; });
    server.reset();
    runUntil([&] { return result.has_value(); });
    BOOST_TEST(std::holds_alternative<OrderConfirmed>(*result));
    BOOST_TEST(calls["/v1/run-start"] == 1);
    BOOST_TEST(failedLinks == 1);
}

BOOST_AUTO_TEST_CASE(HoldOfALostDelegateIsSentDirectly)
{
    delegateAnswers = false;
    std::optional<Result<WorkerReport>> result;
    orders.hold({{"w", workerAddress}, {}, 800ms, 10s, true},
                [&](const Result<WorkerReport> &it) { result = it; });
    runUntil([this] { return delegated == 1; });
    server.reset();
    runUntil([&] { return result.has_value(); });
    BOOST_TEST(result->ok());
}

// A delegate that is paused keeps its connection; its workers must be reached meanwhile.
BOOST_AUTO_TEST_CASE(OrderIsSentDirectlyIfTheDelegateIsSilent)
{
    delegateAnswers = false;
    BOOST_TEST(std::holds_alternative<OrderConfirmed>(start()));
    BOOST_TEST(delegated == 1);
    BOOST_TEST(orders.counts().direct == 1U);
}

// Guards against a process that was paused for some seconds and then acts on orders that have been
// given up meanwhile.
BOOST_AUTO_TEST_CASE(OrderThatArrivesLateIsNotCarriedOut)
{
    const auto answer = receive(startRequest(), fence, 2s);
    BOOST_REQUIRE(std::holds_alternative<StartRefusal>(answer));
    BOOST_TEST((std::get<StartRefusal>(answer) == StartRefusal::NotSent));
    BOOST_TEST(calls.empty());
    BOOST_TEST(delegate.refused() == 1U);
    const auto hold = receive(DelegatedHold{{"w", workerAddress}, {}, 0ms, 10s, true}, fence, 2s);
    BOOST_TEST(std::holds_alternative<Error>(hold));
    BOOST_TEST(calls.empty());
}

// Guards against orders of two owners around a hand-over: what the earlier one sent may still be on
// its way to the delegate.
BOOST_AUTO_TEST_CASE(OrderOfAnEarlierOwnerIsNotCarriedOut)
{
    BOOST_TEST(std::holds_alternative<OrderConfirmed>(receive(startRequest(), fence + 1, 0ms)));
    const auto answer = receive(startRequest(), fence, 0ms);
    BOOST_REQUIRE(std::holds_alternative<StartRefusal>(answer));
    BOOST_TEST((std::get<StartRefusal>(answer) == StartRefusal::Fenced));
    BOOST_TEST(calls["/v1/run-start"] == 1);
}

// Guards against a start of an earlier owner that reaches the next incarnation of a worker, which
// knows neither fence, after the present owner has started the task elsewhere.
BOOST_AUTO_TEST_CASE(CopiesForAnEarlierOwnerAreNotSent)
{
    startsAnswered = false;
    std::optional<PeerAnswer> earlier;
    auto request = startRequest();
    request.timeout = 500ms;
    delegate.handle({request, fence, 0ms}, [&](PeerAnswer it) { earlier = std::move(it); });
    runUntil([this] { return !unanswered.empty(); });
    const DelegatedStop stop{{"w", {"0123456789abcdef", 0, 0, 0}, 1}, workerAddress, 10s};
    BOOST_TEST(std::holds_alternative<OrderConfirmed>(receive(stop, fence + 1, 0ms)));
    const auto sent = calls["/v1/run-start"];
    runUntil([&] { return earlier.has_value(); });
    BOOST_REQUIRE(std::holds_alternative<Error>(*earlier));
    BOOST_TEST(std::get<Error>(*earlier).is(ErrorKind::OutcomeUnknown));
    BOOST_TEST(calls["/v1/run-start"] == sent);
}

// Guards against the same for an order that has not been written when the next owner calls.
BOOST_AUTO_TEST_CASE(OrderOfAnEarlierOwnerThatWaitsIsNotSent)
{
    std::optional<PeerAnswer> earlier;
    delegate.handle({startRequest(), fence, 0ms}, [&](PeerAnswer it) { earlier = std::move(it); });
    const DelegatedStop stop{{"w", {"0123456789abcdef", 0, 0, 0}, 1}, workerAddress, 10s};
    BOOST_TEST(std::holds_alternative<OrderConfirmed>(receive(stop, fence + 1, 0ms)));
    runUntil([&] { return earlier.has_value(); });
    BOOST_REQUIRE(std::holds_alternative<StartRefusal>(*earlier));
    BOOST_TEST((std::get<StartRefusal>(*earlier) == StartRefusal::NotSent));
    BOOST_TEST(calls["/v1/run-start"] == 0);
}

// Guards against a task that runs twice (TWICE): a start that a delegate sends to the next
// incarnation of a worker, which knows neither its fencing token nor the clock that its hold is a
// time of.
BOOST_AUTO_TEST_CASE(DelegatedStartForAnEarlierIncarnationIsNotCarriedOutByTheNext)
{
    BOOST_TEST(std::holds_alternative<OrderConfirmed>(start(3)));
    BOOST_TEST(calls["/v1/run-start"] == 1);
    restartWorker();
    // The first one may be written to the closed connection of before, which leaves it unanswered.
    BOOST_TEST(!std::holds_alternative<OrderConfirmed>(start(3)));
    const auto direct = orders.counts().direct;
    const auto outcome = start(3);
    BOOST_TEST(calls["/v1/run-start"] == 0);
    BOOST_REQUIRE(std::holds_alternative<StartRefusal>(outcome));
    BOOST_TEST((std::get<StartRefusal>(outcome) == StartRefusal::OtherIncarnation));
    BOOST_TEST(std::holds_alternative<OrderConfirmed>(start(4)));
    BOOST_TEST(calls["/v1/run-start"] == 1);
    BOOST_TEST(delegated == 4);
    BOOST_TEST(orders.counts().direct == direct);
}

// Guards against the same by a hold: the next incarnation takes its time for one of its own clock
// and keeps runs for longer than any owner knows (TWICE), and forgets ends that no owner has
// processed.
BOOST_AUTO_TEST_CASE(DelegatedHoldForAnEarlierIncarnationBringsTheNextNoTime)
{
    const auto before = holdFor(3);
    BOOST_REQUIRE(before.ok());
    BOOST_TEST(before->startedMs == 3);
    BOOST_REQUIRE(!holds.empty());
    BOOST_TEST(holds.back().value("deadlineMs", 0) == 9000);
    BOOST_TEST(holds.back().value("ackedUpto", 0) == 5);
    restartWorker();
    // A hold that finds the connection of the earlier incarnation closed is not answered.
    auto after = holdFor(3);
    for (int n = 0; n < 2 && !after; ++n)
        after = holdFor(3);
    BOOST_REQUIRE(after.ok());
    BOOST_TEST(after->startedMs == 4);
    BOOST_TEST(!holds.empty());
    for (const auto &it : holds) {
        BOOST_TEST(!it.contains("deadlineMs"));
        BOOST_TEST(it.value("ackedUpto", 0) == 0);
    }
    BOOST_TEST(orders.counts().direct == 0U);
}

BOOST_AUTO_TEST_CASE(RequestThatIsNoCallToAWorkerIsRefused)
{
    BOOST_TEST(std::holds_alternative<Error>(receive(StatusQuery{"j", 0ms}, fence, 0ms)));
    BOOST_TEST(calls.empty());
}

BOOST_AUTO_TEST_SUITE_END()
