#include "../../programs/dragonflysill-control/operatorapi.h"

#include "dragonflysill/base/storekeys.h"
#include "dragonflysill/base/time.h"
#include "dragonflysill/contracts/codec.h"
#include "dragonflysill/standin/memorystore.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
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

BOOST_AUTO_TEST_SUITE_END()
