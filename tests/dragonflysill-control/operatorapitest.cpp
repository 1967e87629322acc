#include "../../programs/dragonflysill-control/operatorapi.h"

#include "dragonflysill/base/storekeys.h"
#include "dragonflysill/base/time.h"
#include "dragonflysill/contracts/codec.h"
#include "dragonflysill/standin/memorystore.h"

#include <boost/test/unit_test.hpp>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace dragonflysill;

namespace {

/** A control process without distribution: its view is read from the store when a test asks. */
struct ApiFixture
{
    ApiFixture()
    {
        put(storekeys::join(storekeys::members, "c1"), encodeMember(member("c1")));
        fence.set(storekeys::join(storekeys::members, "c1"), store.range(all)->revision);
        const auto started = api.start();
        BOOST_REQUIRE(started.ok());
        port = *started;
    }

    static Member member(const std::string &name)
    {
        Member result;
        result.name = name;
        result.zone = "z1";
        result.incarnation = 1;
        return result;
    }

    void put(const std::string &key, const std::string &value)
    {
        Transaction transaction;
        transaction.success = {PutOperation{key, value, 0}};
        BOOST_REQUIRE(store.commit(transaction).ok());
    }

    void refreshView()
    {
        const auto state = store.range(all);
        std::vector<KeyUpdate> updates;
        for (const auto &it : state->keyValues)
            updates.push_back({it.key, it.value, it.modRevision, false});
        view.set(*builder.replace(updates, state->revision));
    }

    httplib::Result post(const std::string &path, const std::string &body) const
    {
        return httplib::Client("127.0.0.1", port).Post(path, body, "application/json");
    }

    nlohmann::json get(const std::string &path, int status = 200) const
    {
        const auto result = httplib::Client("127.0.0.1", port).Get(path);
        BOOST_REQUIRE(result);
        BOOST_TEST(result->status == status);
        return nlohmann::json::parse(result->body);
    }

    static nlohmann::json ticket(const std::string &id, std::int64_t base)
    {
        const nlohmann::json instance{
                {"name", "d-1"}, {"address", "10.0.0.1:80"}, {"zone", "z1"}, {"rack", "r1"}};
        const nlohmann::json other{
                {"name", "d-2"}, {"address", "10.0.0.2:80"}, {"zone", "z2"}, {"rack", "r2"}};
        return {{"id", id},
                {"base", base},
                {"author", "operator"},
                {"reason", "test"},
                {"pools",
                 {{{"name", "depot"},
                   {"max_unavailable", 1},
                   {"instances", nlohmann::json::array({instance, other})}}}}};
    }

    static std::string kindOf(const httplib::Result &result)
    {
        return nlohmann::json::parse(result->body).at("error").at("kind");
    }

