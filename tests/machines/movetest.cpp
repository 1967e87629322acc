#include "fleetharness.h"

#include "support/goldenfile.h"

#include <boost/test/unit_test.hpp>

using namespace dragonflysill;
using dragonflysill::support::FleetHarness;

namespace {

void checkNoViolation(const FleetHarness &fleet)
{
    for (const auto &it : fleet.violations)
        BOOST_TEST_ERROR(it);
}

/** Two settled pools; then a ticket moves two instances from one to the other. */
void startMove(FleetHarness &fleet)
{
    fleet.declare("intake", {"z1-r1-a", "z2-r2-b", "z1-r1-c", "z2-r2-d"}, 1);
    fleet.declare("spare", {"z1-r3-e"}, 0);
    BOOST_REQUIRE(fleet.runUntilConverged(20) >= 0);
    fleet.declare("intake", {"z1-r1-a", "z2-r2-b"}, 1);
    fleet.declare("spare", {"z1-r3-e", "z1-r1-c", "z2-r2-d"}, 0);
}

void checkMovedOnce(const FleetHarness &fleet)
{
    BOOST_TEST(fleet.poolChanges.size() == 2U);
    for (const auto &it : fleet.poolChanges)
        BOOST_TEST(it.second == 1, it.first << " changed its pool " << it.second << " times");
    checkNoViolation(fleet);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Moves)

// Guards the whole course of a move, with one control process stopped for three times its lease.
BOOST_AUTO_TEST_CASE(GoldenSessionWithAPausedOwner)
{
    FleetHarness fleet(3);
    startMove(fleet);
    fleet.step();
    fleet.paused = {"e1", "e3"};
    fleet.steps(3 * FleetHarness::leaseSeconds * 1000 / FleetHarness::stepMs);
    fleet.paused.clear();
    BOOST_TEST(fleet.runUntilConverged(40) >= 0);
    checkMovedOnce(fleet);
    support::checkGolden("moves.txt", fleet.transcript);
}

// Guards against two owners that each finish a half of the same move after both were stopped.
BOOST_AUTO_TEST_CASE(AllProcessesPausedAtOnce)
{
    FleetHarness fleet(2);
    startMove(fleet);
    fleet.step();
    fleet.nowMs += 3 * FleetHarness::leaseSeconds * 1000;
    BOOST_TEST(fleet.runUntilConverged(40) >= 0);
    checkMovedOnce(fleet);
}

// Guards against writes from a view that was read before the pause: the fence must refuse them.
BOOST_AUTO_TEST_CASE(OldInputsAfterAPauseWriteNothing)
{
    FleetHarness fleet(2);
    startMove(fleet);
    const auto old = fleet.inputs();
    BOOST_REQUIRE(fleet.runUntilConverged(40) >= 0);
    const auto before = fleet.transcript;
    fleet.step(&old);
    BOOST_TEST(fleet.transcript == before);
    checkMovedOnce(fleet);
}

// Guards against a reassignment while an entry may still send the old pool's requests.
BOOST_AUTO_TEST_CASE(WaitsForEveryAcknowledgementAndReportsIt)
{
    FleetHarness fleet(2);
    fleet.silentEntries = {"e2"};
    startMove(fleet);
    fleet.steps(100);
    BOOST_TEST(fleet.poolChanges.empty());
    std::size_t reported = 0;
    for (int n = 0; n < 2; ++n) {
        for (const auto &it : fleet.report(n).status.moves) {
            BOOST_TEST(it.waitingFor == std::vector<std::string>{"e2"},
                       boost::test_tools::per_element());
            BOOST_TEST(!it.remedy.empty());
            ++reported;
        }
    }
    BOOST_TEST(reported == 2U);
    fleet.platform["e2"] = PlatformState::Leaving;
    fleet.steps(4);
    BOOST_TEST(fleet.poolChanges.empty(), "a leaving entry instance may still send requests");
    fleet.platform["e2"] = PlatformState::Terminated;
    BOOST_TEST(fleet.runUntilConverged(40) >= 0);
    BOOST_TEST(fleet.store.range({"/dragonflysill/entries/e2", {}})->keyValues.empty());
    checkMovedOnce(fleet);
}

// Guards against an acknowledgement of an earlier drain that is counted for a later one.
BOOST_AUTO_TEST_CASE(CancelledMoveRaisesTheEpoch)
{
    FleetHarness fleet(1);
    fleet.silentEntries = {"e1"};
    startMove(fleet);
    fleet.steps(2);
    const auto epoch = fleet.inputs().records.at("z1-r1-c").epoch;
    BOOST_REQUIRE(toText(fleet.inputs().records.at("z1-r1-c").phase)
                  == toText(InstancePhase::Leaving));
    fleet.declare("spare", {"z1-r3-e"}, 0);
    fleet.declare("intake", {"z1-r1-a", "z2-r2-b", "z1-r1-c", "z2-r2-d"}, 1);
    BOOST_TEST(fleet.runUntilConverged(40) >= 0);
    BOOST_TEST(fleet.inputs().records.at("z1-r1-c").epoch == epoch + 1);
    BOOST_TEST(fleet.poolChanges.empty());
}

// Guards against a swap between two pools that takes out more instances than a budget allows.
BOOST_AUTO_TEST_CASE(SwapStaysWithinTheBudget)
{
    FleetHarness fleet(1);
    fleet.declare("a", {"z1-r1-a", "z1-r1-b", "z1-r1-c", "z1-r1-d"}, 1);
    fleet.declare("b", {"z2-r2-e", "z2-r2-f", "z2-r2-g", "z2-r2-h"}, 1);
    BOOST_REQUIRE(fleet.runUntilConverged(20) >= 0);
    fleet.declare("a", {"z2-r2-e", "z2-r2-f", "z2-r2-g", "z2-r2-h"}, 1);
    fleet.declare("b", {"z1-r1-a", "z1-r1-b", "z1-r1-c", "z1-r1-d"}, 1);
    for (int n = 0; n < 100 && !fleet.settled(); ++n) {
        fleet.step();
        const auto now = fleet.inputs();
        const PoolCapacity capacity(now.configuration, now.records);
        BOOST_TEST(capacity.headroom("a") >= 0);
        BOOST_TEST(capacity.headroom("b") >= 0);
    }
    BOOST_TEST(fleet.settled());
    checkNoViolation(fleet);
}

// Guards against a record that outlives its declaration, and against its deletion without a drain.
BOOST_AUTO_TEST_CASE(RemovedInstanceIsDrainedAndDeleted)
{
    FleetHarness fleet(2);
    fleet.declare("intake", {"z1-r1-a", "z2-r2-b"}, 0);
    BOOST_REQUIRE(fleet.runUntilConverged(20) >= 0);
    fleet.declare("intake", {"z1-r1-a"}, 0);
    BOOST_TEST(fleet.runUntilConverged(20) >= 0);
    BOOST_TEST(fleet.inputs().records.size() == 1U);
    checkNoViolation(fleet);
}

// Guards against an epoch that starts again at a value that an earlier record already had.
BOOST_AUTO_TEST_CASE(RecreatedRecordHasAHigherEpoch)
{
    FleetHarness fleet(1);
    fleet.declare("intake", {"z1-r1-a"}, 1);
    BOOST_REQUIRE(fleet.runUntilConverged(20) >= 0);
    const auto epoch = fleet.inputs().records.at("z1-r1-a").epoch;
    fleet.declare("intake", {}, 1);
    BOOST_REQUIRE(fleet.runUntilConverged(20) >= 0);
    fleet.declare("intake", {"z1-r1-a"}, 1);
    BOOST_REQUIRE(fleet.runUntilConverged(20) >= 0);
    BOOST_TEST(fleet.inputs().records.at("z1-r1-a").epoch > epoch);
}

// Guards against a lost answer that is taken for a failure and done again, or for a success.
BOOST_AUTO_TEST_CASE(LostAnswersNeitherRepeatNorSkipAStep)
{
    for (int lost = 1; lost < 12; ++lost) {
        for (const bool executed : {true, false}) {
            FleetHarness fleet(2);
            startMove(fleet);
            for (int n = 0; n < 6; ++n) {
                StoreFaults faults;
                (executed ? faults.loseAnswers : faults.loseRequests) = lost;
                fleet.store.setFaults(faults);
                fleet.step();
            }
            fleet.store.setFaults({});
            BOOST_TEST(fleet.runUntilConverged(80) >= 0);
            checkMovedOnce(fleet);
        }
    }
}

// Guards against a move that is undone or done twice after the store was down for ten minutes.
BOOST_AUTO_TEST_CASE(MovesCompleteAfterALongOutage)
{
    for (int passes = 0; passes < 5; ++passes) {
        FleetHarness fleet(3);
        startMove(fleet);
        fleet.steps(passes);
        StoreFaults faults;
        faults.down = true;
        fleet.store.setFaults(faults);
        const auto before = fleet.transcript;
        fleet.steps(600'000 / FleetHarness::stepMs);
        BOOST_TEST(fleet.transcript == before);
        fleet.store.setFaults({});
        BOOST_TEST(fleet.runUntilConverged(60) >= 0);
        checkMovedOnce(fleet);
    }
}

// Guards against a decision that counts from a view older than the process's own last write.
BOOST_AUTO_TEST_CASE(LaggingViewDoesNotOverdrawTheBudget)
{
    FleetHarness fleet(1);
    fleet.declare("a", {"z1-r1-a", "z1-r1-b", "z1-r1-c"}, 1);
    BOOST_REQUIRE(fleet.runUntilConverged(20) >= 0);
    fleet.declare("a", {"z1-r1-a", "z1-r1-b", "z1-r1-c"}, 1);
    auto lagging = fleet.inputs();
    lagging.platform["z1-r1-a"] = PlatformState::Terminated;
    fleet.step(&lagging);
    BOOST_REQUIRE(toText(fleet.inputs().records.at("z1-r1-a").phase)
                  == toText(InstancePhase::Failed));
    lagging.platform.clear();
    lagging.configuration.pools["b"].name = "b";
    auto &pools = lagging.configuration.pools;
    pools["b"].instances.push_back(pools["a"].instances[1]);
    pools["a"].instances.erase(pools["a"].instances.begin() + 1);
    pools["a"].instances.push_back({"z1-r1-x", "10.0.0.9:1", "z1", "z1-r1"});
    fleet.step(&lagging);
    BOOST_TEST(toText(fleet.inputs().records.at("z1-r1-b").phase)
               == toText(InstancePhase::Serving));
}

BOOST_AUTO_TEST_SUITE_END()
