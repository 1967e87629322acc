#include "dragonflysill/machines/passgate.h"

#include <boost/test/unit_test.hpp>

using namespace dragonflysill;

namespace {

constexpr std::int64_t now = 100000;

Acknowledgements acknowledged(std::int64_t epoch)
{
    Acknowledgements result;
    result.add("e1", "a", epoch);
    return result;
}

PassGate idleGate(const PassTrigger &trigger)
{
    PassGate gate;
    gate.ran(trigger, {}, now);
    return gate;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PassGating)

// Guards against a process that starts and never runs its first pass.
BOOST_AUTO_TEST_CASE(FirstPassIsNeeded)
{
    BOOST_TEST(PassGate().needed({}, now));
}

// Guards against idle passes that use a tenth of a core at 21,000 records.
BOOST_AUTO_TEST_CASE(NothingChangedNeedsNoPassWithinTheInterval)
{
    const PassGate gate = idleGate({7, {}, {}});
    BOOST_TEST(!gate.needed({7, {}, {}}, now + PassGate::idleInterval.count() - 1));
    BOOST_TEST(gate.needed({7, {}, {}}, now + PassGate::idleInterval.count()));
}

// Guards against a change that waits for the idle interval.
BOOST_AUTO_TEST_CASE(EachInputAloneTriggersAPass)
{
    const PassGate gate = idleGate({7, acknowledged(1), {{"a", PlatformState::Live}}});
    BOOST_TEST(!gate.needed({7, acknowledged(1), {{"a", PlatformState::Live}}}, now));
    BOOST_TEST(gate.needed({8, acknowledged(1), {{"a", PlatformState::Live}}}, now));
    BOOST_TEST(gate.needed({7, acknowledged(2), {{"a", PlatformState::Live}}}, now));
    BOOST_TEST(gate.needed({7, acknowledged(1), {{"a", PlatformState::Terminated}}}, now));
}

// Guards against a warm-up, wave, waiting job or failed write that is not continued.
BOOST_AUTO_TEST_CASE(UnfinishedWorkNeedsTheNextPass)
{
    FleetReport moving;
    moving.status.moves.emplace_back();
    FleetReport waved;
    waved.status.waves.emplace_back();
    FleetReport waiting;
    waiting.status.jobs.emplace_back();
    FleetReport wrote;
    wrote.writes = 1;
    FleetReport failed;
    failed.error = Error(ErrorKind::StoreUnavailable);
    for (const FleetReport *it : {&moving, &waved, &waiting, &wrote, &failed}) {
        PassGate gate;
        gate.ran({}, *it, now);
        BOOST_TEST(gate.needed({}, now + 1));
    }
    FleetReport finished;
    finished.status.waves.emplace_back().state = WaveState::Finished;
    finished.status.jobs.emplace_back().state = JobState::Impossible;
    PassGate gate;
    gate.ran({}, finished, now);
    BOOST_TEST(!gate.needed({}, now + 1));
}

BOOST_AUTO_TEST_SUITE_END()
