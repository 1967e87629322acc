#include "dragonflysill/machines/fencedwriter.h"
#include "dragonflysill/machines/rebootplanner.h"
#include "dragonflysill/standin/memorystore.h"

#include <boost/test/unit_test.hpp>

using namespace dragonflysill;

namespace {

using Outcome = WriteOutcome::Kind;

struct Fixture
{
    Fixture()
        : writer(store, fence)
    {
        Transaction transaction;
        transaction.success.emplace_back(PutOperation{"member", "x", 0});
        fence.set("member", store.commit(transaction)->revision);
    }

    Outcome write(const StoreFaults &faults)
    {
        store.setFaults(faults);
        const auto outcome = writer.write({"key", std::nullopt, "value", 0, {}});
        store.setFaults({});
        return outcome.kind;
    }

    bool present() { return !store.range({"key", {}})->keyValues.empty(); }

    MemoryStore store;
    Fence fence;
    FencedWriter writer;
};

} // namespace

BOOST_AUTO_TEST_SUITE(FencedWrites)

// Guards against reporting a failure when the write took effect but its answer was lost.
BOOST_FIXTURE_TEST_CASE(LostAnswerIsReadBack, Fixture)
{
    StoreFaults faults;
    faults.loseAnswers = 1;
    BOOST_TEST((write(faults) == Outcome::Written));
}

// Guards against reporting a success when the request was lost.
BOOST_FIXTURE_TEST_CASE(LostRequestIsReadBack, Fixture)
{
    StoreFaults faults;
    faults.loseRequests = 1;
    BOOST_TEST((write(faults) == Outcome::Refused));
    BOOST_TEST(!present());
}

// Guards against reporting a definite outcome when the answer is lost and reading back fails too.
BOOST_FIXTURE_TEST_CASE(OutcomeStaysUnknownWithoutAnAnswer, Fixture)
{
    StoreFaults faults;
    faults.loseAnswers = 1;
    faults.corruptAnswers = 1;
    BOOST_TEST((write(faults) == Outcome::Unknown));
}

// Guards against a write after the registration was replaced while the process was paused.
BOOST_FIXTURE_TEST_CASE(ReplacedRegistrationWritesNothing, Fixture)
{
    Transaction remove;
    remove.success.emplace_back(DeleteOperation{"member", {}});
    (void)store.commit(remove);
    Transaction registerAgain;
    registerAgain.success.emplace_back(PutOperation{"member", "x", 0});
    (void)store.commit(registerAgain);
    BOOST_TEST((write({}) == Outcome::Refused));
    BOOST_TEST(!present());
}

// Guards against overwriting a value that changed since it was read.
BOOST_FIXTURE_TEST_CASE(ChangedValueIsNotOverwritten, Fixture)
{
    BOOST_TEST((write({}) == Outcome::Written));
    const auto outcome = writer.write({"key", "other", "new", 0, {}});
    BOOST_TEST((outcome.kind == Outcome::Refused));
    BOOST_TEST(outcome.modRevision > 0);
    BOOST_TEST(store.range({"key", {}})->keyValues.front().value == "value");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Reboots)

// Guards against a new owner that reboots an instance twice, or never.
BOOST_AUTO_TEST_CASE(NewOwnerWaitsBeforeItsFirstReboot)
{
    FleetInputs inputs;
    inputs.nowMs = 5'000'000;
    InstanceRecord record;
    record.name = "i";
    record.pool = "p";
    record.phase = InstancePhase::Maintenance;
    inputs.records["i"] = record;
    inputs.platform["i"] = PlatformState::Leaving;
    ByName<WaveProgress> waves;
    waves["w"].active["i"] = {0, true};
    RebootPlanner planner;
    BOOST_TEST(planner.decide(inputs, waves, {"p"}).empty());
    inputs.nowMs += RebootPlanner::takeoverWait.count() - 1;
    BOOST_TEST(planner.decide(inputs, waves, {"p"}).empty());
    inputs.nowMs += 1;
    const auto requests = planner.decide(inputs, waves, {"p"});
    BOOST_REQUIRE(requests.size() == 1U);
    BOOST_TEST((requests[0].kind == PlatformRequest::Kind::Reboot));
    inputs.nowMs += 1000;
    BOOST_TEST(planner.decide(inputs, waves, {"p"}).empty());
    planner.requestFailed(requests[0]);
    BOOST_TEST(planner.decide(inputs, waves, {"p"}).size() == 1U);
    BOOST_TEST(RebootPlanner().decide(inputs, waves, {"q"}).empty());
}

BOOST_AUTO_TEST_SUITE_END()
