#include "dragonflysill/machines/fleetpassscheduler.h"

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

FleetPassScheduler idleGate(const PassTrigger &trigger)
{
    FleetPassScheduler gate;
    gate.recordPass(trigger, {}, now);
    return gate;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PassGating)

// Guards against a process that starts and never runs its first pass.
BOOST_AUTO_TEST_CASE(FirstPassIsNeeded)
{
    BOOST_TEST(FleetPassScheduler().isPassNeeded({}, now));
}

// Guards against idle passes that use a tenth of a core at 21,000 records.
BOOST_AUTO_TEST_CASE(NothingChangedNeedsNoPassWithinTheInterval)
{
    const FleetPassScheduler gate = idleGate({7, {}, {}});
    BOOST_TEST(!gate.isPassNeeded({7, {}, {}}, now + FleetPassScheduler::idleInterval.count() - 1));
    BOOST_TEST(gate.isPassNeeded({7, {}, {}}, now + FleetPassScheduler::idleInterval.count()));
}

// Guards against a change that waits for the idle interval.
BOOST_AUTO_TEST_CASE(EachInputAloneTriggersAPass)
{
    const FleetPassScheduler gate = idleGate({7, acknowledged(1), {{"a", PlatformState::Live}}});
    BOOST_TEST(!gate.isPassNeeded({7, acknowledged(1), {{"a", PlatformState::Live}}}, now));
    BOOST_TEST(gate.isPassNeeded({8, acknowledged(1), {{"a", PlatformState::Live}}}, now));
    BOOST_TEST(gate.isPassNeeded({7, acknowledged(2), {{"a", PlatformState::Live}}}, now));
    BOOST_TEST(gate.isPassNeeded({7, acknowledged(1), {{"a", PlatformState::Terminated}}}, now));
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
        FleetPassScheduler gate;
        gate.recordPass({}, *it, now);
        BOOST_TEST(gate.isPassNeeded({}, now + 1));
    }
    FleetReport finished;
    finished.status.waves.emplace_back().state = WaveState::Finished;
    finished.status.jobs.emplace_back().state = JobState::Impossible;
    FleetPassScheduler gate;
    gate.recordPass({}, finished, now);
    BOOST_TEST(!gate.isPassNeeded({}, now + 1));
}

BOOST_AUTO_TEST_SUITE_END()
