#include "schedulerharness.h"

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <map>
#include <string>
#include <utility>

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
        startAll();
        reportAll();
        startAll();
    }

    void startAll()
    {
        do {
            decide();
        } while (scheduler.hasMoreStarts());
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

// Guards against free capacity that stays unused in a turn: while hundreds of large steps that fit
// on no worker wait first, the small steps behind them must be found after each event.
BOOST_AUTO_TEST_CASE(OfAnEventDoesNotGrowWithStepsThatAreTooLarge)
{
    constexpr int largeSteps = 500;
    SchedulerHarness harness;
    for (int n = 0; n < workerCount; ++n)
        harness.addWorker("worker-" + std::to_string(n), coresPerWorker);
    for (int n = 0; n < workerCount; ++n) {
        auto filling = step(1);
        filling.need.milliCores = std::int64_t{coresPerWorker - 1} * 1000;
        harness.addJob(job(jobName(n), {filling}));
    }
    do {
        harness.decide();
    } while (harness.scheduler.hasMoreStarts());
    for (int n = 0; n < largeSteps; ++n) {
        auto large = step(1);
        large.need.milliCores = 2000 + n % 8 * 1000;
        harness.addJob(job(jobName(1000 + n), {large}));
    }
    harness.advanceTime(10ms);
    harness.addJob(job(jobName(5000), {step(4)}));
    const auto before = harness.scheduler.work().stepsExamined;
    const auto starts = ordersOf<StartTask>(harness.decideAfterEvent());
    BOOST_REQUIRE(starts.size() == 4U);
    BOOST_TEST(starts[0].task.job == jobName(5000));
    BOOST_TEST(harness.scheduler.work().stepsExamined - before <= 16U);
}

// Guards against decisions that get slower with each job that waits for the ceiling of its team,
// and against jobs of other teams that such jobs hide.
BOOST_AUTO_TEST_CASE(OfAnEventDoesNotGrowWithStepsThatWaitForTheirTeam)
{
    constexpr int jobsOfTeam = 1000;
    // Tasks of less than a core are visited although the room that is left is too small for them.
    for (const std::int64_t milliCores : {1000, 700}) {
        SchedulerHarness harness;
        for (int n = 0; n < workerCount; ++n)
            harness.addWorker("worker-" + std::to_string(n), coresPerWorker);
        Team team;
        team.name = "t";
        team.ceiling.milliCores = 8000;
        harness.scheduler.setTeams({&team, 1});
        for (int n = 0; n < jobsOfTeam; ++n) {
            auto ofTeam = job(jobName(n), {step(tasksPerJob)});
            ofTeam.team = team.name;
            ofTeam.spec.steps[0].need.milliCores = milliCores;
            harness.addJob(std::move(ofTeam));
        }
        do {
            harness.decide();
        } while (harness.scheduler.hasMoreStarts());
        harness.advanceTime(10ms);
        harness.addJob(job(jobName(5000), {step(4)}));
        const auto before = harness.scheduler.work().stepsExamined;
        const auto starts = ordersOf<StartTask>(harness.decideAfterEvent());
        BOOST_REQUIRE(starts.size() == 4U);
        BOOST_TEST(starts[0].task.job == jobName(5000));
        if (milliCores == 1000)
            harness.decide();
        BOOST_TEST(harness.scheduler.work().stepsExamined - before <= 16U);
    }
}

// Guards against an owner that checks every run of the fleet each time that one of them ends.
BOOST_AUTO_TEST_CASE(OfAnEventDoesNotGrowWithTheRunsOfTheFleet)
{
    constexpr int ends = 50;
    const auto work = FullPool(100).workOfEnds(ends);
    BOOST_TEST(work.runsChecked <= static_cast<std::uint64_t>(ends) * coresPerWorker);
}

// Guards against a decision that gives so many orders that holds, cancels and answers wait for
// them.
BOOST_AUTO_TEST_CASE(BurstIsStartedInBoundedPartsThatServeAllPools)
{
    SchedulerHarness harness;
    for (int n = 0; n < workerCount; ++n)
        harness.addWorker("worker-" + std::to_string(n), coresPerWorker);
    for (const auto *pool : {"a-pool", "b-pool"}) {
        WorkerDescription worker = harness.workers["worker-0"].description;
        worker.id = worker.address = std::string(pool) + "-worker";
        worker.pool = pool;
        worker.capacity.milliCores *= workerCount;
        worker.capacity.memoryMb *= workerCount;
        harness.workers[worker.id].description = worker;
        harness.scheduler.addOrUpdateWorker(worker, harness.now);
        harness.reportFrom(worker.id);
    }
    for (int n = 0; n < 60; ++n) {
        auto next = job(jobName(n), {step(tasksPerJob)});
        next.pool = n < 20 ? "a-pool" : n < 40 ? "b-pool" : "pool";
        harness.addJob(std::move(next));
    }
    std::map<std::string, std::size_t> startsOfFirstDecisions;
    std::size_t starts = 0;
    int decisions = 0;
    do {
        const auto orders = ordersOf<StartTask>(harness.decideAfterEvent());
        BOOST_TEST(orders.size() <= static_cast<std::size_t>(Scheduler::maxStartsPerDecision));
        starts += orders.size();
        if (++decisions <= 3) {
            for (const auto &it : orders)
                ++startsOfFirstDecisions[harness.scheduler.job(it.task.job)->job().pool];
        }
    } while (harness.scheduler.hasMoreStarts());
    BOOST_TEST(starts == 60U * tasksPerJob);
    BOOST_TEST(startsOfFirstDecisions.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace dragonflysill::test
