#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/net/httpclient.h"
#include "dragonflysill/net/httpserver.h"

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

/** Processes that use one address in turn and say who they are when they are asked. */
struct IntendedPeerFixture
{
    EventLoop loop;
    std::string address;
    std::int64_t process = 1;
    int questionStatus = 200;
    bool answersQuestions = true;
    std::vector<std::string> targets; ///< Of all requests.
    std::vector<HttpServer::Respond> unanswered;
    std::unique_ptr<HttpServer> server;
    HttpClient client{loop};

    IntendedPeerFixture()
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::acceptor acceptor(context,
                                                {boost::asio::ip::make_address("127.0.0.1"), 0});
        address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        acceptor.close();
        listen();
    }

    /** Ends the process at the address and starts another one. */
    void listen()
    {
        server.reset();
        server = std::make_unique<HttpServer>(
                loop, [this](const HttpRequest &request, const HttpServer::Respond &respond) {
                    targets.push_back(request.target);
                    if (request.target != "/who")
                        respond({200, "carried out", {}});
                    else if (answersQuestions)
                        respond({questionStatus, std::to_string(process), {}});
                    else
                        unanswered.push_back(respond);
                });
        BOOST_REQUIRE(server->listen(address).ok());
    }

    std::optional<Result<HttpResponse>> call(std::int64_t intended, Duration timeout = 5s,
                                             HttpClient::Wanted wanted = {})
    {
        std::optional<Result<HttpResponse>> answer;
        client.call(
                address, {"GET", "/do", {}, {}}, timeout,
                [&answer](Result<HttpResponse> it) { answer = std::move(it); }, std::move(wanted),
                IntendedPeer{intended, {"GET", "/who", {}, {}}, [](const HttpResponse &it) {
                                 return it.body == "carried out" ? 0 : std::stoll(it.body);
                             }});
        loop.context().restart();
        while (!answer && loop.context().run_one() > 0) {
        }
        return answer;
    }
};

using Targets = std::vector<std::string>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(IntendedPeers, IntendedPeerFixture)

BOOST_AUTO_TEST_CASE(QuestionIsAskedOncePerConnection)
{
    for (int n = 0; n < 2; ++n) {
        const auto response = call(1);
        BOOST_REQUIRE((response && response->ok()));
        BOOST_TEST((*response)->body == "carried out");
        BOOST_TEST(!(*response)->answersQuestion);
    }
    BOOST_TEST((targets == Targets{"/who", "/do", "/do"}));
    BOOST_TEST(client.traffic().questions == 1U);
    BOOST_TEST(client.traffic().connectionsOpened == 1U);
}

BOOST_AUTO_TEST_CASE(CallForAnyProcessAsksNothing)
{
    const auto response = call(0);
    BOOST_REQUIRE((response && response->ok()));
    BOOST_TEST((targets == Targets{"/do"}));
}

// Guards against a call that is carried out by another process than the one that it was meant for,
// on a new connection as well as on one on which that process had answered.
BOOST_AUTO_TEST_CASE(CallIsNotSentToAnotherProcess)
{
    process = 2;
    for (int n = 0; n < 2; ++n) {
        const auto response = call(1);
        BOOST_REQUIRE((response && response->ok()));
        BOOST_TEST((*response)->answersQuestion);
        BOOST_TEST((*response)->body == "2");
    }
    BOOST_TEST((targets == Targets{"/who", "/who"}));
    BOOST_TEST(client.traffic().connectionsOpened == 1U);
}

// Guards against the same through a connection that the earlier process has closed.
BOOST_AUTO_TEST_CASE(ConnectionOfAnEarlierProcessDoesNotVouchForTheNextOne)
{
    BOOST_REQUIRE(call(1)->ok());
    process = 2;
    listen();
    targets.clear();
    // The first call may be written to the connection that has ended.
    for (int n = 0; n < 2; ++n) {
        const auto response = call(1);
        BOOST_TEST((!response->ok() || (*response)->answersQuestion));
    }
    BOOST_TEST((targets == Targets{"/who"}));
}

BOOST_AUTO_TEST_CASE(RefusedQuestionIsTheAnswerToTheCall)
{
    questionStatus = 409;
    const auto response = call(1);
    BOOST_REQUIRE((response && response->ok()));
    BOOST_TEST((*response)->answersQuestion);
    BOOST_TEST((*response)->status == 409);
    BOOST_TEST((targets == Targets{"/who"}));
}

// Guards against tasks that wait although their start is certain not to be carried out.
BOOST_AUTO_TEST_CASE(CallWhoseQuestionIsNotAnsweredIsUnreachable)
{
    answersQuestions = false;
    const auto response = call(1, 100ms);
    BOOST_REQUIRE((response && !response->ok()));
    BOOST_TEST(response->error().is(ErrorKind::Unreachable));
    BOOST_TEST((targets == Targets{"/who"}));
}

// Guards against a call that is carried out although it was withdrawn while its question was asked.
BOOST_AUTO_TEST_CASE(CallThatIsWithdrawnBeforeTheAnswerIsNotSent)
{
    int asked = 0;
    const auto response = call(1, 5s, [&asked] { return ++asked == 1; });
    BOOST_REQUIRE((response && !response->ok()));
    BOOST_TEST(response->error().is(ErrorKind::Unreachable));
    BOOST_TEST((targets == Targets{"/who"}));
    BOOST_REQUIRE(call(1)->ok());
    BOOST_TEST((targets == Targets{"/who", "/do"}));
}

// Guards against a start that counts as refused by another process: the intended one has answered,
// on a connection that ended with its answer.
BOOST_AUTO_TEST_CASE(CallIsUnreachableIfTheConnectionEndsWithTheAnswer)
{
    server->drain();
    const auto response = call(1);
    BOOST_REQUIRE((response && !response->ok()));
    BOOST_TEST(response->error().is(ErrorKind::Unreachable));
    BOOST_TEST((targets == Targets{"/who"}));
}

// Guards against a call that is sent after its owner has ended.
BOOST_AUTO_TEST_CASE(CallOfADestroyedClientIsNotSent)
{
    answersQuestions = false;
    auto other = std::make_unique<HttpClient>(loop);
    std::optional<Result<HttpResponse>> answer;
    other->call(
            address, {"GET", "/do", {}, {}}, 5s,
            [&answer](Result<HttpResponse> it) { answer = std::move(it); }, {},
            IntendedPeer{1, {"GET", "/who", {}, {}}, [](const HttpResponse &it) {
                             return std::stoll(it.body);
                         }});
    while (unanswered.empty() && loop.context().run_one() > 0) {
    }
    other.reset();
    unanswered[0]({200, "1", {}});
    while (!answer && loop.context().run_one() > 0) {
    }
    BOOST_REQUIRE(answer);
    BOOST_TEST(!answer->ok());
    BOOST_TEST((targets == Targets{"/who"}));
}

BOOST_AUTO_TEST_SUITE_END()
