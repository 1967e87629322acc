#include "teamformat.h"
#include "ingress.h"
#include "jobformat.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <string_view>

using namespace dragonflysill;
using namespace dragonflysill::platform;

namespace {

/** Returns a configuration with one queue, of which @p tenants is the list of teams. */
std::string configurationWith(std::string_view tenants)
{
    return R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/a/","service":"pool"},
 {"name":"o","host":"h","prefix":"/o/","service":"pool","public":true}],
 "services":[{"name":"pool"}],"tenants":)"
           + std::string(tenants) + "}";
}

/** Returns the error text of a configuration that must be refused. */
std::string refusal(std::string_view tenants)
{
    const auto decoded = decodeConfiguration(configurationWith(tenants));
    BOOST_REQUIRE(!decoded);
    return decoded.error().text();
}

} // namespace

BOOST_AUTO_TEST_SUITE(TeamFormat)

BOOST_AUTO_TEST_CASE(TeamsAndPublicQueuesAreDecoded)
{
    const auto decoded = decodeConfiguration(configurationWith(
            R"([{"name":"a","apiKeys":["k1","k2"],"priority":1,"weight":17.5,
 "ceiling":{"cpu":4000,"memMb":8192,"gpu":0}},{"name":"b","apiKeys":[]}])"));
    BOOST_REQUIRE(decoded);
    BOOST_TEST(decoded->usesTeams);
    BOOST_REQUIRE_EQUAL(decoded->teams.size(), 2);
    const auto &team = decoded->teams.front();
    BOOST_TEST(team.name == "a");
    BOOST_TEST(team.keys.size() == 2);
    BOOST_TEST(team.priority == 1);
    BOOST_TEST(team.weight == 17.5);
    BOOST_TEST((team.ceiling == Resources{4000, 8192, 0}));
    BOOST_TEST(decoded->teams.back().keys.empty());
    BOOST_TEST(!decoded->queue("r")->isPublic);
    BOOST_TEST(decoded->queue("o")->isPublic);
}

// Guards against refusing every call of a deployment that has no teams.
BOOST_AUTO_TEST_CASE(ConfigurationWithoutTeamsDoesNotUseThem)
{
    const auto decoded = decodeConfiguration(R"({"version":7,"routes":[],"services":[]})");
    BOOST_REQUIRE(decoded);
    BOOST_TEST(!decoded->usesTeams);
    BOOST_TEST(decodeConfiguration(configurationWith("[]"))->usesTeams);
}

// Guards against half-applied configurations: each of these would give a key to the wrong team or
// lift a limit.
BOOST_AUTO_TEST_CASE(InvalidTeamsAreRefusedWithTheirPlace)
{
    const std::string longKey(10000, 'x');
    const auto team = [](std::string_view fields) {
        return R"([{"name":"a","apiKeys":["k1"]},{"name":"b",)" + std::string(fields) + "}]";
    };
    for (const auto &it :
         {team(R"("apiKeys":["k1"])"), team(R"("apiKeys":[""])"),
          team(R"("apiKeys":[")" + longKey + R"("])"), team(R"("apiKeys":[7])"),
          team(R"("apiKeys":["k2"],"weight":-1)"), team(R"("apiKeys":["k2"],"weight":1e300)"),
          team(R"("apiKeys":["k2"],"weight":"1")"),
          team(R"("apiKeys":["k2"],"ceiling":{"cpu":-1})"),
          team(R"("apiKeys":["k2"],"ceiling":{"memMb":1e18})"),
          team(R"("apiKeys":["k2"],"ceiling":[])"), team(R"("apiKeys":["k2"],"priority":1.5)"),
          std::string(R"([{"name":"b","apiKeys":["k1"]},{"name":"b","apiKeys":["k2"]}])")})
        BOOST_TEST(refusal(it).find("team 1") != std::string::npos, refusal(it));
    BOOST_TEST(refusal(R"({})").find("list") != std::string::npos);
}

// Guards against a configuration that makes each lookup and each decision slow.
BOOST_AUTO_TEST_CASE(NumberOfTeamsIsLimited)
{
    std::string teams;
    for (int n = 0; n <= 10000; ++n)
        teams += (n == 0 ? "" : ",") + (R"({"name":"t)" + std::to_string(n) + R"(","apiKeys":[]})");
    BOOST_TEST(refusal("[" + teams + "]").find("10000 teams") != std::string::npos);
}

// Guards against keys in the log: the texts of decoding errors are logged.
BOOST_AUTO_TEST_CASE(ErrorsNeverQuoteKeys)
{
    const std::string secret = "secret-key";
    for (const auto &it :
         {R"([{"name":"a","apiKeys":["secret-key","secret-key)",
          R"([{"name":"a","apiKeys":["secret-key"]},{"name":"b","apiKeys":["secret-key"]}])",
          R"([{"name":"a","apiKeys":"secret-key"}])",
          R"([{"name":"a","apiKeys":["secret-key)"
          "\x01"
          R"("]}])"})
        BOOST_TEST(refusal(it).find(secret) == std::string::npos, refusal(it));
}

BOOST_AUTO_TEST_CASE(KeyIsReadFromTheRequest)
{
    HttpRequest request;
    request.method = "GET";
    request.target = "/a/";
    BOOST_TEST(decodeCallerRequest(request).key.empty());
    request.headers = {{"Authorization", "bearer k1"}};
    BOOST_TEST(decodeCallerRequest(request).key == "k1");
    request.headers = {{"Authorization", "Basic k1"}};
    BOOST_TEST(decodeCallerRequest(request).key.empty());
}

BOOST_AUTO_TEST_SUITE_END()
