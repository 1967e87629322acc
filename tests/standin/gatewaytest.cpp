#include "dragonflysill/standin/platformserver.h"
#include "dragonflysill/store/confirmedwrite.h"
#include "dragonflysill/store/storeclient.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace dragonflysill;
using namespace std::chrono_literals;

namespace {

/** A platform server on a free port with a connected store client. */
struct Gateway
{
    PlatformServer server{PlatformServerSettings{0ms, 50ms, 32, {}, 0, 0}};
    int port = server.start("127.0.0.1", 0).value();
    std::unique_ptr<StoreClient> client = connect("c");

    [[nodiscard]] std::unique_ptr<StoreClient> connect(const std::string &name) const
    {
        StoreClientSettings settings;
        settings.endpoints = {"127.0.0.1:" + std::to_string(port)};
        settings.clientName = name;
        settings.callTimeout = 1000ms;
        return std::make_unique<StoreClient>(settings);
    }

    void injectFault(const std::string &json) const
    {
        httplib::Client http("127.0.0.1", port);
        const auto answer = http.Post("/standin/faults", json, "application/json");
        BOOST_REQUIRE(answer);
        BOOST_REQUIRE(answer->status == 200);
    }

    static Transaction write(const std::string &key, const std::string &value, LeaseId lease = 0)
    {
        return {{}, {PutOperation{key, value, lease}}, {RangeOperation{key, {}}}};
    }

