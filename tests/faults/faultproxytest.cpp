#include "dragonflysill/faults/faultproxy.h"
#include "dragonflysill/net/httpclient.h"
#include "dragonflysill/net/httpserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

using namespace dragonflysill;
using namespace std::chrono_literals;
using Tcp = boost::asio::ip::tcp;

namespace {

/** A client that reaches a server through a proxy. */
struct ProxyFixture
{
    EventLoop loop;
    std::string serverAddress = freeAddress();
    std::optional<HttpServer> server;
    std::vector<std::string> requests; ///< Targets of the requests that the server received.
    FaultProxy proxy{loop, freeAddress(), serverAddress};
    HttpClient client{loop};

    ProxyFixture()
    {
        restartServer();
        BOOST_REQUIRE(proxy.listen().ok());
    }

    /** Replaces the server by another one on the same address. */
    void restartServer()
    {
        server.emplace(loop,
                       [this](const HttpRequest &request, const HttpServer::Respond &respond) {
                           requests.push_back(request.target);
                           respond({200, request.target, {}});
                       });
        BOOST_REQUIRE(server->listen(serverAddress).ok());
    }

    /** Runs the loop until the server has received one request, which must have the target. */
    void awaitRequest(const std::string &target)
    {
        while (requests.empty())
            loop.context().run_one();
        BOOST_TEST(requests == std::vector<std::string>{target}, boost::test_tools::per_element());
        requests.clear();
    }

    Tcp::socket connectToProxy()
    {
        const auto colon = proxy.address().find(':');
        Tcp::socket socket(loop.context());
        socket.connect({boost::asio::ip::make_address(proxy.address().substr(0, colon)),
                        static_cast<std::uint16_t>(std::stoi(proxy.address().substr(colon + 1)))});
        return socket;
    }

    static void send(Tcp::socket &socket, const std::string &target)
    {
        const std::string text = "GET " + target + " HTTP/1.1\r\nHost: host\r\n\r\n";
        boost::asio::write(socket, boost::asio::buffer(text));
    }

    /** Receives a response; closing a socket with unread bytes would reset the connection. */
    void receive(Tcp::socket &socket)
    {
        while (socket.available() == 0)
            loop.context().run_one();
        std::array<char, 1024> bytes{};
        BOOST_TEST(socket.read_some(boost::asio::buffer(bytes)) > 0U);
    }

    static std::string freeAddress()
    {
        boost::asio::io_context context;
        Tcp::acceptor acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
        return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }

    /** Calls the server and runs the loop until there is an outcome. */
    Result<HttpResponse> call(Duration timeout = 10s)
    {
        std::optional<Result<HttpResponse>> outcome;
        client.call(proxy.address(), {"GET", "/path", {}, {}}, timeout,
                    [&outcome](const Result<HttpResponse> &it) { outcome = it; });
        while (!outcome)
            loop.context().run_one();
        return *outcome;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Proxy, ProxyFixture)

BOOST_AUTO_TEST_CASE(ForwardsRequestsAndResponses)
{
    const auto response = call();
    BOOST_REQUIRE(response.ok());
    BOOST_TEST(response->body == "/path");
    BOOST_TEST(proxy.connections() == 1U);
}

BOOST_AUTO_TEST_CASE(SilencedConnectionTimesOutAndANewOneIsServed)
{
    BOOST_REQUIRE(call().ok());
    proxy.silence();
    BOOST_TEST(!call(100ms).ok());
    BOOST_TEST(call().ok());
}

BOOST_AUTO_TEST_CASE(ResetClosesOpenConnections)
{
    BOOST_REQUIRE(call().ok());
    proxy.reset();
    BOOST_TEST(proxy.connections() == 0U);
    // The client notices the reset with its next call at the latest.
    static_cast<void>(call());
    BOOST_TEST(call().ok());
}

BOOST_AUTO_TEST_CASE(CutHoldsBytesBackUntilItEnds)
{
    for (const auto direction : {Direction::ToServer, Direction::ToClient}) {
        const auto startedAt = EventLoop::now();
        proxy.cut(50ms, direction);
        BOOST_TEST(call().ok());
        BOOST_TEST((EventLoop::now() - startedAt >= 50ms));
    }
}

// Guards against a late order that the soak never plays: a client that gives up does not take back
// what it has sent, and the worker may have restarted meanwhile.
BOOST_AUTO_TEST_CASE(RequestOfAClientThatHasClosedReachesTheProcessAfterTheCut)
{
    for (const bool connectedBefore : {false, true}) {
        auto socket = connectToProxy();
        if (connectedBefore) {
            send(socket, "/before");
            awaitRequest("/before");
            receive(socket);
        }
        proxy.cut(50ms, Direction::ToServer);
        send(socket, "/held");
        loop.context().run_for(10ms);
        socket.close();
        loop.context().run_for(10ms);
        BOOST_TEST(requests.empty());
        restartServer();
        awaitRequest("/held");
    }
}

BOOST_AUTO_TEST_CASE(RequestOfAClientThatResetsItsConnectionIsLost)
{
    auto socket = connectToProxy();
    proxy.cut(50ms, Direction::ToServer);
    send(socket, "/held");
    loop.context().run_for(10ms);
    socket.set_option(boost::asio::socket_base::linger(true, 0));
    socket.close();
    loop.context().run_for(200ms);
    BOOST_TEST(requests.empty());
    BOOST_TEST(proxy.connections() == 0U);
}

// Guards against a connection that stays open since its client has closed only its own side.
BOOST_AUTO_TEST_CASE(ConnectionIsClosedAfterItsClientHasClosed)
{
    auto socket = connectToProxy();
    send(socket, "/path");
    awaitRequest("/path");
    receive(socket);
    socket.close();
    while (proxy.connections() > 0)
        loop.context().run_one();
    BOOST_TEST(server->connections() == 0U);
}

// Guards against a lost call that arrives after all, which would end the loss for the server.
BOOST_AUTO_TEST_CASE(LossDropsAllBytesAlsoThoseThatACutHoldsBack)
{
    auto held = connectToProxy();
    proxy.cut(20ms, Direction::ToServer);
    send(held, "/held");
    loop.context().run_for(10ms);
    proxy.lose(150ms);
    auto opened = connectToProxy();
    send(opened, "/opened");
    loop.context().run_for(200ms);
    send(held, "/held-connection");
    send(opened, "/opened-connection");
    loop.context().run_for(50ms);
    BOOST_TEST(requests.empty());
    BOOST_TEST(held.available() + opened.available() == 0U);
    BOOST_TEST(call().ok());
}

BOOST_AUTO_TEST_CASE(DelayAndBandwidthSlowTheLinkDown)
{
    const auto startedAt = EventLoop::now();
    proxy.delay(10s, 20ms);
    proxy.limit(10s, 2000);
    BOOST_TEST(call().ok());
    // The request and the response have more than 30 bytes each.
    BOOST_TEST((EventLoop::now() - startedAt >= 2 * 20ms + 30ms));
}

BOOST_AUTO_TEST_CASE(ConnectionIsClosedIfTheServerIsGone)
{
    server.reset();
    BOOST_TEST(!call().ok());
}

BOOST_AUTO_TEST_SUITE_END()
