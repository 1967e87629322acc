#include "support/goldenfile.h"
#include "zonesimulation.h"

#include "dragonflysill/zones/peertable.h"

#include <boost/test/unit_test.hpp>

using namespace dragonflysill;
using namespace dragonflysill::support;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t sessionSeed = 17;

/** Two regions with two availability zones of two members each, and the first ticket. */
void startFour(ZoneSimulation &it)
{
    it.acceptTicket(1);
    for (const auto *name : {"a1", "a2"})
        it.start(name, "west", "a");
    for (const auto *name : {"b1", "b2"})
        it.start(name, "east", "b");
    it.run(3s);
}

std::string otherOf(const std::string &relay)
{
    return relay.substr(0, 1) + (relay[1] == '1' ? "2" : "1");
}

} // namespace

BOOST_AUTO_TEST_SUITE(ZoneSessions)

// Guards against members that do not find each other, and against more than one watch per
// availability zone.
BOOST_AUTO_TEST_CASE(JoinAndLeave)
{
    ZoneSimulation it(sessionSeed);
    startFour(it);
    it.acceptTicket(2);
    it.run(500ms);
    it.start("a3", "west", "a");
    it.run(2s);
    it.leave("b2");
    it.run(8s);
    BOOST_TEST(it.watches("a") == 1);
    BOOST_TEST(it.watches("b") == 1);
    BOOST_TEST(it.everywhere(2));
    checkGolden("join-and-leave.txt", it.transcript());
}

// Guards against a failed member that keeps its roles, and a returned one that gets none.
BOOST_AUTO_TEST_CASE(FailAndReturn)
{
    ZoneSimulation it(sessionSeed);
    startFour(it);
    it.kill("b1");
    it.acceptTicket(2);
    it.run(7s);
    it.start("b1", "east", "b");
    it.run(3s);
    BOOST_TEST(it.everywhere(2));
    BOOST_TEST(it.node("b1").current());
    checkGolden("fail-and-return.txt", it.transcript());
}

// Guards against a separated region that serves another state or stays behind after healing.
BOOST_AUTO_TEST_CASE(PartitionAndHeal)
{
    ZoneSimulation it(sessionSeed);
    startFour(it);
    const auto both
            = [&](void (ZoneSimulation::*change)(const std::string &, const std::string &)) {
                  for (const auto *a : {"a1", "a2"}) {
                      for (const auto *b : {"b1", "b2"})
                          (it.*change)(a, b);
                  }
              };
    both(&ZoneSimulation::cut);
    it.cutStore("b1");
    it.cutStore("b2");
    it.note("partition");
    it.run(2s);
    it.acceptTicket(2);
    it.run(1h);
    BOOST_TEST(it.ticketOf("a1") == 2);
    BOOST_TEST(it.ticketOf("b1") == 1);
    both(&ZoneSimulation::heal);
    it.healStore("b1");
    it.healStore("b2");
    it.note("heal");
    const auto time = it.runUntil([&] { return it.everywhere(2); }, 10s);
    BOOST_TEST(time.count() >= 0);
    BOOST_TEST(time.count() <= 2000);
    it.run(3s);
    BOOST_TEST(!it.wentBack());
    checkGolden("partition-and-heal.txt", it.transcript());
}

// Guards against a change that waits because the relay ended, hangs or lost the store.
BOOST_AUTO_TEST_CASE(RelayChange)
{
    ZoneSimulation it(sessionSeed);
    startFour(it);
    const std::string first = it.node("a1").relay();
    it.pause(first);
    it.acceptTicket(2);
    const auto paused = it.runUntil([&] { return it.everywhere(2); }, 10s);
    BOOST_TEST(paused.count() >= 0);
    BOOST_TEST(paused.count() <= 2000);
    it.run(7s);
    it.resume(first);
    it.run(3s);
    BOOST_TEST(it.node(first).relay() == first);
    BOOST_TEST(it.countEvents(first + " lease") == 0);
    it.cutStore(first);
    it.acceptTicket(3);
    const auto cut = it.runUntil([&] { return it.everywhere(3); }, 10s);
    BOOST_TEST(cut.count() >= 0);
    BOOST_TEST(cut.count() <= 4000);
    it.run(3s);
    BOOST_TEST(it.node(first).relay() == otherOf(first));
    it.healStore(first);
    it.run(3s);
    BOOST_TEST(it.watches("a") == 1);
    checkGolden("relay-change.txt", it.transcript());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ZoneFaults)

