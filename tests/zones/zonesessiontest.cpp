#include "support/goldenfile.h"
#include "zonesimulation.h"

#include "dragonflysill/zones/peertable.h"

#include <boost/test/unit_test.hpp>

using namespace dragonflysill;
using namespace dragonflysill::support;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t sessionSeed = 17;

/** Starts two members in one availability zone of each of two regions, with the first ticket. */
void startFourMembers(ZoneSimulation &it)
{
    it.acceptTicket(1);
    for (const auto *name : {"a1", "a2"})
        it.start(name, "west", "a");
    for (const auto *name : {"b1", "b2"})
        it.start(name, "east", "b");
    it.run(3s);
}

std::string otherMember(const std::string &relay)
{
    return relay.substr(0, 1) + (relay[1] == '1' ? "2" : "1");
}

} // namespace

BOOST_AUTO_TEST_SUITE(ZoneSessions)

// Guards against members that do not discover each other, and against more than one watch for each
// availability zone.
BOOST_AUTO_TEST_CASE(JoinAndLeave)
{
    ZoneSimulation it(sessionSeed);
    startFourMembers(it);
    it.acceptTicket(2);
    it.run(500ms);
    it.start("a3", "west", "a");
    it.run(2s);
    it.leave("b2");
    it.run(8s);
    BOOST_TEST(it.watches("a") == 1);
    BOOST_TEST(it.watches("b") == 1);
    BOOST_TEST(it.allHaveTicket(2));
    checkGolden("join-and-leave.txt", it.transcript());
}

// Guards against a failed member that keeps its roles, and a returned member that gets none.
BOOST_AUTO_TEST_CASE(FailAndReturn)
{
    ZoneSimulation it(sessionSeed);
    startFourMembers(it);
    it.kill("b1");
    it.acceptTicket(2);
    it.run(7s);
    it.start("b1", "east", "b");
    it.run(3s);
    BOOST_TEST(it.allHaveTicket(2));
    BOOST_TEST(it.node("b1").isCurrent());
    checkGolden("fail-and-return.txt", it.transcript());
}

// Guards against a partitioned region whose state diverges or stays behind after the partition
// ends.
BOOST_AUTO_TEST_CASE(PartitionAndHeal)
{
    ZoneSimulation it(sessionSeed);
    startFourMembers(it);
    const auto both
            = [&](void (ZoneSimulation::*change)(const std::string &, const std::string &)) {
                  for (const auto *a : {"a1", "a2"}) {
                      for (const auto *b : {"b1", "b2"})
                          (it.*change)(a, b);
                  }
              };
    both(&ZoneSimulation::disconnect);
    it.disconnectStore("b1");
    it.disconnectStore("b2");
    it.note("partition");
    it.run(2s);
    it.acceptTicket(2);
    it.run(1h);
    BOOST_TEST(it.ticketOf("a1") == 2);
    BOOST_TEST(it.ticketOf("b1") == 1);
    both(&ZoneSimulation::reconnect);
    it.reconnectStore("b1");
    it.reconnectStore("b2");
    it.note("heal");
    const auto time = it.runUntil([&] { return it.allHaveTicket(2); }, 10s);
    BOOST_TEST(time.count() >= 0);
    BOOST_TEST(time.count() <= 2000);
    it.run(3s);
    BOOST_TEST(!it.hasRegressed());
    checkGolden("partition-and-heal.txt", it.transcript());
}

// Guards against delayed changes when the relay hangs or loses its connection to the store.
BOOST_AUTO_TEST_CASE(RelayChange)
{
    ZoneSimulation it(sessionSeed);
    startFourMembers(it);
    const std::string first = it.node("a1").relay();
    it.pause(first);
    it.acceptTicket(2);
    const auto paused = it.runUntil([&] { return it.allHaveTicket(2); }, 10s);
    BOOST_TEST(paused.count() >= 0);
    BOOST_TEST(paused.count() <= 2000);
    it.run(7s);
    it.resume(first);
    it.run(3s);
    BOOST_TEST(it.node(first).relay() == first);
    BOOST_TEST(it.countEvents(first + " lease") == 0);
    it.disconnectStore(first);
    it.acceptTicket(3);
    const auto cut = it.runUntil([&] { return it.allHaveTicket(3); }, 10s);
    BOOST_TEST(cut.count() >= 0);
    BOOST_TEST(cut.count() <= 4000);
    it.run(3s);
    BOOST_TEST(it.node(first).relay() == otherMember(first));
    it.reconnectStore(first);
    it.run(3s);
    BOOST_TEST(it.watches("a") == 1);
    checkGolden("relay-change.txt", it.transcript());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ZoneFaults)