    [[nodiscard]] std::string valueOf(const std::string &key) const
    {
        const auto range = client->range({key, {}});
        return range && !range->keyValues.empty() ? range->keyValues.front().value : "";
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GatewayCalls, Gateway)

// Guards against fields that are lost when requests or responses are encoded or decoded.
BOOST_AUTO_TEST_CASE(TransactionsHaveTheResultsOfTheEngine)
{
    const std::string binary("\x00\xff\n\"", 4);
    const LeaseId lease = client->grantLease(60)->id;
    Transaction transaction;
    transaction.compares = {{"a", CompareTarget::CreateRevision, CompareRelation::Equal, 0, {}},
                            {"b", CompareTarget::ModRevision, CompareRelation::Less, 1, {}}};
    transaction.success = {PutOperation{"a", binary, lease}, RangeOperation{"a", {}}};
    transaction.failure = {RangeOperation{"a", "c"}, DeleteOperation{"a", {}}};
    const auto first = client->commit(transaction);
    BOOST_REQUIRE(first.ok());
    BOOST_TEST(first->succeeded);
    const KeyValue &stored = first->ranges.at(0).keyValues.at(0);
    BOOST_TEST(stored.value == binary);
    BOOST_TEST(stored.lease == lease);
    BOOST_TEST(stored.createRevision == 2);
    const auto second = client->commit(transaction);
    BOOST_REQUIRE(second.ok());
    BOOST_TEST(!second->succeeded);
    BOOST_TEST(second->ranges.at(0).keyValues.size() == 1U);
    BOOST_TEST(client->range({"a", {}})->keyValues.empty());
    BOOST_TEST(client->range({"a", {}})->revision == 3);
    Compare value{"a", CompareTarget::Value, CompareRelation::NotEqual, 0, "x"};
    BOOST_TEST(!client->commit({{value}, {}, {}})->succeeded);
}

// Guards against an expired lease being reported as renewed.
BOOST_AUTO_TEST_CASE(AnExpiredLeaseIsLost)
{
    const LeaseId lease = client->grantLease(60)->id;
    BOOST_TEST(client->renewLease(lease)->ttlSeconds == 60);
    BOOST_REQUIRE(client->commit(write("member", "1", lease)).ok());
    injectFault(R"({"lapse_lease_of_key":"member"})");
    BOOST_TEST(valueOf("member").empty());
    BOOST_TEST(client->renewLease(lease).error().is(ErrorKind::LeaseLost));
    BOOST_TEST(client->commit(write("member", "1", lease)).error().is(ErrorKind::LeaseLost));
    BOOST_TEST(client->revokeLease(lease).error().is(ErrorKind::LeaseLost));
}

// Guards against a definite error for a write that may have taken effect.
BOOST_AUTO_TEST_CASE(ALostAnswerIsUnknown)
{
    injectFault(R"({"lose_answers":1})");
    BOOST_TEST(client->commit(write("a", "1")).error().is(ErrorKind::OutcomeUnknown));
    BOOST_TEST(valueOf("a") == "1");
    injectFault(R"({"lose_requests":1})");
    BOOST_TEST(client->commit(write("a", "2")).error().is(ErrorKind::OutcomeUnknown));
    BOOST_TEST(valueOf("a") == "1");
}

// Guards against OutcomeUnknown, and a needless read-back, for writes that cannot have taken
// effect.
BOOST_AUTO_TEST_CASE(ADownStoreIsUnavailable)
{
    injectFault(R"({"down":true})");
    BOOST_TEST(client->commit(write("a", "1")).error().is(ErrorKind::StoreUnavailable));
    BOOST_TEST(client->range({"a", {}}).error().is(ErrorKind::StoreUnavailable));
    injectFault(R"({"down":false})");
    BOOST_TEST(valueOf("a").empty());
    server.stop();
    BOOST_TEST(client->commit(write("a", "1")).error().is(ErrorKind::StoreUnavailable));
}

// Guards against calls that wait indefinitely for an answer.
BOOST_AUTO_TEST_CASE(AHangingStoreTimesOut)
{
    injectFault(R"({"hang":true})");
    BOOST_TEST(client->range({"a", {}}).error().is(ErrorKind::StoreUnavailable));
    BOOST_TEST(client->commit(write("a", "1")).error().is(ErrorKind::OutcomeUnknown));
    injectFault(R"({"hang":false})");
    BOOST_TEST(valueOf("a").empty());
}

// Guards against a simulated partition that affects clients other than the listed ones.
BOOST_AUTO_TEST_CASE(OnlySomeClientsAreUnreachable)
{
    const auto other = connect("other");
    injectFault(R"({"unreachable_clients":["c"]})");
    BOOST_TEST(client->range({"a", {}}).error().is(ErrorKind::StoreUnavailable));
    BOOST_TEST(other->range({"a", {}}).ok());
}

// Guards against an invalid answer being interpreted as an empty store.
BOOST_AUTO_TEST_CASE(GarbageIsCorrupt)
{
    injectFault(R"({"garbage_answers":2})");
    BOOST_TEST(client->range({"a", {}}).error().is(ErrorKind::Corrupt));
    BOOST_TEST(client->commit(write("a", "1")).error().is(ErrorKind::Corrupt));
    BOOST_TEST(valueOf("a") == "1");
}

// Guards against values larger than the platform accepts, and against answers that exhaust memory.
BOOST_AUTO_TEST_CASE(SizesAreLimited)
{
    const std::string large(StoreClient::maxValueBytes, 'x');
    BOOST_TEST(client->commit(write("a", large + "x")).error().is(ErrorKind::LimitExceeded));
    BOOST_TEST(server.store().calls().commits == 0);
    BOOST_TEST(client->commit(write("a", large)).ok());
    StoreClientSettings settings;
    settings.endpoints = {"127.0.0.1:" + std::to_string(port)};
    settings.maxAnswerBytes = 1000;
    StoreClient small(settings);
    BOOST_TEST(small.range({"a", {}}).error().is(ErrorKind::LimitExceeded));
    BOOST_TEST(small.range({"b", {}}).ok());
}

// Guards against a call above the rate limit being executed or reported as OutcomeUnknown.
BOOST_AUTO_TEST_CASE(CallsAboveTheLimitAreNotExecuted)
{
    PlatformServerSettings settings{0ms, 50ms, 8, {}, 0, 0};
    settings.maxWritesPerSecond = 1e-6;
    PlatformServer limited{settings};
    StoreClientSettings clientSettings;
    clientSettings.endpoints
            = {"127.0.0.1:" + std::to_string(limited.start("127.0.0.1", 0).value())};
    StoreClient other(clientSettings);
    BOOST_TEST(other.commit(write("a", "1")).ok());
    BOOST_TEST(other.commit(write("a", "2")).error().is(ErrorKind::StoreUnavailable));
    BOOST_TEST(other.range({"a", {}})->keyValues.front().value == "1");
}

// Guards against the outage of one endpoint failing all calls.
BOOST_AUTO_TEST_CASE(UsesAnotherEndpointIfOneRefusesConnections)
{
    PlatformServer closed{PlatformServerSettings{0ms, 50ms, 2, {}, 0, 0}};
    const int closedPort = closed.start("127.0.0.1", 0).value();
    closed.stop();
    StoreClientSettings settings;
    settings.endpoints
            = {"127.0.0.1:" + std::to_string(closedPort), "127.0.0.1:" + std::to_string(port)};
    StoreClient both(settings);
    BOOST_TEST(both.commit(write("a", "1")).ok());
    BOOST_TEST(valueOf("a") == "1");
    BOOST_TEST(server.store().calls().commits == 1);
}

// Guards against watches that miss, repeat or reorder changes.
BOOST_AUTO_TEST_CASE(WatchesReceiveEachChangeOnce)
{
    BOOST_REQUIRE(client->commit(write("/w/1", "1")).ok());
    std::vector<KeyUpdate> seen;
    std::int64_t complete = 0;
    std::thread writer([this] {
        const auto other = connect("writer");
        other->commit(write("/x", "no"));
        other->commit({{}, {PutOperation{"/w/2", "2", 0}, PutOperation{"/w/3", "3", 0}}, {}});
        other->commit({{}, {DeleteOperation{"/w/1", {}}}, {}});
    });
    const auto ended = client->watch(
            "/w/", 2, [&](std::span<const KeyUpdate> updates, std::int64_t revision) {
                seen.insert(seen.end(), updates.begin(), updates.end());
                complete = revision;
                return seen.size() < 4;
            });
    writer.join();
    BOOST_TEST(ended.ok());
    BOOST_REQUIRE(seen.size() == 4U);
    BOOST_TEST((seen[0] == KeyUpdate{"/w/1", "1", 2, false}));
    BOOST_TEST((seen[1] == KeyUpdate{"/w/2", "2", 4, false}));
    BOOST_TEST((seen[2] == KeyUpdate{"/w/3", "3", 4, false}));
    BOOST_TEST((seen[3] == KeyUpdate{"/w/1", "", 5, true}));
    BOOST_TEST(complete == 5);
}

// Guards against watches that do not end after a compaction, an outage or a restart.
BOOST_AUTO_TEST_CASE(WatchesEndWithTheirReason)
{
    const auto continueWatch = [](std::span<const KeyUpdate>, std::int64_t) { return true; };
    for (int n = 0; n < 5; ++n)
        BOOST_REQUIRE(client->commit(write("/w/1", std::to_string(n))).ok());
    injectFault(R"({"compact":true,"snapshot":true})");
    BOOST_TEST(client->watch("/w/", 2, continueWatch).error().is(ErrorKind::Compacted));
    const auto endOnFirstCall = [&](const std::string &json) {
        bool called = false;
        return client->watch("/w/", 7, [&](std::span<const KeyUpdate>, std::int64_t) {
            if (!std::exchange(called, true))
                injectFault(json);
            return true;
        });
    };
    BOOST_TEST(endOnFirstCall(R"({"restore":true})").error().is(ErrorKind::StoreUnavailable));
    BOOST_TEST(endOnFirstCall(R"({"down":true})").error().is(ErrorKind::StoreUnavailable));
}

// Guards against a watcher that does not get the lower revision of a store restored from a
// snapshot.
BOOST_AUTO_TEST_CASE(WatchesReportTheLowerRevisionOfARegressedStore)
{
    injectFault(R"({"snapshot":true})");
    for (int n = 0; n < 5; ++n)
        BOOST_REQUIRE(client->commit(write("/w/1", std::to_string(n))).ok());
    injectFault(R"({"restore":true})");
    std::int64_t reported = 6;
    client->watch("/w/", 7, [&](std::span<const KeyUpdate>, std::int64_t revision) {
        reported = revision;
        return revision >= 6;
    });
    BOOST_TEST(reported == 1);
}

// Guards against executing a write twice, or reporting a wrong result, after its answer was lost.
BOOST_AUTO_TEST_CASE(ConfirmedWritesSurviveLostAnswers)
{
    const Transaction create{{{"t", CompareTarget::CreateRevision, CompareRelation::Equal, 0, {}}},
                             {PutOperation{"t", "mine", 0}},
                             {}};
    ConfirmLimits limits;
    limits.deadline = steadyNow() + 10s;
    limits.sleep = [](Duration time) { std::this_thread::sleep_for(time); };
    const auto confirm = [&](const char *value) {
        Backoff backoff(1, {1ms, 5ms});
        return commitConfirmed(*client, create, {"t", value}, limits, backoff);
    };
    injectFault(R"({"lose_requests":1})");
    BOOST_TEST((confirm("mine") == WriteResult::Written));
    BOOST_TEST(server.store().calls().commits == 2);
    BOOST_TEST((confirm("other") == WriteResult::Refused));
    injectFault(R"({"down":true})");
    BOOST_TEST((confirm("other") == WriteResult::Unavailable));
    injectFault(R"({"down":false,"lose_requests":1000})");
    limits.deadline = steadyNow() + 50ms;
    client->commit({{}, {DeleteOperation{"t", {}}}, {}});
    BOOST_TEST((confirm("other") == WriteResult::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Instances)

// Guards against a stand-in whose list is always current: decisions must be tested with a stale
// one.
BOOST_AUTO_TEST_CASE(TheListLagsBehind)
{
    InstanceList list(1s, 2s);
    const TimePoint start{};
    list.replace({{"i1", "z", "r", "127.0.0.1:1", PlatformInstanceState::Live}}, start);
    BOOST_TEST(list.list(start + 999ms).empty());
    BOOST_TEST(list.list(start + 1s).size() == 1U);
    BOOST_TEST(list.reboot("i1", start + 2s).ok());
    const auto stateAt = [&](Duration time) {
        return std::string(toText(list.list(start + time).front().state));
    };
    BOOST_TEST(stateAt(2900ms) == "live");
    BOOST_TEST(stateAt(3s) == "leaving");
    BOOST_TEST(stateAt(4900ms) == "leaving");
    BOOST_TEST(stateAt(5s) == "live");
    BOOST_TEST(list.reboots().size() == 1U);
    BOOST_TEST(list.drain("i2", start + 6s).error().is(ErrorKind::NotFound));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ServerStop)

// Guards against two servers on one port, between which the kernel would distribute connections.
BOOST_AUTO_TEST_CASE(RefusesAPortThatIsInUse)
{
    PlatformServer first{PlatformServerSettings{0ms, 50ms, 4, {}, 0, 0}};
    const int port = first.start("127.0.0.1", 0).value();
    PlatformServer second{PlatformServerSettings{0ms, 50ms, 4, {}, 0, 0}};
    BOOST_TEST(second.start("127.0.0.1", port).error().is(ErrorKind::Unreachable));
}

// Guards against a stop that waits until the keep-alive timeout of idle connections expires.
BOOST_AUTO_TEST_CASE(EndsIdleConnections)
{
    PlatformServer server{PlatformServerSettings{0ms, 50ms, 4, {}, 0, 0}};
    httplib::Client client("127.0.0.1", server.start("127.0.0.1", 0).value());
    client.set_keep_alive(true);
    BOOST_REQUIRE(client.Get("/standin/calls"));
    BOOST_TEST(client.is_socket_open() == 1U);
    std::atomic<bool> stopped = false;
    std::thread stopper([&] {
        server.stop();
        stopped = true;
    });
    for (int n = 0; n < 2000 && !stopped; ++n)
        std::this_thread::sleep_for(10ms);
    BOOST_TEST(stopped);
    client.stop();
    stopper.join();
}

BOOST_AUTO_TEST_SUITE_END()
