#include "fleetharness.h"

#include "support/goldenfile.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace dragonflysill;
using dragonflysill::support::FleetHarness;

namespace {

Maintenance makeOrder(std::int64_t ticket, MaintenanceState state = MaintenanceState::Running)
{
    Maintenance order;
    order.name = "kernel";
    order.ticket = ticket;
    order.pools = {"depots", "intake"};
    order.state = state;
    order.maxParallel = 4;
    return order;
}

/** Two pools with six instances each on six racks in three zones, and a spare pool. */
void declarePools(FleetHarness &fleet, int maxUnavailable)
{
    fleet.declare("intake", {"z1-r1-a", "z1-r2-b", "z2-r3-c", "z2-r4-d", "z3-r5-e", "z3-r6-f"},
                  maxUnavailable);
    fleet.declare("depots", {"z1-r1-g", "z1-r2-h", "z2-r3-i", "z2-r4-j", "z3-r5-k", "z3-r6-l"},
                  maxUnavailable);
    fleet.declare("spare", {"z1-r7-m", "z2-r7-n"}, 1);
    BOOST_REQUIRE(fleet.runUntilConverged(20) >= 0);
}

/** Runs passes until the wave has the state; checks the budgets after each pass. */
int runUntil(FleetHarness &fleet, WaveState state, int limit)
{
    for (int n = 0; n < limit; ++n) {
        fleet.step();
        const auto now = fleet.inputs();
        const PoolCapacity capacity(now.configuration, now.records);
        for (const auto &it : now.configuration.pools)
            BOOST_TEST(capacity.headroom(it.first) >= 0, "budget of " << it.first << " exceeded");
        std::set<std::string> zones;
        for (const auto &it : fleet.wave("kernel").active)
            zones.insert(now.records.at(it).zone);
        BOOST_TEST(zones.size() <= 1U, "maintenance in two availability zones at once");
        const auto wave = fleet.wave("kernel");
        if (!wave.name.empty() && wave.state == state)
            return n;
    }
    return -1;
}

void checkEachRebootedOnce(const FleetHarness &fleet)
{
    BOOST_TEST(fleet.reboots.size() == 12U);
    for (const auto &it : fleet.reboots)
        BOOST_TEST(it.second == 1, it.first << " was rebooted " << it.second << " times");
    for (const auto &it : fleet.violations)
        BOOST_TEST_ERROR(it);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Waves)

// Guards the whole course of a wave over two pools.
BOOST_AUTO_TEST_CASE(GoldenSession)
{
    FleetHarness fleet(2);
    declarePools(fleet, 2);
    fleet.order(makeOrder(5));
    BOOST_TEST(runUntil(fleet, WaveState::Finished, 400) >= 0);
    checkEachRebootedOnce(fleet);
    support::checkGolden("wave.txt", fleet.transcript);
}

// Guards against a wave that takes out more instances although failures used up the budget.
BOOST_AUTO_TEST_CASE(PausesForFailuresAndResumes)
{
    FleetHarness fleet(2);
    declarePools(fleet, 1);
    fleet.order(makeOrder(5));
    fleet.steps(3);
    BOOST_REQUIRE(!fleet.wave("kernel").active.empty());
    BOOST_REQUIRE(runUntil(fleet, WaveState::Running, 1) >= 0);
    fleet.steps(20);
    fleet.platform["z3-r6-f"] = PlatformState::Terminated;
    fleet.platform["z3-r6-l"] = PlatformState::Terminated;
    for (int n = 0; n < 40 && fleet.wave("kernel").state != WaveState::Paused; ++n)
        fleet.step();
    fleet.steps(30);
    auto paused = fleet.wave("kernel");
    BOOST_TEST(toText(paused.state) == "paused");
    BOOST_TEST(paused.active.empty());
    BOOST_TEST(paused.reason.find("1 of them failed") != std::string::npos, paused.reason);
    BOOST_TEST(!paused.remedy.empty());
    const auto rebooted = fleet.reboots.size();
    fleet.steps(20);
    BOOST_TEST(fleet.reboots.size() == rebooted);
    fleet.platform["z3-r6-f"] = PlatformState::Live;
    fleet.platform["z3-r6-l"] = PlatformState::Live;
    BOOST_TEST(runUntil(fleet, WaveState::Finished, 600) >= 0);
    checkEachRebootedOnce(fleet);
}

// Guards against a wave that starts again, or reboots twice, after its coordinator was stopped.
BOOST_AUTO_TEST_CASE(AnotherProcessContinuesAWave)
{
    for (int stopAfter = 1; stopAfter < 14; ++stopAfter) {
        FleetHarness fleet(3);
        declarePools(fleet, 2);
        fleet.order(makeOrder(5));
        fleet.steps(stopAfter);
        for (const char *const name : {"e1", "e2", "e3"}) {
            fleet.paused = {name};
            fleet.steps(3 * FleetHarness::leaseSeconds * 1000 / FleetHarness::stepMs);
        }
        fleet.paused.clear();
        BOOST_TEST(runUntil(fleet, WaveState::Finished, 600) >= 0);
        checkEachRebootedOnce(fleet);
    }
}

// Guards against a wave that loses its progress while the store is down or loses answers.
BOOST_AUTO_TEST_CASE(FinishesAfterOutageAndLostAnswers)
{
    FleetHarness fleet(2);
    declarePools(fleet, 2);
    fleet.order(makeOrder(5));
    for (int n = 0; n < 12; ++n) {
        StoreFaults faults;
        faults.loseAnswers = n % 5;
        fleet.store.setFaults(faults);
        fleet.step();
    }
    StoreFaults faults;
    faults.down = true;
    fleet.store.setFaults(faults);
    fleet.steps(600'000 / FleetHarness::stepMs);
    fleet.store.setFaults({});
    BOOST_TEST(runUntil(fleet, WaveState::Finished, 600) >= 0);
    checkEachRebootedOnce(fleet);
}

// Guards against a cancelled order that leaves an instance drained, or goes on admitting.
BOOST_AUTO_TEST_CASE(CancelReturnsDrainedInstances)
{
    FleetHarness fleet(1);
    declarePools(fleet, 2);
    fleet.silentEntries = {"e1"};
    fleet.order(makeOrder(5));
    fleet.steps(4);
    BOOST_REQUIRE(!fleet.settled());
    fleet.order(makeOrder(6, MaintenanceState::Cancelled));
    BOOST_TEST(fleet.runUntilConverged(40) >= 0);
    BOOST_TEST(fleet.reboots.empty());
    BOOST_TEST(toText(fleet.wave("kernel").state) == "cancelled");
}

// Guards against an operator's pause that loses the instances already done.
BOOST_AUTO_TEST_CASE(OperatorPauseKeepsProgress)
{
    FleetHarness fleet(1);
    declarePools(fleet, 2);
    fleet.order(makeOrder(5));
    fleet.steps(25);
    fleet.order(makeOrder(6, MaintenanceState::Paused));
    BOOST_REQUIRE(fleet.runUntilConverged(60) >= 0);
    const auto done = fleet.wave("kernel").done;
    BOOST_TEST(done > 0);
    BOOST_TEST(done < 12);
    fleet.order(makeOrder(7));
    BOOST_TEST(runUntil(fleet, WaveState::Finished, 400) >= 0);
    checkEachRebootedOnce(fleet);
}

// Guards against a rack failure that breaks a budget because a wave left no room for it.
BOOST_AUTO_TEST_CASE(LeavesRoomForTheFailureOfOneRack)
{
    FleetHarness fleet(1);
    declarePools(fleet, 2);
    fleet.order(makeOrder(5));
    for (int n = 0; n < 60; ++n) {
        fleet.step();
        const auto now = fleet.inputs();
        const PoolCapacity capacity(now.configuration, now.records);
        BOOST_TEST(capacity.unavailable("intake") <= 1);
        BOOST_TEST(capacity.unavailable("depots") <= 1);
    }
}

// Guards against an instance that two orders reboot at once beyond its pool's budget.
BOOST_AUTO_TEST_CASE(TwoOrdersShareOneBudget)
{
    FleetHarness fleet(2);
    declarePools(fleet, 1);
    fleet.order(makeOrder(5));
    auto second = makeOrder(5);
    second.name = "firmware";
    second.pools = {"intake"};
    fleet.order(second);
    BOOST_TEST(runUntil(fleet, WaveState::Finished, 800) >= 0);
    for (int n = 0; n < 400 && fleet.wave("firmware").state != WaveState::Finished; ++n)
        fleet.step();
    BOOST_TEST(toText(fleet.wave("firmware").state) == "finished");
    BOOST_TEST(fleet.reboots.at("z1-r1-a") == 2);
    BOOST_TEST(fleet.reboots.at("z1-r1-g") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Buffer)

// Guards against a pool that stays below its budget while spare instances are idle.
BOOST_AUTO_TEST_CASE(LendsForFailuresBeyondTheBudgetAndTakesBack)
{
    FleetHarness fleet(2);
    declarePools(fleet, 1);
    for (const char *const it : {"z1-r1-a", "z1-r2-b"})
        fleet.platform[it] = PlatformState::Terminated;
    fleet.steps(20);
    auto now = fleet.inputs();
    BOOST_TEST(PoolCapacity(now.configuration, now.records).headroom("intake") == 0);
    BOOST_TEST(now.records.at("z1-r7-m").pool == "intake");
    BOOST_TEST(now.records.at("z2-r7-n").pool == "spare");
    fleet.platform["z1-r2-b"] = PlatformState::Live;
    fleet.steps(20);
    now = fleet.inputs();
    BOOST_TEST(now.records.at("z1-r7-m").pool == "spare");
    BOOST_TEST(PoolCapacity(now.configuration, now.records).headroom("intake") == 0);
    for (const auto &it : fleet.violations)
        BOOST_TEST_ERROR(it);
}

// Guards against a buffer that adds up the bursts of all pools, or ignores the worst failure.
BOOST_AUTO_TEST_CASE(SharedSizeIsWorstFailurePlusOneBurst)
{
    FleetHarness fleet(1);
    declarePools(fleet, 1);
    auto configuration = fleet.inputs().configuration;
    for (const char *const it : {"intake", "depots"}) {
        Service service;
        service.name = it;
        service.pool = it;
        service.meanRatePerSecond = 128;
        configuration.services[it] = service;
    }
    // 128/s * 5 * 0.1 s = 64 slots = 8 instances, two more than the pool has. A zone holds two
    // instances of each pool, one more than each budget: 2 in all.
    const auto status = SharedBuffer(configuration).status(fleet.inputs().records);
    BOOST_TEST(status.requiredInstances == 4);
    BOOST_TEST(status.baselineInstances == 6);
    BOOST_TEST(status.idleInstances == 2);
}

BOOST_AUTO_TEST_SUITE_END()
