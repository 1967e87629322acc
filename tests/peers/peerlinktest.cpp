#include "dragonflysill/peers/peerlink.h"
#include "dragonflysill/base/frame.h"
#include "dragonflysill/peers/framedelay.h"
#include "dragonflysill/peers/peerserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace dragonflysill;
using namespace std::chrono_literals;
using Tcp = boost::asio::ip::tcp;

namespace {

/** A peer on the loopback interface that answers status queries when the test calls for it. */
struct PeerFixture
{
    EventLoop loop;
    std::string address = freeAddress();
    std::vector<ReceivedRequest> requests;
    std::vector<PeerServer::Respond> responses;
    bool answering = true;
    std::optional<PeerServer> server;
    PeerLink link{loop, address, Duration{1ms}};
    std::vector<Result<PeerAnswer>> answers;

    PeerFixture() { startServer(); }

    void startServer()
    {
        server.emplace(loop, [this](ReceivedRequest request, PeerServer::Respond respond) {
            requests.push_back(std::move(request));
            if (answering)
                respond(StatusAnswer{JobStatus::Running});
            else
                responses.push_back(std::move(respond));
        });
        BOOST_REQUIRE(server->listen(address).ok());
    }

    static std::string freeAddress()
    {
        boost::asio::io_context context;
        Tcp::acceptor acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
        return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }

    void ask(const std::string &job, Duration timeout = 5s)
    {
        link.call(StatusQuery{job, 0ms}, timeout,
                  [this](Result<PeerAnswer> answer) { answers.push_back(std::move(answer)); });
    }

