#include "clockshift.h"

#include "dragonflysill/faults/faultproxy.h"
#include "dragonflysill/net/httpclient.h"
#include "dragonflysill/node/node.h"
#include "kvstandin.h"
#include "nodesettings.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <string>

using namespace dragonflysill;
using namespace dragonflysill::test;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

const std::string jobPath = "/q/0123456789abcdef";
const std::string jobBody = R"({"spec":"text","steps":[{"count":1,"cpu":100}]})";

std::string freeAddress(EventLoop &loop)
{
    const Tcp::acceptor acceptor(loop.context(), {asio::ip::make_address("127.0.0.1"), 0});
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

/** A strict node and the stand-in of the store, connected over a link that can be cut. */
struct NodeFixture
{
    EventLoop loop;
    platform::KvStandin store{loop};
    HttpClient client{loop};
    const std::string storeAddress = freeAddress(loop);
    FaultProxy link{loop, freeAddress(loop), storeAddress};
    platform::NodeSettings settings;
    std::string metricsAddress;
    ClockShift clock;
    const TimePoint started = steadyNow();
    std::unique_ptr<Node> node;

    NodeFixture()
    {
        settings.name = "node-1";
        settings.ip = "127.0.0.1";
        settings.frontAddress = freeAddress(loop);
        settings.readyAddress = freeAddress(loop);
        settings.storeAddress = link.address();
        settings.strictRevocation = true;
        metricsAddress = freeAddress(loop);
        BOOST_REQUIRE(store.listen(storeAddress).ok());
        BOOST_REQUIRE(link.listen().ok());
        configure(1, R"("key-a","key-b")");
    }

    void configure(int version, const std::string &keys)
    {
        store.put("op/config",
                  R"({"version":)" + std::to_string(version)
                          + R"(,"routes":[{"name":"queue","host":"host","prefix":"/q/",)"
                            R"("service":"pool"}],"services":[{"name":"pool"}],)"
                            R"("tenants":[{"name":"a","apiKeys":[)"
                          + keys + "]}]}");
    }

    void start()
    {
        node = std::make_unique<Node>(loop, settings, metricsAddress);
        BOOST_REQUIRE(node->start().ok());
    }

    void setPartition(bool on)
    {
        const auto length = on ? Duration(1h) : Duration(0);
        link.cut(length, Direction::ToServer);
        link.cut(length, Direction::ToClient);
        if (!on)
            link.reset();
    }

    /** Runs the loop until a condition holds; ends a test that would never end. */
    void await(const std::function<bool()> &condition)
    {
        while (!condition()) {
            BOOST_REQUIRE_MESSAGE(steadyNow() < started + 20s, "the test does not end");
            loop.context().run_one();
        }
    }

    HttpResponse call(const std::string &address, HttpRequest request)
    {
        std::optional<Result<HttpResponse>> answer;
        client.call(address, std::move(request), 10s,
                    [&](Result<HttpResponse> it) { answer = std::move(it); });
        await([&] { return answer.has_value(); });
        return *answer ? **answer : HttpResponse{};
    }

    int get(const std::string &path, const std::string &key)
    {
        return call(settings.frontAddress,
                    {"GET", path, {}, {{"Host", "host"}, {"Authorization", "Bearer " + key}}})
                .status;
    }

    /** Asks for the number of waiting jobs. */
    int count(const std::string &key) { return get("/q/", key); }

    /** Asks again until a status is the answer; a status that must not occur fails the test. */
    void awaitCount(const std::string &key, int status, int never)
    {
        for (int now = 0; now != status;) {
            now = count(key);
            BOOST_REQUIRE(now != never);
        }
    }

    std::string metrics() { return call(metricsAddress, {"GET", "/metrics", {}, {}}).body; }

    /** Asks again until the metrics contain a text. */
    void awaitMetric(const std::string &text)
    {
        while (metrics().find(text) == std::string::npos) {
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(NodeWithKeys, NodeFixture)

BOOST_AUTO_TEST_CASE(AddedKeysAreAcceptedAndRemovedOnesRefused)
{
    start();
    awaitCount("key-a", 200, 401);
    BOOST_TEST(count("key-c") == 401);
    configure(2, R"("key-b","key-c")");
    awaitCount("key-c", 200, 0);
    BOOST_TEST(count("key-a") == 401);
    const auto text = metrics();
    BOOST_TEST(text.find(R"(access_refused_total{cause="unknown-key",team=""} )")
               != std::string::npos);
    BOOST_TEST(text.find("configuration_proof_age_seconds ") != std::string::npos);
    BOOST_TEST(text.find("key-") == std::string::npos); // No key of a caller.
}

// Guards against a request that waited in a socket while the process stood still, and that is then
// accepted with a key that was revoked meanwhile.
BOOST_AUTO_TEST_CASE(RequestThatWaitedDuringAPauseIsNotAccepted)
{
    start();
    awaitCount("key-a", 200, 401);
    setPartition(true);
    configure(2, R"("key-b")");
    BOOST_TEST(count("key-a") == 200);
    const auto port = std::stoi(settings.frontAddress.substr(settings.frontAddress.find(':') + 1));
    Tcp::socket socket(loop.context());
    socket.connect({asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)});
    asio::write(socket, asio::buffer("POST " + jobPath
                                     + " HTTP/1.1\r\nHost: host\r\nAuthorization: Bearer key-a\r\n"
                                       "Content-Length: "
                                     + std::to_string(jobBody.size()) + "\r\n\r\n" + jobBody));
    clock.set(6s, 0s);
    std::string answer;
    bool answered = false;
    asio::async_read_until(socket, asio::dynamic_buffer(answer), "\r\n\r\n",
                           [&](auto, auto) { answered = true; });
    await([&] { return answered; });
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"), answer);
    setPartition(false);
    awaitCount("key-a", 401, 200);
    BOOST_TEST(count("key-b") == 200);
}

// The revocation comes with the partition.
BOOST_AUTO_TEST_CASE(RevokedKeyIsRefusedOnceTheProofHasExpiredInAPartition)
{
    settings.revocationTime = 1600ms;
    start();
    awaitCount("key-a", 200, 401);
    setPartition(true);
    configure(2, R"("key-b")");
    awaitCount("key-a", 503, 401);
    setPartition(false);
    awaitCount("key-a", 401, 200);
    BOOST_TEST(count("key-b") == 200);
}

// Guards against a node that begins with an old configuration which was read before a pause.
BOOST_AUTO_TEST_CASE(ListThatIsAnsweredLateDoesNotMakeANewNodeAcceptKeys)
{
    link.delay(1h, 300ms);
    start();
    BOOST_TEST(count("key-a") == 503);
    await([&] { return store.calls() >= 3; }); // The lists of all watches.
    configure(2, R"("key-b")");
    clock.set(6s, 0s);
    awaitMetric("dragonflysill_configuration_version 1");
    bool storeReached = false; // The next polls take 600 ms.
    loop.after(150ms, [&] { storeReached = true; });
    await([&] { return storeReached; });
    BOOST_TEST(get(jobPath, "key-a") != 410); // The store knows no such job.
    link.delay(0s, 0s);
    awaitCount("key-b", 200, 401);
    BOOST_TEST(count("key-a") == 401);
}

// The last good configuration stays in force, with the keys that the refused one removes.
BOOST_AUTO_TEST_CASE(RefusedConfigurationIsShownAndDoesNotComeIntoForce)
{
    start();
    awaitCount("key-a", 200, 401);
    configure(2, R"("")");
    awaitMetric("dragonflysill_configurations_refused_total 1");
    BOOST_TEST(metrics().find("dragonflysill_configuration_refused_revision 0")
               == std::string::npos);
    BOOST_TEST(count("key-a") == 200);
    configure(1, R"("key-b")"); // Not a newer version.
    awaitMetric("dragonflysill_configurations_refused_total 2");
    store.forgetHistory(); // The same configuration is read again.
    configure(3, R"("key-b")");
    awaitMetric("dragonflysill_configuration_refused_revision 0");
    awaitMetric("dragonflysill_configurations_refused_total 2");
    BOOST_TEST(count("key-a") == 401);
}

BOOST_AUTO_TEST_SUITE_END()
