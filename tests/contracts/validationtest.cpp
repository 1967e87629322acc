#include "ticketfixture.h"

#include "dragonflysill/contracts/validation.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

using namespace dragonflysill;
using namespace dragonflysill::support;
using nlohmann::json;

namespace {

/** Two pools, a spare pool, a service, a quota, a job and a paused order. */
json baseTicket()
{
    auto ticket = ticketJson("base", 0);
    ticket["pools"] = {poolJson("depot", 4, 1), poolJson("tubes", 4, 2), poolJson("support", 4, 3)};
    ticket["pools"][2]["spare"] = true;
    ticket["services"]
            = {{{"name", "routing"},
                {"pool", "depot"},
                {"mean_rate_per_s", 10},
                {"routes", json::array({{{"path_prefix", "/r"}, {"deadline_ms", 100}}})}}};
    ticket["quotas"] = {{{"team", "ops"}, {"cores", 8}, {"memory_mb", 100}}};
    ticket["jobs"]
            = {{{"name", "sort"}, {"team", "ops"}, {"tasks", 2}, {"cores", 4}, {"memory_mb", 10}}};
    ticket["maintenance"]
            = {{{"name", "update"}, {"pools", json::array({"depot"})}, {"state", "paused"}}};
    return ticket;
}

Configuration configurationOf(const json &ticket)
{
    const auto parsed = parseTicket(ticket.dump());
    BOOST_REQUIRE(parsed.ok());
    BOOST_REQUIRE_MESSAGE(parsed->problems.empty(), json(parsed->problems).dump());
    return applyTicket(parsed->ticket, {}, 1);
}

/** Returns the pointers of all problems of a ticket, those of the parser first. */
std::vector<std::string> problemsOf(const json &ticket, const Configuration &current = {})
{
    const auto parsed = parseTicket(ticket.dump());
    BOOST_REQUIRE(parsed.ok());
    Problems problems = parsed->problems;
    const Problems further = validateTicket(parsed->ticket, current);
    problems.insert(problems.end(), further.begin(), further.end());
    std::vector<std::string> pointers;
    for (const auto &it : problems) {
        BOOST_TEST(!it.message.empty());
        BOOST_TEST(!it.remedy.empty(), "no remedy for " << it.message);
        pointers.push_back(it.pointer);
    }
    return pointers;
}

void checkProblems(const json &ticket, const std::vector<std::string> &expected,
                   const Configuration &current = {})
{
    const auto actual = problemsOf(ticket, current);
    BOOST_TEST(actual == expected, boost::test_tools::per_element());
}

std::string fileText(const std::string &path)
{
    std::ifstream file(std::string(DRAGONFLYSILL_SOURCE_DIR) + "/" + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

Error parseError(const std::string &text)
{
    const auto parsed = parseTicket(text);
    BOOST_REQUIRE_MESSAGE(!parsed.ok(), "parsed: " << text.substr(0, 80));
    return parsed.error();
}

} // namespace

BOOST_AUTO_TEST_SUITE(TicketParsing)

// Guards against a parser that stops at the first problem or misses a kind of problem.
BOOST_AUTO_TEST_CASE(ReportsAllProblemsAtOnce)
{
    json ticket = baseTicket();
    ticket["colour"] = "blue";
    ticket["base"] = "0";
    ticket["pools"][0]["max_unavailable"] = 1.5;
    ticket["pools"][0]["instances"][1]["address"] = "localhost";
    ticket["services"][0]["routes"][0].erase("deadline_ms");
    ticket["services"][0]["routes"][0]["deadline_s"] = 2;
    ticket["jobs"][0]["memory_mb"] = "10 MB";
    ticket["jobs"][0]["priority"] = "high";
    ticket["jobs"][0]["tasks"] = 0;
    ticket["quotas"][0]["ticket"] = 1;
    checkProblems(ticket, {"/base", "/pools/0/max_unavailable", "/pools/0/instances/1/address",
                           "/services/0/routes/0/deadline_ms", "/services/0/routes/0/deadline_s",
                           "/jobs/0/tasks", "/jobs/0/memory_mb", "/jobs/0/priority",
                           "/quotas/0/ticket", "/colour"});
}

// Guards against a remedy that does not name the right field for a wrong unit or a typing error.
BOOST_AUTO_TEST_CASE(NamesTheFieldForAWrongUnitOrATypingError)
{
    json ticket = baseTicket();
    ticket["services"][0]["routes"][0]["deadline_s"] = 2;
    ticket["jobs"][0]["gangg"] = true;
    const auto parsed = parseTicket(ticket.dump());
    BOOST_REQUIRE(parsed->problems.size() == 2U);
    BOOST_TEST(parsed->problems[0].remedy.find("'deadline_ms'") != std::string::npos);
    BOOST_TEST(parsed->problems[1].remedy == "use 'gang'");
}

// Guards against repeated names and fields, of which all but one would be ignored silently.
BOOST_AUTO_TEST_CASE(ReportsDuplicates)
{
    json ticket = ticketJson("t", 0);
    ticket["pools"] = {poolJson("depot", 2, 1), poolJson("depot", 2, 2)};
    checkProblems(ticket, {"/pools/1/name"});
    const auto parsed = parseTicket(R"({"id":"a","id":"b","base":0,"author":"x","reason":"y",
                                        "quotas":[{"team":"t","cores":1,"memory_mb":1}]})");
    BOOST_REQUIRE(parsed->problems.size() == 1U);
    BOOST_TEST(parsed->problems[0].message == "field \"id\" occurs twice in one object");
}

// Guards against tickets that exceed the size of a transaction or a value of the store.
BOOST_AUTO_TEST_CASE(EnforcesTheLimits)
{
    json ticket = ticketJson("t", 0);
    for (std::size_t n = 0; n < ticketObjectLimit; ++n)
        ticket["quotas"].push_back(
                {{"team", "t" + std::to_string(n)}, {"cores", 1}, {"memory_mb", 1}});
    checkProblems(ticket, {});
    ticket["quotas"].push_back({{"team", "last"}, {"cores", 1}, {"memory_mb", 1}});
    checkProblems(ticket, {""});
    const std::string large(ticketSizeLimitBytes + 1, ' ');
    BOOST_TEST(parseError(large).is(ErrorKind::LimitExceeded));
    checkProblems(ticketJson("t", 0), {""}); // changes nothing
}

// Guards against crashes on input that is not a ticket.
BOOST_AUTO_TEST_CASE(InvalidInputIsReported)
{
    const std::string whole = baseTicket().dump();
    for (const std::string &text :
         {std::string(), std::string("null"), std::string("[]"), std::string("{"),
          std::string("\xff\xfe"), std::string("{\"id\":\"\xc3\x28\"}"), whole + "x",
          whole.substr(0, whole.size() / 2), std::string(400'000, '['),
          R"({"id":)" + std::string(5000, '{')})
        BOOST_TEST(parseError(text).is(ErrorKind::InvalidInput));
    std::string nested(100, '[');
    nested.append(100, ']');
    BOOST_TEST(parseError(R"({"id":)" + nested + "}").is(ErrorKind::InvalidInput));
}

// Guards against a parser that crashes on or accepts a ticket with corrupted bytes.
BOOST_AUTO_TEST_CASE(DamagedTicketsNeverCrash)
{
    const std::string whole = baseTicket().dump();
    const bool passed = rc::check("damaged tickets", [&whole] {
        std::string text = whole;
        const auto edits = *rc::gen::inRange(1, 8);
        for (int n = 0; n < edits; ++n) {
            const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
            const auto ch = *rc::gen::elementOf(std::string("{}[]\",:0-9e.\\u\x01\xff tn"));
            if (*rc::gen::arbitrary<bool>())
                text[at] = ch;
            else
                text.insert(at, 1, ch);
        }
        const auto parsed = parseTicket(text);
        if (parsed.ok()) {
            validateTicket(parsed->ticket, {});
            const auto again = parseTicket(ticketToJson(parsed->ticket).dump());
            RC_ASSERT(!parsed->problems.empty() || again->problems.empty());
        }
    });
    BOOST_TEST(passed);
}

// Guards against a crash on well-formed JSON whose values have arbitrary types.
BOOST_AUTO_TEST_CASE(ArbitraryValuesNeverCrash)
{
    const json whole = baseTicket();
    const auto flat = whole.flatten();
    std::vector<std::string> pointers;
    for (const auto &it : flat.items())
        pointers.push_back(it.key());
    const std::vector<json> values{nullptr,
                                   true,
                                   -1,
                                   1e300,
                                   18446744073709551615U,
                                   "",
                                   "x",
                                   json::array({1, nullptr}),
                                   json::object({{"a", {{"b", 1}}}})};
    const Configuration current = configurationOf(whole);
    const bool passed = rc::check("arbitrary values", [&] {
        json ticket = whole;
        const auto edits = *rc::gen::inRange(1, 6);
        for (int n = 0; n < edits; ++n) {
            std::string pointer = *rc::gen::elementOf(pointers);
            const auto cut = *rc::gen::inRange(0, 3);
            for (int i = 0; i < cut; ++i)
                pointer.erase(std::min(pointer.size(), pointer.rfind('/')));
            try {
                ticket[json::json_pointer(pointer)] = *rc::gen::elementOf(values);
            } catch (const json::exception &) {
                continue; // an earlier edit replaced the parent by a scalar
            }
        }
        const auto parsed = parseTicket(ticket.dump());
        if (parsed.ok())
            validateTicket(parsed->ticket, current);
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TicketValidation)

// Guards against an instance or an address in two pools, within a ticket and across tickets.
BOOST_AUTO_TEST_CASE(InstancesAndAddressesAreInOnePool)
{
    const Configuration current = configurationOf(baseTicket());
    json ticket = ticketJson("t", 1);
    ticket["pools"] = {poolJson("manifests", 3, 4)};
    ticket["pools"][0]["instances"][0]["name"] = "depot-1";
    ticket["pools"][0]["instances"][1]["address"] = "10.0.2.2:80";
    ticket["pools"][0]["instances"][2]["name"] = "manifests-2";
    checkProblems(ticket,
                  {"/pools/0/instances/0/name", "/pools/0/instances/2/name",
                   "/pools/0/instances/1/address"},
                  current);
}

// Guards against refusing a move although the ticket contains both pools.
BOOST_AUTO_TEST_CASE(MoveWithBothPoolsIsValid)
{
    const json whole = baseTicket();
    json ticket = ticketJson("t", 1);
    ticket["pools"] = {whole["pools"][0], whole["pools"][1]};
    auto &from = ticket["pools"][1]["instances"];
    ticket["pools"][0]["instances"].push_back(from[3]);
    from.erase(3);
    checkProblems(ticket, {}, configurationOf(whole));
}

// Guards against budgets that allow all instances of a pool to be unavailable, or that allow no
// maintenance.
BOOST_AUTO_TEST_CASE(BudgetsCanBeMet)
{
    json ticket = baseTicket();
    ticket["pools"][0]["max_unavailable"] = 4;
    checkProblems(ticket, {"/pools/0/max_unavailable"});
    ticket["pools"][0]["max_unavailable"] = 0;
    ticket["maintenance"][0]["state"] = "running";
    checkProblems(ticket, {"/maintenance/0/pools/0"});
    json lowered = ticketJson("t", 1);
    lowered["pools"] = {poolJson("depot", 4, 1)};
    lowered["pools"][0]["max_unavailable"] = 0;
    json running = baseTicket();
    running["maintenance"][0]["state"] = "running";
    checkProblems(lowered, {"/pools/0/max_unavailable"}, configurationOf(running));
}

// Guards against a spare pool that cannot replace the instances that a pool has in one rack.
BOOST_AUTO_TEST_CASE(BufferHoldsOneRackShare)
{
    json ticket = baseTicket();
    ticket["pools"][2]["max_unavailable"] = 3;
    checkProblems(ticket, {"/pools/2/instances"});
    json concentrated = ticketJson("t", 1);
    concentrated["pools"] = {poolJson("tubes", 4, 2)};
    for (auto &it : concentrated["pools"][0]["instances"]) {
        it["zone"] = "zone-1";
        it["rack"] = "rack-1";
    }
    checkProblems(concentrated, {"/pools/0/instances"}, configurationOf(baseTicket()));
}

// Guards against jobs that can never run within the quota of their team.
BOOST_AUTO_TEST_CASE(QuotasHoldWhatRunsAtOnce)
{
    json ticket = baseTicket();
    ticket["jobs"][0]["cores"] = 5;
    checkProblems(ticket, {}); // the tasks can run one after the other
    ticket["jobs"][0]["gang"] = true;
    checkProblems(ticket, {"/jobs/0/cores"});
    ticket["jobs"][0]["cancelled"] = true;
    checkProblems(ticket, {});
    json lowered = ticketJson("t", 1);
    lowered["quotas"] = {{{"team", "ops"}, {"cores", 8}, {"memory_mb", 9}}};
    checkProblems(lowered, {"/quotas/0/memory_mb"}, configurationOf(baseTicket()));
}

// Guards against references to objects that do not exist.
BOOST_AUTO_TEST_CASE(ReferencesExist)
{
    json ticket = baseTicket();
    ticket["services"][0]["pool"] = "nowhere";
    ticket["jobs"][0]["team"] = "nobody";
    ticket["jobs"][0]["pool"] = "nowhere";
    ticket["maintenance"][0]["pools"] = {"depot", "nowhere", "depot"};
    checkProblems(ticket, {"/services/0/pool", "/jobs/0/team", "/jobs/0/pool",
                           "/maintenance/0/pools/1", "/maintenance/0/pools/2"});
}

// Guards against two services with routes for the same requests.
BOOST_AUTO_TEST_CASE(PathPrefixesAreUnique)
{
    json ticket = ticketJson("t", 1);
    ticket["services"] = baseTicket()["services"];
    ticket["services"][0]["name"] = "collection";
    checkProblems(ticket, {"/services/0/routes/0/path_prefix"}, configurationOf(baseTicket()));
}

// Guards against deleting an object that a service, a job or a maintenance order still uses.
BOOST_AUTO_TEST_CASE(UsedObjectsAreNotDeleted)
{
    const Configuration current = configurationOf(baseTicket());
    json ticket = ticketJson("t", 1);
    ticket["pools"] = {{{"name", "depot"}, {"delete", true}}, {{"name", "x"}, {"delete", true}}};
    ticket["quotas"] = {{{"team", "ops"}, {"delete", true}}};
    checkProblems(ticket, {"/pools/1", "/pools/0", "/quotas/0", "/pools/0"}, current);
    ticket["pools"].erase(1);
    ticket["services"] = {{{"name", "routing"}, {"delete", true}}};
    ticket["jobs"] = {{{"name", "sort"}, {"delete", true}}};
    ticket["maintenance"] = {{{"name", "update"}, {"delete", true}}};
    checkProblems(ticket, {}, current);
}

// Guards against a service whose pool has no instance.
BOOST_AUTO_TEST_CASE(ServicesHaveInstances)
{
    json ticket = ticketJson("t", 1);
    ticket["pools"] = {poolJson("depot", 0, 1)};
    checkProblems(ticket, {"/pools/0/instances"}, configurationOf(baseTicket()));
}

// Guards against invalid tickets among the examples.
BOOST_AUTO_TEST_CASE(ExamplesAreValid)
{
    for (const std::string deployment : {"tubo-sul", "petal-cluster"}) {
        Configuration current;
        for (int n = 1; n <= 3; ++n) {
            const std::string path
                    = "examples/" + deployment + "/ticket-000" + std::to_string(n) + ".json";
            const auto parsed = parseTicket(fileText(path));
            BOOST_REQUIRE_MESSAGE(parsed.ok(), path << " is not a ticket");
            const Problems problems = validateTicket(parsed->ticket, current);
            BOOST_TEST(parsed->problems.empty(), path << ": " << json(parsed->problems).dump());
            BOOST_TEST(problems.empty(), path << ": " << json(problems).dump());
            BOOST_TEST(parsed->ticket.base == current.ticket);
            current = applyTicket(parsed->ticket, current, current.ticket + 1);
        }
        BOOST_TEST(current.services.size() == 5U);
        BOOST_TEST(current.pools.size() == 6U);
        const auto atMostOnce = [](const auto &service) {
            const auto &routes = service.second.routes;
            return std::any_of(routes.begin(), routes.end(),
                               [](const Route &it) { return !it.repeatable; });
        };
        BOOST_TEST(std::any_of(current.services.begin(), current.services.end(), atMostOnce));
    }
}

BOOST_AUTO_TEST_SUITE_END()