    /** Runs the loop until @p done returns true; fails the test if that never happens. */
    template <typename Condition>
    void runUntil(Condition done)
    {
        loop.context().restart();
        while (!done() && loop.context().run_one() > 0) {
        }
        BOOST_REQUIRE(done());
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PeerLinks, PeerFixture)

BOOST_AUTO_TEST_CASE(CallsMadeTogetherShareAFrameAndAreAnswered)
{
    link.setFence(7);
    link.connect();
    runUntil([this] { return link.usable(); });
    const auto frames = link.traffic().framesSent;
    for (const auto *job : {"a", "b", "c"})
        ask(job);
    runUntil([this] { return answers.size() == 3; });
    BOOST_TEST(link.traffic().framesSent == frames + 1);
    BOOST_TEST(requests.size() == 3U);
    BOOST_TEST(requests[0].fence == 7);
    BOOST_TEST((*std::get<StatusAnswer>(*answers[2]).status == JobStatus::Running));
}

BOOST_AUTO_TEST_CASE(CallToAPortWithoutListenerIsNotSent)
{
    server.reset();
    ask("a");
    runUntil([this] { return !answers.empty(); });
    BOOST_TEST(answers[0].error().is(ErrorKind::Unreachable));
}

BOOST_AUTO_TEST_CASE(CallThatLosesItsConnectionMayHaveBeenCarriedOut)
{
    answering = false;
    ask("a");
    runUntil([this] { return !requests.empty(); });
    server.reset();
    runUntil([this] { return !answers.empty(); });
    BOOST_TEST(answers[0].error().is(ErrorKind::OutcomeUnknown));
    BOOST_TEST(!link.usable());
}

BOOST_AUTO_TEST_CASE(CallWithoutAnswerEndsAtItsTimeout)
{
    answering = false;
    ask("a", 100ms);
    runUntil([this] { return !answers.empty(); });
    BOOST_TEST(answers[0].error().is(ErrorKind::OutcomeUnknown));
    BOOST_TEST(link.usable());
}

BOOST_AUTO_TEST_CASE(LinkConnectsAgainAfterItsPeerWasRestarted)
{
    ask("a");
    runUntil([this] { return answers.size() == 1; });
    server.reset();
    runUntil([this] { return !link.usable(); });
    startServer();
    loop.after(300ms, [this] { ask("b"); }); // After the delay that follows a failure.
    runUntil([this] { return answers.size() == 2; });
    BOOST_TEST(answers[1].ok());
}

// A peer that accepts connections but does not answer, for example because its process is stopped,
// must not keep calls waiting until their timeout.
BOOST_AUTO_TEST_CASE(SilentPeerEndsCallsBeforeTheirTimeout)
{
    server.reset();
    Tcp::acceptor acceptor(loop.context());
    acceptor.open(Tcp::v4());
    acceptor.set_option(Tcp::acceptor::reuse_address(true));
    acceptor.bind({boost::asio::ip::make_address("127.0.0.1"),
                   static_cast<std::uint16_t>(std::stoi(address.substr(10)))});
    acceptor.listen();
    ask("a", 1h);
    runUntil([this] { return !answers.empty(); });
    BOOST_TEST(answers[0].error().is(ErrorKind::Unreachable));
}

// One malformed frame closes its connection; the server goes on answering others.
BOOST_AUTO_TEST_CASE(MalformedFrameClosesOnlyItsConnection)
{
    Tcp::socket socket(loop.context());
    socket.connect({boost::asio::ip::make_address("127.0.0.1"),
                    static_cast<std::uint16_t>(std::stoi(address.substr(10)))});
    const std::string frame("\x04\x00\x00\x00junk", 8);
    boost::asio::write(socket, boost::asio::buffer(frame));
    runUntil([this] { return server->malformedFrames() == 1; });
    ask("a");
    runUntil([this] { return !answers.empty(); });
    BOOST_TEST(answers[0].ok());
    BOOST_TEST(server->connections() == 1U);
}

// Guards against a link that takes the silence after a message without an answer for that of a dead
// peer.
BOOST_AUTO_TEST_CASE(MessagesWithoutAnAnswerDoNotMakeThePeerLookSilent)
{
    ask("a");
    runUntil([this] { return answers.size() == 1; });
    link.notify(StoredKey{"key", "value", 7});
    runUntil([this] { return requests.size() == 2; });
    const auto &stored = std::get<StoredKey>(requests[1].message);
    BOOST_TEST(stored.key == "key");
    BOOST_TEST(stored.value == "value");
    BOOST_TEST(stored.revision == 7);
    bool asked = false;
    loop.after(1s, [&] {
        ask("b");
        asked = true;
    });
    runUntil([&] { return asked && answers.size() == 2; });
    BOOST_TEST(answers[1].ok());
    BOOST_TEST(server->connections() == 1U);
}

// Guards against an order that a process gives to a delegate after a pause, seconds after the
// order's caller has given it up.
BOOST_AUTO_TEST_CASE(CallThatWaitedWhileTheProcessWasPausedIsNotSent)
{
    link.connect();
    runUntil([this] { return link.usable(); });
    ask("a", 1h);
    std::this_thread::sleep_for(600ms);
    runUntil([this] { return !answers.empty(); });
    BOOST_REQUIRE(!answers[0].ok());
    BOOST_TEST(answers[0].error().is(ErrorKind::Unreachable));
    BOOST_TEST(requests.empty());
    ask("b");
    runUntil([this] { return answers.size() == 2; });
    BOOST_TEST(answers[1].ok());
}

// Guards against a delegate that takes late orders for punctual ones: it measures the delay of
// frames by the first one of their connection, which it read late.
BOOST_AUTO_TEST_CASE(ConnectionWithALateFirstAnswerIsNotUsed)
{
    server.reset();
    Tcp::acceptor acceptor(loop.context());
    acceptor.open(Tcp::v4());
    acceptor.set_option(Tcp::acceptor::reuse_address(true));
    acceptor.bind({boost::asio::ip::make_address("127.0.0.1"),
                   static_cast<std::uint16_t>(std::stoi(address.substr(10)))});
    acceptor.listen();
    link.connect();
    loop.context().poll();
    auto peer = acceptor.accept();
    std::this_thread::sleep_for(600ms);
    PeerEncoder encoder;
    boost::asio::write(peer, boost::asio::buffer(*encodeFrame(encoder.encode({}))));
    runUntil([this] { return link.usable() || link.closed(); });
    BOOST_TEST(link.closed());
}

BOOST_AUTO_TEST_CASE(AnswerAfterTheSessionHasEndedIsDropped)
{
    answering = false;
    ask("a", 100ms);
    runUntil([this] { return !requests.empty(); });
    server.reset();
    for (auto &respond : responses)
        respond(StatusAnswer{});
    runUntil([this] { return !answers.empty(); });
    BOOST_TEST(!answers[0].ok());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(FrameDelays)

// The clocks of two machines have unrelated epochs, and a receiver that was paused reads frames
// late. Guards against orders that are carried out long after they were given.
BOOST_AUTO_TEST_CASE(FrameThatArrivesLaterThanOthersIsDelayed)
{
    FrameDelay delay;
    const TimePoint sender{1000s};
    const TimePoint receiver{5s};
    BOOST_TEST((delay.observe(sender, receiver) == 0ms));
    BOOST_TEST((delay.observe(sender + 10ms, receiver + 12ms) == 2ms));
    BOOST_TEST((delay.observe(sender + 20ms, receiver + 2020ms) == 2s));
    BOOST_TEST((delay.observe(sender + 2100ms, receiver + 2101ms) == 1ms));
}

BOOST_AUTO_TEST_CASE(DriftBetweenTheClocksDoesNotAddUp)
{
    FrameDelay delay;
    Duration worst{0};
    for (Duration at{0}; at < 600s; at += 100ms)
        worst = std::max(worst,
                         delay.observe(TimePoint{at}, TimePoint{at + at / 50})); // 2 % faster
    BOOST_TEST((worst <= 250ms));
}

BOOST_AUTO_TEST_SUITE_END()
