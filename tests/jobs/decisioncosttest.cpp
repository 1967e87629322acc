#include "schedulerharness.h"

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <string>

namespace dragonflysill::test {
namespace {

constexpr int workerCount = 80;
constexpr int coresPerWorker = 10;
constexpr int tasksPerJob = 8;
/** Jobs that fill all workers. */
constexpr int jobsInService = workerCount * coresPerWorker / tasksPerJob;
/** Part by which the work of a decision may grow over a tenfold backlog. */
constexpr double allowedGrowth = 1.1;

std::string jobName(int n)
{
    std::string id(16, '0');
    std::snprintf(id.data(), id.size() + 1, "%016x", static_cast<unsigned>(n));
    return id;
}

/** A pool whose workers are full while further jobs wait. */
struct FullPool : SchedulerHarness
{
    explicit FullPool(int waitingJobs)
    {
        for (int n = 0; n < workerCount; ++n)
            addWorker("worker-" + std::to_string(n), coresPerWorker);
        for (int n = 0; n < jobsInService + waitingJobs; ++n)
            addJob(job(jobName(n), {step(tasksPerJob)}));
        decide();
        reportAll();
        decide();
    }

    /** Returns the work of the decisions after the ends of @p ends runs. */
    DecisionWork workOfEnds(int ends)
    {
        const auto before = scheduler.work();
        for (int n = 0; n < ends; ++n) {
            advanceTime(5ms);
            end({jobName(n), 0, 0, 0}, RunEnd::Done);
            const auto starts = ordersOf<StartTask>(decideAfterEvent());
            BOOST_TEST(starts.size() == 1U);
        }
        return {scheduler.work().stepsExamined - before.stepsExamined,
                scheduler.work().runsChecked - before.runsChecked};
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(DecisionCost)

// Guards against an owner whose decisions get slower with each job that waits, so that it starts
// less and the backlog grows further.
BOOST_AUTO_TEST_CASE(OfAnEventDoesNotGrowWithTheBacklog)
{
    const auto few = FullPool(100).workOfEnds(50);
    const auto many = FullPool(1000).workOfEnds(50);
    BOOST_TEST(static_cast<double>(many.stepsExamined)
               <= allowedGrowth * static_cast<double>(few.stepsExamined));
}

// Guards against an owner that checks every run of the fleet each time that one of them ends.
BOOST_AUTO_TEST_CASE(OfAnEventDoesNotGrowWithTheRunsOfTheFleet)
{
    constexpr int ends = 50;
    const auto work = FullPool(100).workOfEnds(ends);
    BOOST_TEST(work.runsChecked <= static_cast<std::uint64_t>(ends) * coresPerWorker);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace dragonflysill::test