    const RangeOperation all{std::string(storekeys::root), storekeys::rangeEnd(storekeys::root)};
    MemoryStore store;
    ViewBuilder builder;
    SharedView view;
    MemberReports reports;
    Fence fence;
    Timeline timeline{"c1"};
    ControlContext context{"c1",
                           "r",
                           "z1",
                           "",
                           "127.0.0.1:0",
                           store,
                           view,
                           reports,
                           fence,
                           timeline,
                           std::make_shared<prometheus::Registry>()};
    OperatorApi api{context};
    int port = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(OperatorInterface, ApiFixture)

// Guards against an interface that accepts a ticket but does not show it.
BOOST_AUTO_TEST_CASE(AcceptedTicketIsShown)
{
    const auto result = post("/v1/tickets", ticket("t1", 0).dump());
    BOOST_REQUIRE(result);
    BOOST_TEST(result->status == 200);
    const auto shown = get("/v1/tickets/1");
    BOOST_TEST(shown["ticket"]["pools"][0]["instances"].size() == 2U);
    BOOST_TEST(get("/v1/ticket-ids/t1")["number"] == 1);
    BOOST_TEST(get("/v1/tickets")["tickets"].size() == 1U);
    refreshView();
    BOOST_TEST(get("/v1/pools")["pools"][0]["name"] == "depot");
    BOOST_TEST(get("/v1/instances")["instances"].size() == 2U);
    BOOST_TEST(get("/v1/status")["ticket"]["number"] == 1);
}

// Guards against unreadable bodies that end the process or get an answer without a type.
BOOST_AUTO_TEST_CASE(BadBodiesGetTypedErrors)
{
    const std::string whole = ticket("t1", 0).dump();
    const std::pair<std::string, std::string> bodies[]
            = {{"", "invalid-input"},
               {"{", "invalid-input"},
               {whole.substr(0, whole.size() - 1), "invalid-input"},
               {std::string(100'000, '['), "invalid-input"},
               {"{}", "validation-failed"},
               {std::string(ticketSizeLimitBytes + 1, ' '), "limit-exceeded"},
               {std::string(3 * ticketSizeLimitBytes, ' '), "limit-exceeded"}};
    for (const auto &it : bodies) {
        const auto result = post("/v1/tickets", it.first);
        BOOST_REQUIRE_MESSAGE(result, "no answer to a body of " << it.first.size() << " bytes");
        BOOST_TEST(kindOf(result) == it.second);
        BOOST_TEST(result->status >= 400);
        BOOST_TEST(result->status < 500);
    }
    BOOST_TEST(kindOf(post("/v1/tickets/validate", "[1]")) == "invalid-input");
    BOOST_TEST(store.range({std::string(storekeys::latestTicket), {}})->keyValues.empty());
}

// Guards against a connection that ends in the middle of a ticket.
BOOST_AUTO_TEST_CASE(TruncatedBodyIsNotAccepted)
{
    const std::string whole = ticket("t1", 0).dump();
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_REQUIRE(::connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0);
    const std::string text = "POST /v1/tickets HTTP/1.1\r\nHost: x\r\nContent-Length: "
                             + std::to_string(whole.size() + 10) + "\r\n\r\n" + whole;
    BOOST_REQUIRE(::send(socket, text.data(), text.size(), 0) == static_cast<ssize_t>(text.size()));
    ::shutdown(socket, SHUT_WR);
    std::string answer(4096, '\0');
    const auto length = ::recv(socket, answer.data(), answer.size(), 0);
    ::close(socket);
    BOOST_TEST(length >= 0);
    BOOST_TEST(answer.find(" 200 ") == std::string::npos);
    BOOST_TEST(get("/v1/tickets")["tickets"].empty());
}

// Guards against unknown names and numbers that are not told apart from faults.
BOOST_AUTO_TEST_CASE(UnknownThingsAreNotFound)
{
    BOOST_TEST(get("/v1/tickets/99", 404)["error"]["kind"] == "not-found");
    BOOST_TEST(get("/v1/ticket-ids/nobody", 404)["error"]["kind"] == "not-found");
    BOOST_TEST(get("/v1/explain/instance/x", 404)["error"]["kind"] == "not-found");
    BOOST_TEST(get("/v1/explain/planet/x", 400)["error"]["kind"] == "invalid-input");
    BOOST_TEST(get("/nothing", 404)["error"]["kind"] == "not-found");
    for (const char *path : {"/v1/tickets/abc", "/v1/tickets/99999999999999999999",
                             "/v1/tickets?limit=0", "/v1/tickets?before=x"})
        BOOST_TEST(get(path, 400)["error"]["kind"] == "invalid-input");
}

// Guards against a store whose values cannot be read, or that cannot be reached.
BOOST_AUTO_TEST_CASE(StoreFaultsAreTyped)
{
    put(storekeys::ticket(1), "garbage");
    BOOST_TEST(get("/v1/tickets/1", 502)["error"]["kind"] == "corrupt");
    put(std::string(storekeys::latestTicket), "\xff");
    BOOST_TEST(get("/v1/tickets", 502)["error"]["kind"] == "corrupt");
    BOOST_TEST(kindOf(post("/v1/tickets", ticket("t1", 0).dump())) == "corrupt");
    StoreFaults down;
    down.down = true;
    store.setFaults(down);
    BOOST_TEST(get("/v1/tickets/1", 503)["error"]["kind"] == "store-unavailable");
    BOOST_TEST(kindOf(post("/v1/tickets", ticket("t1", 0).dump())) == "store-unavailable");
    BOOST_TEST(get("/v1/status")["name"] == "c1"); // the view still serves
}

// Guards against an explanation that does not name what a move waits for.
BOOST_AUTO_TEST_CASE(ExplainsWhatAMoveWaitsFor)
{
    BOOST_REQUIRE(post("/v1/tickets", ticket("t1", 0).dump())->status == 200);
    InstanceRecord record;
    record.name = "d-1";
    record.address = "10.0.0.1:80";
    record.zone = "z1";
    record.pool = "tubes";
    record.epoch = 4;
    record.phase = InstancePhase::Leaving;
    record.targetPool = "depot";
    put(storekeys::join(storekeys::instances, "d-1"), encodeRecord(record));
    for (const char *name : {"e1", "e2", "e3", "e4"})
        put(storekeys::join(storekeys::entries, name), encodeMember(member(name)));
    refreshView();
    reports.update({"e1", 1, true, 9, 1, {{"d-1", 4}}});
    reports.update({"e2", 1, true, 9, 1, {{"d-1", 3}}}); // an older epoch is no acknowledgement
    reports.update({"e3", 1, false, 9, 1, {}});
    const auto document = get("/v1/explain/instance/d-1");
    BOOST_TEST(document["ticket"] == 1);
    BOOST_TEST(document["why"] == "ticket 1 moves it from pool tubes to pool depot; it is leaving");
    const auto &missing = document["not_acknowledged"];
    BOOST_REQUIRE(missing.size() == 3U);
    BOOST_TEST(missing[0]["entry"] == "e2");
    BOOST_TEST(missing[0]["alive"] == true);
    BOOST_TEST(missing[1]["entry"] == "e3");
    BOOST_TEST(missing[1]["alive"] == false);
    BOOST_TEST(missing[2]["entry"] == "e4");
    BOOST_TEST(document["remedy"] == missing[0]["remedy"]);
    BOOST_TEST(get("/v1/explain/pool/depot")["ticket"] == 1);
}

// Guards against answers that show only the pools of the process that was asked.
BOOST_AUTO_TEST_CASE(MergesWhatAllControlProcessesReport)
{
    ControlContext otherContext{"c2",
                                "r",
                                "z1",
                                "",
                                "127.0.0.1:0",
                                store,
                                view,
                                reports,
                                fence,
                                timeline,
                                std::make_shared<prometheus::Registry>()};
    OperatorApi other(otherContext);
    const auto otherPort = other.start();
    BOOST_REQUIRE(otherPort.ok());
    Member second = member("c2");
    second.operatorAddress = "127.0.0.1:" + std::to_string(*otherPort);
    put(storekeys::join(storekeys::members, "c2"), encodeMember(second));
    put(storekeys::join(storekeys::members, "c3"), encodeMember(member("c3")));
    refreshView();
    FleetStatus mine;
    mine.moves = {MoveStatus{"a", "x", "y", InstancePhase::Leaving, 1, 1, 5, {"e1"}, "r", "m"}};
    mine.movesFinished = 2;
    context.fleetStatus->set(mine);
    FleetStatus theirs;
    theirs.moves = {MoveStatus{"b", "x", "y", InstancePhase::Warming, 1, 1, 5, {}, "", ""}};
    theirs.jobs = {JobStatus{"j", "t", 1, JobState::Impossible, 4, 0, 0, "too large", "shrink it"}};
    theirs.movesFinished = 3;
    theirs.buffer = {8, 6, 15};
    otherContext.fleetStatus->set(theirs);
    const auto moves = get("/v1/moves");
    BOOST_REQUIRE(moves["moves"].size() == 2U);
    BOOST_TEST(moves["moves"][1]["instance"] == "b");
    BOOST_TEST(moves["unreachable"] == nlohmann::json::array({"c3"}));
    BOOST_TEST(get("/v1/jobs")["jobs"][0]["remedy"] == "shrink it");
    const auto status = get("/v1/status");
    BOOST_TEST(status["moves"]["finished"] == 5);
    BOOST_TEST(status["buffer"]["idle_instances"] == 8);
}

// Guards against a roll-out that counts as complete before everything is in effect.
BOOST_AUTO_TEST_CASE(ShowsTheRollOutOfATicket)
{
    BOOST_REQUIRE(post("/v1/tickets", ticket("t1", 0).dump())->status == 200);
    refreshView();
    BOOST_TEST(get("/v1/tickets/1")["rollout"]["complete_ms"].is_null());
    for (const char *name : {"d-1", "d-2"}) {
        InstanceRecord record;
        record.name = name;
        record.address = "10.0.0.1:80";
        record.zone = "z1";
        record.pool = "depot";
        put(storekeys::join(storekeys::instances, name), encodeRecord(record));
    }
    refreshView();
    nlohmann::json rollout;
    constexpr int pollLimit{200};
    for (int n = 0; n < pollLimit && (n == 0 || rollout["complete_ms"].is_null()); ++n) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        rollout = get("/v1/tickets/1")["rollout"];
    }
    BOOST_REQUIRE(!rollout["complete_ms"].is_null());
    BOOST_TEST(rollout["complete_ms"] >= rollout["accepted_ms"]);
    bool observed = false;
    for (const auto &it : context.registry->Collect()) {
        if (it.name == "dragonflysill_rollout_seconds")
            observed = it.metric.at(0).histogram.sample_count == 1;
    }
    BOOST_TEST(observed);
}

BOOST_AUTO_TEST_SUITE_END()
