#include "ticketfixture.h"

#include "dragonflysill/base/random.h"
#include "support/goldenfile.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

using namespace dragonflysill;
using namespace dragonflysill::support;
using nlohmann::json;

namespace {

constexpr std::uint64_t sessionSeed{20261204};

/** Records what operators ask, what the desk answers and what the store holds afterwards. */
struct Session : DeskFixture
{
    Session() { transcript << "seed " << sessionSeed << "\n"; }

    AcceptanceOutcome apply(TicketProcessor &at, const std::string &operatorName,
                            const std::string &text)
    {
        transcript << nowMs << " ms " << operatorName << " applies a ticket of " << text.size()
                   << " bytes\n";
        auto outcome = at.accept(text, 0);
        transcript << nowMs << " ms " << operatorName << " is answered\n"
                   << outcomeToJson(outcome).dump(2) << "\n";
        return outcome;
    }

    void recordStore()
    {
        const std::string root(storekeys::root);
        const auto state = store.store.range({root, storekeys::rangeEnd(root)});
        transcript << "store at revision " << state->revision << "\n";
        for (const auto &it : state->keyValues) {
            const auto value = json::parse(it.value);
            transcript << "  " << it.key << " revision " << it.modRevision;
            if (it.key.find("/objects/") != std::string::npos)
                transcript << " ticket " << value.at("ticket");
            else if (it.key == storekeys::latestTicket)
                transcript << " " << it.value;
            transcript << "\n";
        }
    }

    static std::string example(const std::string &name)
    {
        std::ifstream file(std::string(DRAGONFLYSILL_SOURCE_DIR) + "/examples/" + name);
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    void faultBeforeNextWrite(StoreFaults faults)
    {
        store.beforeWrite = [this, faults] {
            transcript << nowMs << " ms the store fails\n";
            store.store.setFaults(faults);
        };
    }

    Random random{sessionSeed};
    std::ostringstream transcript;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TicketSessions, Session)

// Guards against any change of how a first configuration, a move and an order are accepted.
BOOST_AUTO_TEST_CASE(AcceptedTickets)
{
    for (const char *name : {"ticket-0001.json", "ticket-0002.json", "ticket-0003.json"}) {
        apply(desk, "ana", example(std::string("tubo-sul/") + name));
        nowMs += static_cast<std::int64_t>(random.below(100'000));
    }
    recordStore();
    transcript << "ticket 3 reads back as\n" << json(*desk.ticket(3)).dump(2) << "\n";
    checkGolden("accepted.txt", transcript.str());
}

// Guards against a refusal that hides problems, or that writes anything.
BOOST_AUTO_TEST_CASE(RefusedTicketWithAllItsProblems)
{
    apply(desk, "iris", example("petal-cluster/ticket-0001.json"));
    auto ticket = ticketJson("bad", 3);
    ticket["urgency"] = "high";
    ticket["pools"] = {poolJson("weddings", 3, 1), {{"name", "ordering"}, {"delete", true}}};
    ticket["pools"][0]["max_unavailable"] = 3;
    ticket["pools"][0]["instances"][1]["name"] = "wreaths-01";
    ticket["pools"][0]["instances"][2]["address"] = "petal.example:80";
    ticket["pools"].push_back(poolJson("bouquets", 3, 2));
    ticket["pools"][2]["max_unavailable"] = 3;
    ticket["services"]
            = {{{"name", "bouquets"},
                {"pool", "bouquet"},
                {"mean_rate_per_min", 600},
                {"routes", json::array({{{"path_prefix", "/orders"}, {"deadline_ms", 500}}})}}};
    ticket["services"].push_back({{"name", "letters"},
                                  {"pool", "letters"},
                                  {"mean_rate_per_s", 1},
                                  {"routes", json::array()}});
    ticket["jobs"] = {{{"name", "print"},
                       {"team", "shops"},
                       {"tasks", 100},
                       {"cores", 4},
                       {"memory_mb", 16},
                       {"gang", true}}};
    apply(desk, "jonas", ticket.dump());
    recordStore();
    checkGolden("refused.txt", transcript.str());
}

// Guards against two winners for one object, and against a loser without the winner's name.
BOOST_AUTO_TEST_CASE(RacingTickets)
{
    int winners = 0;
    int losers = 0;
    apply(desk, "ana", poolTicket("first", 0, "depot").dump());
    constexpr int operators{6};
    std::vector<std::unique_ptr<TicketProcessor>> desks;
    desks.reserve(operators);
    for (int n = 0; n < operators; ++n)
        desks.push_back(std::make_unique<TicketProcessor>(store, fence, settings("c1")));
    // Each operator's write is delayed until some of the others have been answered.
    std::function<void(int)> race = [&](int n) {
        if (n == operators)
            return;
        const bool overtaken = random.below(3) != 0;
        if (overtaken)
            store.beforeWrite = [&race, n] { race(n + 1); };
        const bool sharesPool = random.below(2) == 0;
        const std::string name = "operator-" + std::to_string(n);
        const auto ticket = sharesPool ? poolTicket(name, 1, "depot", 5 + n)
                                       : poolTicket(name, 1, "pool-" + name, 4, 10 + n);
        const auto outcome = apply(*desks[static_cast<std::size_t>(n)], name, ticket.dump());
        if (sharesPool)
            ++(std::holds_alternative<AcceptedTicket>(outcome) ? winners : losers);
        if (const auto pending = std::exchange(store.beforeWrite, nullptr))
            pending();
        else if (!overtaken)
            race(n + 1);
    };
    race(0);
    recordStore();
    BOOST_TEST(winners == 1);
    BOOST_TEST(losers > 0);
    checkGolden("racing.txt", transcript.str());
}

// Guards against an unknown outcome that is reported as a failure, or a second acceptance.
BOOST_AUTO_TEST_CASE(LostStoreAnswer)
{
    StoreFaults lost;
    lost.loseAnswers = 1;
    faultBeforeNextWrite(lost);
    apply(desk, "ana", poolTicket("answer-lost", 0, "depot").dump());
    StoreFaults dropped;
    dropped.loseRequests = 1;
    faultBeforeNextWrite(dropped);
    apply(desk, "ana", poolTicket("request-lost", 1, "depot", 5).dump());
    faultBeforeNextWrite(lost);
    onPause = [this] {
        StoreFaults down;
        down.down = true;
        store.store.setFaults(down);
    };
    const std::string text = poolTicket("store-lost", 2, "depot", 6).dump();
    apply(desk, "ana", text);
    transcript << nowMs << " ms the store is back\n";
    onPause = nullptr;
    store.store.setFaults({});
    nowMs += 60'000;
    apply(desk, "ana", text);
    recordStore();
    checkGolden("lost-answer.txt", transcript.str());
}

// Guards against a repeated ticket that changes anything, and against a reused id.
BOOST_AUTO_TEST_CASE(RepeatedTicket)
{
    const std::string text = poolTicket("once", 0, "depot").dump();
    apply(desk, "ana", text);
    apply(desk, "bruno", poolTicket("later", 1, "depot", 6).dump());
    nowMs += static_cast<std::int64_t>(random.below(100'000));
    apply(desk, "ana", json::parse(text).dump(4));
    apply(desk, "ana", poolTicket("once", 1, "depot", 7).dump());
    recordStore();
    checkGolden("repeated.txt", transcript.str());
}

BOOST_AUTO_TEST_SUITE_END()
