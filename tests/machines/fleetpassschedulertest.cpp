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

FleetPassScheduler idleScheduler(const PassTrigger &trigger)
{
    FleetPassScheduler scheduler;
    scheduler.recordPass(trigger, {}, now);
    return scheduler;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FleetPassScheduling)

// Guards against a process that never runs its first pass.
BOOST_AUTO_TEST_CASE(FirstPassIsNeeded)
{
    BOOST_TEST(FleetPassScheduler().isPassNeeded({}, now));
}

// Guards against idle passes, which would use a tenth of a core at 21,000 records.
BOOST_AUTO_TEST_CASE(NothingChangedNeedsNoPassWithinTheInterval)
{
    const FleetPassScheduler scheduler = idleScheduler({7, {}, {}});
    BOOST_TEST(!scheduler.isPassNeeded({7, {}, {}},
                                       now + FleetPassScheduler::idleInterval.count() - 1));
    BOOST_TEST(scheduler.isPassNeeded({7, {}, {}}, now + FleetPassScheduler::idleInterval.count()));
}

// Guards against a changed input that is processed only after the idle interval.
BOOST_AUTO_TEST_CASE(EachInputAloneTriggersAPass)
{
    const FleetPassScheduler scheduler
            = idleScheduler({7, acknowledged(1), {{"a", PlatformState::Live}}});
    BOOST_TEST(!scheduler.isPassNeeded({7, acknowledged(1), {{"a", PlatformState::Live}}}, now));
    BOOST_TEST(scheduler.isPassNeeded({8, acknowledged(1), {{"a", PlatformState::Live}}}, now));
    BOOST_TEST(scheduler.isPassNeeded({7, acknowledged(2), {{"a", PlatformState::Live}}}, now));
    BOOST_TEST(
            scheduler.isPassNeeded({7, acknowledged(1), {{"a", PlatformState::Terminated}}}, now));
}

// Guards against a warm-up, a wave, a waiting job or a failed write that is not continued before
// the idle interval.
BOOST_AUTO_TEST_CASE(UnfinishedWorkNeedsTheNextPass)
{
    FleetReport withMove;
    withMove.status.moves.emplace_back();
    FleetReport withWave;
    withWave.status.waves.emplace_back();
    FleetReport withWaitingJob;
    withWaitingJob.status.jobs.emplace_back();
    FleetReport withWrites;
    withWrites.writes = 1;
    FleetReport failed;
    failed.error = Error(ErrorKind::StoreUnavailable);
    for (const FleetReport *it : {&withMove, &withWave, &withWaitingJob, &withWrites, &failed}) {
        FleetPassScheduler scheduler;
        scheduler.recordPass({}, *it, now);
        BOOST_TEST(scheduler.isPassNeeded({}, now + 1));
    }
    FleetReport finished;
    finished.status.waves.emplace_back().state = WaveState::Finished;
    finished.status.jobs.emplace_back().state = JobState::Impossible;
    FleetPassScheduler scheduler;
    scheduler.recordPass({}, finished, now);
    BOOST_TEST(!scheduler.isPassNeeded({}, now + 1));
}

BOOST_AUTO_TEST_SUITE_END()
