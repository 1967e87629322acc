#include "dragonflysill/node/loadmonitor.h"

#include <boost/test/unit_test.hpp>

namespace dragonflysill {
namespace {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(Load)

BOOST_AUTO_TEST_CASE(ReportsTheLongestLoopDelayOfEachInterval)
{
    LoadMonitor monitor(50ms, 1s);
    const TimePoint start{10s};
    BOOST_TEST(!monitor.timerRan(start, 0ms).has_value());
    BOOST_TEST(!monitor.timerRan(start + 50ms, 5ms).has_value());
    BOOST_TEST(!monitor.timerRan(start + 400ms, 10ms).has_value());
    const auto report = monitor.timerRan(start + 1000ms, 120ms);
    BOOST_REQUIRE(report.has_value());
    BOOST_TEST((report->maxLoopDelay == 550ms));
    BOOST_TEST((report->period == 1000ms));
    BOOST_TEST((report->processorTime == 120ms));
    const auto next = monitor.timerRan(start + 2000ms, 150ms);
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST((next->maxLoopDelay == 950ms));
    BOOST_TEST((next->processorTime == 30ms));
}

BOOST_AUTO_TEST_CASE(EarlyTimersCountAsPunctual)
{
    LoadMonitor monitor(50ms, 100ms);
    monitor.timerRan(TimePoint{1s}, 0ms);
    monitor.timerRan(TimePoint{1040ms}, 0ms);
    const auto report = monitor.timerRan(TimePoint{1100ms}, 0ms);
    BOOST_REQUIRE(report.has_value());
    BOOST_TEST((report->maxLoopDelay == 10ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace dragonflysill
