#include "dragonflysill/jobs/json.h"
#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/net/httpclient.h"
#include "dragonflysill/net/httpserver.h"
#include "dragonflysill/node/workerorders.h"
#include "support/logcapture.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace dragonflysill;
using namespace std::chrono_literals;

namespace {

/** A worker that restarts under its id and at its address. */
struct RestartedWorkerFixture
{
    struct Call
    {
        std::int64_t incarnation = 0; ///< That carried it out.
        std::string path;
        Json body;
    };

    EventLoop loop;
    std::string address;
    std::int64_t incarnation = 1; ///< Its start time in Unix milliseconds.
    bool up = true;
    std::vector<Call> calls;
    /** Requests that wait in the port of the worker, which stays open while it is down. */
    std::vector<std::pair<HttpRequest, HttpServer::Respond>> waiting;
    std::unique_ptr<HttpServer> server;
    HttpClient holdClient{loop};
    HttpClient orderClient{loop};
    LoadGovernor governor;
    WorkerOrders orders{loop, holdClient, orderClient, governor, 1};

    RestartedWorkerFixture()
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::acceptor acceptor(context,
                                                {boost::asio::ip::make_address("127.0.0.1"), 0});
        address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        acceptor.close();
        listen();
    }

    void listen()
    {
        server = std::make_unique<HttpServer>(
                loop, [this](HttpRequest request, HttpServer::Respond respond) {
                    if (up)
                        carryOut(request, respond);
                    else
                        waiting.emplace_back(std::move(request), std::move(respond));
                });
        BOOST_REQUIRE(server->listen(address).ok());
    }

    void carryOut(const HttpRequest &request, const HttpServer::Respond &respond)
    {
        calls.push_back({incarnation, request.target, Json::parse(request.body)});
        const auto clock = std::to_string(1000 * incarnation);
        respond({200,
                 request.target == "/v1/hold"
                         ? R"({"clockMs":)" + clock + R"(,"born":)" + std::to_string(incarnation)
                                   + R"(,"running":[],"ended":[]})"
                         : R"({"clockMs":)" + clock + "}",
                 {}});
    }

    /** Ends the worker and its connections; its port stays open. */
    void crash()
    {
        up = false;
        server.reset();
        listen();
    }

    void startAgain()
    {
        ++incarnation;
        up = true;
        for (const auto &[request, respond] : std::exchange(waiting, {}))
            carryOut(request, respond);
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

    /** Runs the event loop until a request waits in the port. */
    void awaitWaitingRequest()
    {
        loop.context().restart();
        while (waiting.empty() && loop.context().run_one() > 0) {
        }
    }

    /** Sends holds for the first incarnation until one is answered. */
    WorkerReport report()
    {
        for (int n = 0; n < 3; ++n) {
            std::optional<Result<WorkerReport>> result;
            sendHold(result);
            if (const auto it = await(result))
                return *it;
        }
        BOOST_FAIL("no answer");
        return {};
    }

    void sendHold(std::optional<Result<WorkerReport>> &result)
    {
        DelegatedHold hold{{"w", address}, {}, 0ms, 10s, true};
        hold.request.holdUntil = 9000;
        hold.request.acknowledgedEnds = 5;
        hold.request.startedMs = 1;
        orders.hold(hold, [&result](const Result<WorkerReport> &it) { result = it; });
    }

    void sendStart(std::optional<OrderOutcome> &result)
    {
        StartTask start{"w", {"j", 0, 0, 0}, 1, "p", {}, {}, 9000};
        start.startedMs = 1;
        orders.start(address, start, 10s, [&result](const OrderOutcome &it) { result = it; });
    }

    /** Checks that the later incarnation got no times, ends or starts of the earlier one. */
    void checkThatNothingReachedTheNextIncarnation() const
    {
        for (const auto &it : calls) {
            if (it.incarnation == 1)
                continue;
            BOOST_TEST(it.path == "/v1/hold");
            BOOST_TEST(!it.body.contains("deadlineMs"));
            BOOST_TEST(it.body.value("ackedUpto", 0) == 0);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RestartedWorkers, RestartedWorkerFixture)

// Guards against a task that runs twice: the next incarnation takes the end of a hold of before for
// a time on its own clock, and keeps its runs for longer than any owner knows (TWICE). An
// acknowledgement of before makes it forget ends that no owner has processed.
BOOST_AUTO_TEST_CASE(HoldForAnEarlierIncarnationBringsTheNextNoTimeAndNoAcknowledgement)
{
    BOOST_TEST(report().startedMs == 1);
    BOOST_TEST(calls.back().body.value("deadlineMs", 0) == 9000);
    BOOST_TEST(calls.back().body.value("ackedUpto", 0) == 5);
    crash();
    startAgain();
    BOOST_TEST(report().startedMs == 2);
    checkThatNothingReachedTheNextIncarnation();
}

// Guards against a restart that the log does not show: the line tells which incarnation a hold was
// for and which one answered.
BOOST_AUTO_TEST_CASE(HoldAnsweredByAnotherIncarnationIsLogged)
{
    const test::LogCapture log;
    BOOST_TEST(report().startedMs == 1);
    BOOST_TEST(log.lines().empty());
    crash();
    startAgain();
    BOOST_TEST(report().startedMs == 2);
    BOOST_TEST(log.lines().find(R"("event":"hold-withheld-from-other-incarnation","worker":"w",)"
                                R"("sent_to":"1","answered_by":"2","clock_ms":"2000",)"
                                R"("hold_until":"9000","acknowledged":"5",)")
               != std::string::npos);
}

// Guards against the same by a start, which also runs under no fencing token of a later owner.
BOOST_AUTO_TEST_CASE(StartForAnEarlierIncarnationIsNotCarriedOutByTheNext)
{
    std::optional<OrderOutcome> first;
    sendStart(first);
    BOOST_TEST(std::holds_alternative<OrderConfirmed>(await(first)));
    crash();
    startAgain();
    // A connection in use a moment ago is not checked, so that this start may be written to the one
    // that has ended; then it is not known what became of it.
    std::optional<OrderOutcome> second;
    sendStart(second);
    const auto uncertain = await(second);
    const auto *refusal = std::get_if<StartRefusal>(&uncertain);
    BOOST_TEST((std::holds_alternative<OrderUnanswered>(uncertain)
                || (refusal != nullptr && *refusal == StartRefusal::OtherIncarnation)));
    std::optional<OrderOutcome> third;
    sendStart(third);
    const auto outcome = await(third);
    BOOST_REQUIRE(std::holds_alternative<StartRefusal>(outcome));
    BOOST_TEST((std::get<StartRefusal>(outcome) == StartRefusal::OtherIncarnation));
    checkThatNothingReachedTheNextIncarnation();
}

// Guards against the same by calls that wait in the open port of a worker that is down.
BOOST_AUTO_TEST_CASE(CallsThatWaitedForTheWorkerAreNotCarriedOutByTheNextIncarnation)
{
    crash();
    std::optional<Result<WorkerReport>> hold;
    sendHold(hold);
    awaitWaitingRequest();
    std::optional<OrderOutcome> start;
    sendStart(start);
    const auto waitingBefore = waiting.size();
    while (waiting.size() == waitingBefore && loop.context().run_one() > 0) {
    }
    startAgain();
    BOOST_REQUIRE(await(hold).ok());
    BOOST_TEST(std::holds_alternative<StartRefusal>(await(start)));
    checkThatNothingReachedTheNextIncarnation();
}

BOOST_AUTO_TEST_SUITE_END()
