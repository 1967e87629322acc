#include "../../programs/fleet-standin/faultseries.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

using namespace dragonflysill;
using namespace std::chrono_literals;

namespace {

/** Captures what is printed during its life. */
class PrintedLines
{
public:
    ~PrintedLines() { std::cout.rdbuf(m_previous); }
    PrintedLines() = default;
    PrintedLines(const PrintedLines &) = delete;
    PrintedLines &operator=(const PrintedLines &) = delete;

    /** Returns the texts of the events without their times. */
    [[nodiscard]] std::vector<std::string> events() const
    {
        std::vector<std::string> events;
        std::istringstream lines(m_text.str());
        for (std::string line; std::getline(lines, line);)
            events.push_back(line.substr(line.find(": ") + 2));
        return events;
    }

private:
    std::ostringstream m_text;
    std::streambuf *m_previous = std::cout.rdbuf(m_text.rdbuf());
};

/** A fleet that is not started, so that its faults need no ports. */
struct SeriesFixture
{
    EventLoop loop;
    platform::FleetStandin fleet{loop, platform::FleetShape()};
    FaultLinks links{loop, "127.0.0.1", 1};
    DayLog log;

    /** Returns the events of the first @p n faults of a seed. */
    std::vector<std::string> cause(std::uint64_t seed, int n)
    {
        const PrintedLines printed;
        FaultSeries series(loop, fleet, links, log, seed);
        while (n-- > 0)
            series.cause();
        return printed.events();
    }

    /** Returns how many of the events begin with a text. */
    static long count(const std::vector<std::string> &events, const std::string &text)
    {
        return std::ranges::count_if(
                events, [&text](const std::string &it) { return it.starts_with(text); });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Series, SeriesFixture)

BOOST_AUTO_TEST_CASE(SeedDecidesTheFaults)
{
    const auto events = cause(5, 100);
    BOOST_TEST(events == cause(5, 100), boost::test_tools::per_element());
    BOOST_TEST((events != cause(6, 100)));
}

// Guards against a kind of fault that no seed plays.
BOOST_AUTO_TEST_CASE(EachSeedPlaysTasksThatCrashTheirWorkersAndLessCapacity)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        const auto events = cause(seed, 25);
        BOOST_TEST(count(events, "tasks of new jobs crash their workers") > 0);
        BOOST_TEST(count(events, "less capacity of some backend servers") > 0);
    }
}

BOOST_AUTO_TEST_CASE(SeriesPlaysWorkersThatCrashRepeatedly)
{
    BOOST_TEST(count(cause(1, 100), "some backend servers crash repeatedly for 5000 ms") > 0);
}

// Guards against restarts that change what a seed plays without them.
BOOST_AUTO_TEST_CASE(RestartsLeaveTheOtherFaultsOfASeedAsTheyAre)
{
    const auto without = cause(5, 100);
    const PrintedLines printed;
    FaultSeries series(loop, fleet, links, log, 5);
    for (int n = 0; n < 100; ++n) {
        if (n % 10 == 0)
            series.restartWorkers();
        series.cause();
    }
    auto events = printed.events();
    BOOST_TEST(std::erase(events, "0 backend servers restart") == 10U);
    BOOST_TEST(events == without, boost::test_tools::per_element());
}

// Guards against an owner that outlives the restarts, and so against a series without a successor.
BOOST_AUTO_TEST_CASE(RestartsAreFollowedByTheEndOfTheOwner)
{
    fleet.store().put("dragonflysill/owner", "node-4");
    FaultSeries series(loop, fleet, links, log, 1);
    const PrintedLines printed;
    series.restartWorkers();
    loop.context().run_for(1700ms);
    BOOST_TEST(count(printed.events(), "node-4") == 0);
    loop.context().run_for(700ms);
    BOOST_TEST(count(printed.events(), "node-4") == 1);
}

BOOST_AUTO_TEST_CASE(SomeJobsOfTheFaultHaveATaskThatCrashesItsWorkers)
{
    FaultSeries series(loop, fleet, links, log, 1);
    const PrintedLines printed;
    while (count(printed.events(), "tasks of new jobs crash their workers") == 0)
        series.cause();
    int crashing = 0;
    for (int n = 1000; n < 1200; ++n) {
        const auto job = std::to_string(n);
        fleet.jobSubmitted(job);
        for (const char *suffix : {".0.0.0", ".0.0.1", ".0.1.0"})
            crashing += static_cast<int>(fleet.crashesWorkers(job + suffix));
    }
    BOOST_TEST(crashing > 0);
    BOOST_TEST(crashing < 20);
}

BOOST_AUTO_TEST_SUITE_END()
