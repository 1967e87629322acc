#include "dragonflysill/machines/fleetstatus.h"

#include <boost/test/unit_test.hpp>

using namespace dragonflysill;

namespace {

FleetStatus sample()
{
    FleetStatus status;
    status.revision = 7;
    status.atMs = 1000;
    status.movesFinished = 3;
    status.moves = {{"i1", "a", "b", InstancePhase::Leaving, 2, 5, 900, {"e1"}, "waits", "wait"}};
    status.waves = {{"w1", 6, WaveState::Paused, 10, 4, {"i2"}, 800, "budget", "wait"}};
    status.jobs = {{"j1", "t1", 7, JobState::Impossible, 8, 1, 0, "too large", "shrink it"}};
    status.buffer = {8, 6, 15};
    return status;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FleetStatusCodec)

// Guards against a field that is lost in encoding or decoding.
BOOST_AUTO_TEST_CASE(RoundTrips)
{
    const auto decoded = decodeFleetStatus(encodeFleetStatus(sample()));
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST((*decoded == sample()));
}

// Guards against accepting an invalid status from another control process.
BOOST_AUTO_TEST_CASE(RefusesGarbage)
{
    for (const char *text : {"", "[]", "{}", R"({"revision":"x"})"})
        BOOST_TEST(decodeFleetStatus(text).error().is(ErrorKind::Corrupt));
}

// Guards against duplicate or outdated elements when two processes report the same move while its
// pool changes its owner.
BOOST_AUTO_TEST_CASE(MergeKeepsTheLaterStateOfAnElement)
{
    FleetStatus merged = sample();
    FleetStatus other = sample();
    other.moves[0].sinceMs = 950;
    other.moves[0].phase = InstancePhase::Warming;
    other.waves[0].sinceMs = 700;
    other.waves[0].done = 3;
    other.jobs.push_back({"a0", "t1", 7, JobState::Running, 1, 1, 0, "", ""});
    other.buffer = {};
    mergeFleetStatus(merged, other);
    BOOST_REQUIRE(merged.moves.size() == 1U);
    BOOST_TEST((merged.moves[0].phase == InstancePhase::Warming));
    BOOST_TEST(merged.waves[0].done == 4);
    BOOST_REQUIRE(merged.jobs.size() == 2U);
    BOOST_TEST(merged.jobs[0].name == "a0");
    BOOST_TEST(merged.movesFinished == 6);
    BOOST_TEST((merged.buffer == sample().buffer));
}

BOOST_AUTO_TEST_SUITE_END()
