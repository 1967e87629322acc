#include "dragonflysill/jobs/holdschedule.h"

#include <boost/test/unit_test.hpp>

namespace dragonflysill::test {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint start{100s};

std::vector<std::string> names(const std::vector<HoldSchedule::DueHold> &due)
{
    std::vector<std::string> result;
    result.reserve(due.size());
    for (const auto &it : due)
        result.push_back(it.worker);
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Holds)

BOOST_AUTO_TEST_CASE(MostOverdueWorkerComesFirst)
{
    HoldSchedule schedule;
    for (const auto *it : {"a", "b", "c"})
        schedule.add(it, start);
    schedule.takeDue(start);
    schedule.answered("a", start + 30ms);
    schedule.answered("b", start + 10ms);
    schedule.answered("c", start + 50ms);
    const std::vector<std::string> expected{"b", "a"};
    const auto due = names(schedule.takeDue(start + 40ms));
    BOOST_TEST(due == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(WorkerHasAtMostOneRequestInFlight)
{
    HoldSchedule schedule;
    schedule.add("a", start);
    BOOST_TEST(schedule.takeDue(start).size() == 1U);
    schedule.add("a", start);
    schedule.bringForward("a", start);
    BOOST_TEST(schedule.takeDue(start + 10s).empty());
    schedule.answered("a", start + 11s);
    schedule.bringForward("a", start + 10s);
    schedule.bringForward("a", start + 12s);
    BOOST_TEST(schedule.takeDue(start + 10s).size() == 1U);
}

BOOST_AUTO_TEST_CASE(RemovedWorkerIsNotDueUntilAddedAgain)
{
    HoldSchedule schedule;
    schedule.add("a", start);
    schedule.remove("a");
    schedule.answered("a", start);
    BOOST_TEST(schedule.takeDue(start + 1s).empty());
    schedule.add("a", start + 1s);
    BOOST_TEST(schedule.takeDue(start + 1s).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace dragonflysill::test
