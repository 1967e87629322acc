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

/** Records the requests of operators, their outcomes and the resulting state of the store. */
struct Session : TicketFixture
{
    Session() { transcript << "seed " << sessionSeed << "\n"; }

    AcceptanceOutcome apply(TicketProcessor &target, const std::string &operatorName,
                            const std::string &text)
    {
        transcript << nowMs << " ms " << operatorName << " applies a ticket of " << text.size()
                   << " bytes\n";
        auto outcome = target.accept(text, 0);
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

// Guards against changes in the acceptance of a first configuration, a move and a maintenance
// order.
BOOST_AUTO_TEST_CASE(AcceptedTickets)
{
    for (const char *name : {"ticket-0001.json", "ticket-0002.json", "ticket-0003.json"}) {
        apply(processor, "ana", example(std::string("tubo-sul/") + name));
        nowMs += static_cast<std::int64_t>(random.below(100'000));
    }
    recordStore();
    transcript << "ticket 3 reads back as\n" << json(*processor.ticket(3)).dump(2) << "\n";
    checkGolden("accepted.txt", transcript.str());
}

// Guards against a refusal that omits problems or writes to the store.
BOOST_AUTO_TEST_CASE(RefusedTicketWithAllItsProblems)
{
    apply(processor, "iris", example("petal-cluster/ticket-0001.json"));
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
    apply(processor, "jonas", ticket.dump());
    recordStore();
    checkGolden("refused.txt", transcript.str());
}

// Guards against accepting two concurrent tickets for one object, and against a conflict that does
// not name the accepted ticket.
BOOST_AUTO_TEST_CASE(RacingTickets)
{
    int winners = 0;
    int losers = 0;
    apply(processor, "ana", poolTicket("first", 0, "depot").dump());
    constexpr int operators{6};
    std::vector<std::unique_ptr<TicketProcessor>> processors;
    processors.reserve(operators);
    for (int n = 0; n < operators; ++n)
        processors.push_back(std::make_unique<TicketProcessor>(store, fence, settings("c1")));
    // Some writes are delayed until tickets of later operators have been processed.
    std::function<void(int)> race = [&](int n) {
        if (n == operators)
            return;
        const bool isDelayed = random.below(3) != 0;
        if (isDelayed)
            store.beforeWrite = [&race, n] { race(n + 1); };
        const bool sharesPool = random.below(2) == 0;
        const std::string name = "operator-" + std::to_string(n);
        const auto ticket = sharesPool ? poolTicket(name, 1, "depot", 5 + n)
                                       : poolTicket(name, 1, "pool-" + name, 4, 10 + n);
        const auto outcome = apply(*processors[static_cast<std::size_t>(n)], name, ticket.dump());
        if (sharesPool)
            ++(std::holds_alternative<AcceptedTicket>(outcome) ? winners : losers);
        if (const auto pending = std::exchange(store.beforeWrite, nullptr))
            pending();
        else if (!isDelayed)
            race(n + 1);
    };
    race(0);
    recordStore();
    BOOST_TEST(winners == 1);
    BOOST_TEST(losers > 0);
    checkGolden("racing.txt", transcript.str());
}

// Guards against reporting an unknown outcome as a failure, and against accepting a ticket twice.
BOOST_AUTO_TEST_CASE(LostStoreAnswer)
{
    StoreFaults lost;
    lost.loseAnswers = 1;
    faultBeforeNextWrite(lost);
    apply(processor, "ana", poolTicket("answer-lost", 0, "depot").dump());
    StoreFaults dropped;
    dropped.loseRequests = 1;
    faultBeforeNextWrite(dropped);
    apply(processor, "ana", poolTicket("request-lost", 1, "depot", 5).dump());
    faultBeforeNextWrite(lost);
    onPause = [this] {
        StoreFaults down;
        down.down = true;
        store.store.setFaults(down);
    };
    const std::string text = poolTicket("store-lost", 2, "depot", 6).dump();
    apply(processor, "ana", text);
    transcript << nowMs << " ms the store is back\n";
    onPause = nullptr;
    store.store.setFaults({});
    nowMs += 60'000;
    apply(processor, "ana", text);
    recordStore();
    checkGolden("lost-answer.txt", transcript.str());
}

// Guards against a repeated ticket that changes the state, and against a reused id.
BOOST_AUTO_TEST_CASE(RepeatedTicket)
{
    const std::string text = poolTicket("once", 0, "depot").dump();
    apply(processor, "ana", text);
    apply(processor, "bruno", poolTicket("later", 1, "depot", 6).dump());
    nowMs += static_cast<std::int64_t>(random.below(100'000));
    apply(processor, "ana", json::parse(text).dump(4));
    apply(processor, "ana", poolTicket("once", 1, "depot", 7).dump());
    recordStore();
    checkGolden("repeated.txt", transcript.str());
}

BOOST_AUTO_TEST_SUITE_END()