// Guards against an outage of an hour after which changes are late or revisions go back.
BOOST_AUTO_TEST_CASE(StoreDownForAnHour)
{
    ZoneSimulation it(sessionSeed);
    startFour(it);
    it.setStoreDown(true);
    it.run(1h);
    BOOST_TEST(it.everywhere(1));
    it.setStoreDown(false);
    it.acceptTicket(2);
    const auto time = it.runUntil([&] { return it.everywhere(2); }, 10s);
    BOOST_TEST(time.count() >= 0);
    BOOST_TEST(time.count() <= 2000);
    it.run(5s);
    BOOST_TEST(it.watches("a") == 1);
    BOOST_TEST(!it.wentBack());
}

// Guards against a restored store that takes accepted tickets back.
BOOST_AUTO_TEST_CASE(StoreReturnsFromAnOlderState)
{
    ZoneSimulation it(sessionSeed);
    startFour(it);
    const StoreEngine older = it.store();
    it.acceptTicket(2);
    it.run(1s);
    it.setStoreDown(true);
    it.run(5s);
    it.store() = older;
    it.setStoreDown(false);
    it.run(20s);
    BOOST_TEST(it.everywhere(2));
    BOOST_TEST(!it.wentBack());
    BOOST_TEST(it.countEvents("store-regressed") >= 1);
}

// Guards against a zone that stays behind when none of its members reaches the store.
BOOST_AUTO_TEST_CASE(ZoneWithoutStoreFollowsAnotherZone)
{
    ZoneSimulation it(sessionSeed);
    startFour(it);
    it.cutStore("b1");
    it.cutStore("b2");
    it.run(10s);
    it.acceptTicket(2);
    const auto time = it.runUntil([&] { return it.everywhere(2); }, 10s);
    BOOST_TEST(time.count() >= 0);
    BOOST_TEST(time.count() <= 2000);
}

// Guards against a member that starts during an outage and reports ready with no or an old state.
BOOST_AUTO_TEST_CASE(JoinsThroughSeedsWhileTheStoreIsDown)
{
    ZoneSimulation it(sessionSeed);
    startFour(it);
    it.setStoreDown(true);
    it.start("a9", "west", "a");
    it.run(5s);
    BOOST_TEST(!it.node("a9").current());
    it.kill("a9");
    it.start("a9", "west", "a", {"b1"});
    const auto time = it.runUntil([&] { return it.node("a9").current(); }, 10s);
    BOOST_TEST(time.count() >= 0);
    BOOST_TEST(it.ticketOf("a9") == 1);
}

// Guards against a paused member that keeps its old incarnation after its lease expired.
BOOST_AUTO_TEST_CASE(RegistersAgainAfterAPause)
{
    ZoneSimulation it(sessionSeed);
    startFour(it);
    const std::int64_t before = it.node("a1").peers().find("a2")->incarnation;
    it.pause("a2");
    it.run(8s);
    BOOST_TEST(it.node("a1").builder().view()->members.count("a2") == 0U);
    it.resume("a2");
    it.run(3s);
    BOOST_TEST(it.node("a1").peers().find("a2")->incarnation > before);
    BOOST_TEST(it.node("a1").builder().view()->members.count("a2") == 1U);
    BOOST_TEST(it.node("a2").liveMembers() == 4);
}

// Guards against a watch per member: the number must not grow with the members of a zone.
BOOST_AUTO_TEST_CASE(OneWatchWhateverTheNumberOfMembers)
{
    ZoneSimulation it(sessionSeed);
    it.acceptTicket(1);
    for (int n = 0; n < 24; ++n)
        it.start("m" + std::to_string(n), "west", "a");
    it.run(5s);
    BOOST_TEST(it.watches("a") == 1);
    BOOST_TEST(it.everywhere(1));
    it.acceptTicket(2);
    const auto time = it.runUntil([&] { return it.everywhere(2); }, 10s);
    BOOST_TEST(time.count() >= 0);
    BOOST_TEST(time.count() <= 200);
}

// Guards against a member that is cut off from its relay only and keeps an old state.
BOOST_AUTO_TEST_CASE(MemberCutFromItsRelayTakesTheNext)
{
    ZoneSimulation it(sessionSeed);
    it.acceptTicket(1);
    for (const auto *name : {"a1", "a2", "a3"})
        it.start(name, "west", "a");
    it.run(3s);
    const std::string relay = it.node("a1").relay();
    std::vector<std::string> others;
    for (const auto *name : {"a1", "a2", "a3"}) {
        if (name != relay)
            others.emplace_back(name);
    }
    it.cut(relay, others[0]);
    it.run(3s);
    it.acceptTicket(2);
    const auto time = it.runUntil([&] { return it.everywhere(2); }, 10s);
    BOOST_TEST(time.count() >= 0);
    BOOST_TEST(time.count() <= 2000);
    BOOST_TEST(!it.wentBack());
}

BOOST_AUTO_TEST_SUITE_END()
