#include "dragonflysill/jobs/loadgovernor.h"

#include <boost/test/unit_test.hpp>

namespace dragonflysill::test {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint start{100s};

/** Records the same loop delay each 50 ms for a time; returns the time after it. */
TimePoint record(LoadGovernor &governor, TimePoint from, Duration time, Duration delay)
{
    for (; time > Duration{0}; time -= 50ms, from += 50ms)
        governor.recordLoopDelay(delay, from);
    return from;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Governor)

BOOST_AUTO_TEST_CASE(PunctualNodeStretchesNothing)
{
    LoadGovernor governor;
    record(governor, start, 10s, 2ms);
    BOOST_TEST(governor.stretch() == 1);
    BOOST_TEST((governor.stretched(25ms, 400ms) == 25ms));
}

BOOST_AUTO_TEST_CASE(SingleLateEventsStretchNothing)
{
    LoadGovernor governor;
    for (int n = 0; n < 200; ++n)
        governor.recordLoopDelay(n % 4 == 0 ? 2ms : 80ms, start + n * 50ms);
    BOOST_TEST(governor.stretch() == 1);
}

BOOST_AUTO_TEST_CASE(LateLoopStretchesUpToTheLongestIntervalAndRecovers)
{
    LoadGovernor governor;
    const auto now = record(governor, start, 5s, 60ms);
    BOOST_TEST((governor.stretched(25ms, 300ms) == 300ms));
    record(governor, now, 5s, 2ms);
    BOOST_TEST(governor.stretch() == 1);
}

// A full link delays the answers of all workers while the loop is punctual.
BOOST_AUTO_TEST_CASE(SlowAnswersOfAllWorkersStretchToo)
{
    LoadGovernor governor;
    for (int n = 0; n < 100; ++n) {
        governor.recordLoopDelay(1ms, start + n * 50ms);
        governor.recordResponseTime(200ms, start + n * 50ms);
    }
    BOOST_TEST(governor.stretch() > 10);
}

BOOST_AUTO_TEST_CASE(SlowAnswersOfOneWorkerStretchNothing)
{
    LoadGovernor governor;
    for (int n = 0; n < 100; ++n) {
        governor.recordLoopDelay(1ms, start + n * 50ms);
        governor.recordResponseTime(n % 2 == 0 ? 400ms : 2ms, start + n * 50ms);
    }
    BOOST_TEST(governor.stretch() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace dragonflysill::test