// Guards against delayed changes or decreasing revisions after a store outage of one hour.
BOOST_AUTO_TEST_CASE(StoreDownForAnHour)
{
    ZoneSimulation it(sessionSeed);
    startFourMembers(it);
    it.setStoreDown(true);
    it.run(1h);
    BOOST_TEST(it.allHaveTicket(1));
    it.setStoreDown(false);
    it.acceptTicket(2);
    const auto time = it.runUntil([&] { return it.allHaveTicket(2); }, 10s);
    BOOST_TEST(time.count() >= 0);
    BOOST_TEST(time.count() <= 2000);
    it.run(5s);
    BOOST_TEST(it.watches("a") == 1);
    BOOST_TEST(!it.hasRegressed());
}

// Guards against reverting accepted tickets when the store is restored from an older state.
BOOST_AUTO_TEST_CASE(StoreReturnsFromAnOlderState)
{
    ZoneSimulation it(sessionSeed);
    startFourMembers(it);
    const StoreEngine older = it.store();
    it.acceptTicket(2);
    it.run(1s);
    it.setStoreDown(true);
    it.run(5s);
    it.store() = older;
    it.setStoreDown(false);
    it.run(20s);
    BOOST_TEST(it.allHaveTicket(2));
    BOOST_TEST(!it.hasRegressed());
    BOOST_TEST(it.countEvents("store-regressed") >= 1);
}

// Guards against a zone that receives no changes when none of its members reaches the store.
BOOST_AUTO_TEST_CASE(ZoneWithoutStoreFollowsAnotherZone)
{
    ZoneSimulation it(sessionSeed);
    startFourMembers(it);
    it.disconnectStore("b1");
    it.disconnectStore("b2");
    it.run(10s);
    it.acceptTicket(2);
    const auto time = it.runUntil([&] { return it.allHaveTicket(2); }, 10s);
    BOOST_TEST(time.count() >= 0);
    BOOST_TEST(time.count() <= 2000);
}

// Guards against a member that starts during a store outage and reports readiness without a state
// or with an old one.
BOOST_AUTO_TEST_CASE(JoinsThroughSeedsWhileTheStoreIsDown)
{
    ZoneSimulation it(sessionSeed);
    startFourMembers(it);
    it.setStoreDown(true);
    it.start("a9", "west", "a");
    it.run(5s);
    BOOST_TEST(!it.node("a9").isCurrent());
    it.kill("a9");
    it.start("a9", "west", "a", {"b1"});
    const auto time = it.runUntil([&] { return it.node("a9").isCurrent(); }, 10s);
    BOOST_TEST(time.count() >= 0);
    BOOST_TEST(it.ticketOf("a9") == 1);
}

// Guards against a paused member that keeps its old incarnation after its lease expired.
BOOST_AUTO_TEST_CASE(RegistersAgainAfterAPause)
{
    ZoneSimulation it(sessionSeed);
    startFourMembers(it);
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

// Guards against one watch for each member: the number must not grow with the members of a zone.
BOOST_AUTO_TEST_CASE(OneWatchForAnyNumberOfMembers)
{
    ZoneSimulation it(sessionSeed);
    it.acceptTicket(1);
    for (int n = 0; n < 24; ++n)
        it.start("m" + std::to_string(n), "west", "a");
    it.run(5s);
    BOOST_TEST(it.watches("a") == 1);
    BOOST_TEST(it.allHaveTicket(1));
    it.acceptTicket(2);
    const auto time = it.runUntil([&] { return it.allHaveTicket(2); }, 10s);
    BOOST_TEST(time.count() >= 0);
    BOOST_TEST(time.count() <= 200);
}

// Guards against a member that keeps an old state when only the connection to its relay is blocked.
BOOST_AUTO_TEST_CASE(MemberWithoutItsRelayFollowsTheNextOne)
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
    it.disconnect(relay, others[0]);
    it.run(3s);
    it.acceptTicket(2);
    const auto time = it.runUntil([&] { return it.allHaveTicket(2); }, 10s);
    BOOST_TEST(time.count() >= 0);
    BOOST_TEST(time.count() <= 2000);
    BOOST_TEST(!it.hasRegressed());
}

BOOST_AUTO_TEST_SUITE_END()
