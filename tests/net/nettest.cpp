#include "dragonflysill/net/httpclient.h"
#include "dragonflysill/net/httpserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <string>

using namespace dragonflysill;
using namespace std::chrono_literals;
using Tcp = boost::asio::ip::tcp;

namespace {

/** Returns a port of the loopback interface that is free now. */
std::string freeAddress()
{
    boost::asio::io_context context;
    Tcp::acceptor acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

/** A server that answers with what it received. */
struct Echo
{
    EventLoop loop;
    std::string address = freeAddress();
    int handled = 0;
    HttpServer server{
            loop, [this](const HttpRequest &request, const HttpServer::Respond &respond) {
                ++handled;
                respond({200, request.method + " " + request.target + " " + request.body, {}});
            }};

    Echo() { BOOST_REQUIRE(server.listen(address).ok()); }

    /** Sends bytes and returns all that comes back until the connection closes. */
    std::string raw(const std::string &bytes)
    {
        Tcp::socket socket(loop.context());
        std::string received;
        const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(10)));
        socket.async_connect({boost::asio::ip::make_address("127.0.0.1"), port}, [&](auto) {
            boost::asio::async_write(socket, boost::asio::buffer(bytes), [&](auto, std::size_t) {
                boost::asio::async_read(socket, boost::asio::dynamic_buffer(received),
                                        [&](auto, std::size_t) { loop.stop(); });
            });
        });
        loop.context().restart();
        loop.run();
        return received;
    }

    std::optional<Result<HttpResponse>> call(HttpClient &client, HttpRequest request,
                                             const std::string &to, Duration timeout = 5s)
    {
        std::optional<Result<HttpResponse>> answer;
        client.call(to, std::move(request), timeout, [&](Result<HttpResponse> it) {
            answer = std::move(it);
            loop.stop();
        });
        loop.context().restart();
        loop.run();
        return answer;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Http)

BOOST_AUTO_TEST_CASE(ConnectionsAreUsedAgain)
{
    Echo echo;
    HttpClient client(echo.loop);
    for (int n = 0; n < 3; ++n) {
        const auto answer = echo.call(client, {"POST", "/path?x=1", "body", {}}, echo.address);
        BOOST_REQUIRE(answer->ok());
        BOOST_TEST((*answer)->body == "POST /path?x=1 body");
    }
    BOOST_TEST(client.opened() == 1U);
}

BOOST_AUTO_TEST_CASE(ClosedPortIsUnreachable)
{
    Echo echo;
    HttpClient client(echo.loop);
    const auto answer = echo.call(client, {"GET", "/", "", {}}, freeAddress());
    BOOST_REQUIRE(!answer->ok());
    BOOST_TEST(answer->error().is(ErrorKind::Unreachable));
}

// Seen in the demo: a connection outlived its server and handed a request to what had been freed.
BOOST_AUTO_TEST_CASE(RequestsAfterTheEndOfAServerAreNotHandled)
{
    Echo echo;
    HttpClient client(echo.loop);
    const auto address = freeAddress();
    int handled = 0;
    auto server = std::make_unique<HttpServer>(
            echo.loop, [&handled](const HttpRequest &, const HttpServer::Respond &respond) {
                ++handled;
                respond({200, {}, {}});
            });
    BOOST_REQUIRE(server->listen(address).ok());
    BOOST_REQUIRE(echo.call(client, {"GET", "/", "", {}}, address)->ok());
    server.reset();
    BOOST_TEST(!echo.call(client, {"GET", "/", "", {}}, address)->ok());
    BOOST_TEST(handled == 1);
}

// A request that was sent may have been carried out.
BOOST_AUTO_TEST_CASE(MissingAnswerIsUnknown)
{
    Echo echo;
    const auto silent = freeAddress();
    HttpServer never(echo.loop, [](const HttpRequest &, const HttpServer::Respond &) {});
    BOOST_REQUIRE(never.listen(silent).ok());
    HttpClient client(echo.loop);
    const auto answer = echo.call(client, {"GET", "/", "", {}}, silent, 50ms);
    BOOST_REQUIRE(!answer->ok());
    BOOST_TEST(answer->error().is(ErrorKind::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(WrongAddressIsUnreachable)
{
    Echo echo;
    HttpClient client(echo.loop);
    const auto answer = echo.call(client, {"GET", "/", "", {}}, "nowhere");
    BOOST_TEST(answer->error().is(ErrorKind::Unreachable));
}

// Two lengths, or a length beside chunks, let two programs disagree on where a request ends.
BOOST_AUTO_TEST_CASE(AmbiguousFramingIsRefusedAndTheConnectionCloses)
{
    const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\n";
    for (const std::string fields : {"Content-Length: 4\r\nContent-Length: 5\r\n",
                                     "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"}) {
        Echo echo;
        const auto answer = echo.raw(head + fields + "\r\nbody");
        BOOST_TEST(answer.starts_with("HTTP/1.1 400"), answer);
        BOOST_TEST(echo.handled == 0);
    }
}

BOOST_AUTO_TEST_CASE(LargeBodiesAndHeadersAreRefused)
{
    Echo echo;
    echo.server.setLimits({200, 10, 1000ms, 1000ms});
    BOOST_TEST(echo.raw("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\nabcdefghijk")
                       .starts_with("HTTP/1.1 413"));
    const std::string field(300, 'x');
    BOOST_TEST(echo.raw("GET /a HTTP/1.1\r\nHost: h\r\nField: " + field + "\r\n\r\n")
                       .starts_with("HTTP/1.1 431"));
    BOOST_TEST(echo.raw("no http\r\n\r\n").starts_with("HTTP/1.1 400"));
    BOOST_TEST(echo.handled == 0);
}

BOOST_AUTO_TEST_CASE(DrainingServerAnswersAndCloses)
{
    Echo echo;
    echo.server.drain();
    const auto answer = echo.raw("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
    BOOST_TEST(answer.find("Connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(TargetsAreEncoded)
{
    BOOST_TEST(percentEncode("a/b c&d=\xc3") == "a/b%20c%26d%3D%C3");
}

BOOST_AUTO_TEST_SUITE_END()
