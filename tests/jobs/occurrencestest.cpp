#include "schedulerharness.h"

#include "dragonflysill/jobs/jobcodec.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>

using namespace dragonflysill;
using namespace dragonflysill::test;

namespace {

/** More occurrences than may be open at once. */
constexpr int manyOccurrences = 2500;

SubmittedJob repeatedJob(int occurrences, std::chrono::milliseconds interval = 0ms)
{
    auto result = job("j", {step(1)});
    result.spec.scheduled = true;
    result.spec.occurrences = occurrences;
    result.spec.interval = interval;
    return result;
}

/** Lets the workers complete everything that they run, and the owner save and decide. */
void completeAll(SchedulerHarness &harness)
{
    for (auto &[id, worker] : harness.workers) {
        while (!worker.running.empty())
            worker.end(worker.running.begin()->first, RunEnd::Done);
    }
    harness.reportAll();
    harness.saveAll();
    harness.advanceTime(100ms);
}

/** Records the starts of a decision by occurrence. */
void decideAndCount(SchedulerHarness &harness, std::map<int, int> &starts)
{
    for (const auto &it : ordersOf<StartTask>(harness.decide()))
        ++starts[it.task.occurrence];
}

} // namespace

BOOST_AUTO_TEST_SUITE(Occurrences)

// Guards against an owner that ends with std::bad_alloc because of one job, as do its successors.
BOOST_AUTO_TEST_CASE(JobWithVeryManyDueOccurrencesOpensFewAtOnce)
{
    for (const auto interval : {0ms, 1ms}) {
        SchedulerHarness harness;
        harness.addWorker("w1");
        harness.addJob(repeatedJob(2'000'000'000, interval));
        BOOST_TEST(ordersOf<StartTask>(harness.decide()).size() == 4U);
        const auto &run = *harness.scheduler.job("j");
        BOOST_TEST(run.occurrences().size()
                   == static_cast<std::size_t>(JobRun::maxOpenOccurrences));
    }
}

BOOST_AUTO_TEST_CASE(LargeOccurrencesAreOpenedUpToANumberOfTasks)
{
    auto large = repeatedJob(1000);
    large.spec.steps = {step(20000)};
    BOOST_TEST(JobRun::occurrenceWindow(large.spec) == 2);
    large.spec.steps = {step(100000)};
    BOOST_TEST(JobRun::occurrenceWindow(large.spec) == 1);
}

// Guards against occurrences that are dropped, repeated or never opened beyond those that may be
// open at once, and against progress that grows with each of them.
BOOST_AUTO_TEST_CASE(AllOccurrencesRunOnceInOrder)
{
    SchedulerHarness harness;
    harness.addWorker("w1", 64);
    harness.addJob(repeatedJob(manyOccurrences));
    const auto &run = *harness.scheduler.job("j");
    std::map<int, int> starts;
    std::size_t largest = 0;
    for (int n = 0; n < manyOccurrences && !run.hasEnded(); ++n) {
        decideAndCount(harness, starts);
        BOOST_REQUIRE(starts.rbegin()->first == static_cast<int>(starts.size()) - 1);
        completeAll(harness);
        largest = std::max(largest, encodeProgress(run.progress()).size());
    }
    BOOST_TEST((run.progress().state == JobStatus::Completed));
    BOOST_TEST(starts.size() == static_cast<std::size_t>(manyOccurrences));
    BOOST_TEST(std::ranges::all_of(starts, [](const auto &it) { return it.second == 1; }));
    BOOST_TEST(largest < 2000U);
}

// The first occurrence takes long. The next ones need not wait for it, up to a bound.
BOOST_AUTO_TEST_CASE(OccurrencesOverlapUpToTheBound)
{
    SchedulerHarness harness;
    harness.addWorker("w1", 64);
    harness.addJob(repeatedJob(manyOccurrences));
    std::map<int, int> starts;
    for (int n = 0; n < manyOccurrences / 10; ++n) {
        decideAndCount(harness, starts);
        auto &worker = harness.workers["w1"];
        while (worker.running.size() > 1)
            worker.end(std::prev(worker.running.end())->first, RunEnd::Done);
        harness.reportAll();
        harness.saveAll();
    }
    BOOST_TEST(starts.size() == static_cast<std::size_t>(JobRun::maxOpenOccurrences));
    completeAll(harness);
    decideAndCount(harness, starts);
    BOOST_TEST(starts.rbegin()->first >= JobRun::maxOpenOccurrences);
}

// Guards against a successor that repeats occurrences, stops their runs or ends before the last
// one: it takes over several times with progress that was saved some time ago and ends that were
// not acknowledged.
BOOST_AUTO_TEST_CASE(SuccessorsGoOnWithTheNextOccurrences)
{
    constexpr int takeOverInterval = 7; // Decisions.
    std::map<int, int> starts;
    std::string saved = encodeProgress({});
    std::map<std::string, FakeWorker> workers;
    bool completed = false;
    for (int owner = 0; owner < manyOccurrences && !completed; ++owner) {
        SchedulerHarness harness(owner * 1000);
        harness.workers = workers;
        harness.now += owner * 10s;
        harness.scheduler.addJob(repeatedJob(manyOccurrences), *decodeProgress(saved), owner > 0,
                                 0ms, harness.now);
        harness.addWorker("w1", 64);
        const auto &run = *harness.scheduler.job("j");
        for (int n = 0; n < takeOverInterval && !run.hasEnded(); ++n) {
            decideAndCount(harness, starts);
            // The last ends of an owner are neither saved nor acknowledged.
            if (n + 1 < takeOverInterval) {
                completeAll(harness);
                saved = encodeProgress(run.progress());
            } else {
                auto &worker = harness.workers["w1"];
                for (int m = 0; m < 32 && !worker.running.empty(); ++m)
                    worker.end(worker.running.begin()->first, RunEnd::Done);
                harness.reportAll();
            }
        }
        completed = run.progress().state == JobStatus::Completed;
        workers = harness.workers;
    }
    BOOST_TEST(completed);
    BOOST_TEST(starts.size() == static_cast<std::size_t>(manyOccurrences));
    BOOST_TEST(std::ranges::all_of(starts, [](const auto &it) { return it.second == 1; }));
}

// Guards against a completed job that a successor never ends, since the last end was reported
// before the occurrence was open.
BOOST_AUTO_TEST_CASE(JobWhoseLastEndIsReportedBeforeItsOccurrenceIsOpenEnds)
{
    SchedulerHarness harness(1000);
    auto &worker = harness.workers["w1"];
    worker.running[{"j", 0, 0, 0}] = {{"j", 0, 0, 0}, 1, {}, 0, {}};
    worker.end({"j", 0, 0, 0}, RunEnd::Done);
    harness.addJob(repeatedJob(1), true);
    harness.addWorker("w1");
    harness.saveAll();
    harness.decide();
    BOOST_TEST((harness.scheduler.job("j")->progress().state == JobStatus::Completed));
    BOOST_TEST(harness.scheduler.openJobs() == 0U);
    BOOST_REQUIRE(harness.scheduler.hasUpdates());
    BOOST_TEST((harness.scheduler.takeUpdates(1).at(0).progress.state == JobStatus::Completed));
}

BOOST_AUTO_TEST_CASE(CompletedOccurrencesAreStored)
{
    JobProgress progress;
    progress.state = JobStatus::Running;
    progress.occurrencesDone = 1'999'999'999;
    progress.stepsDone = {{2'000'000'000, 0}};
    const auto decoded = decodeProgress(encodeProgress(progress));
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST((*decoded == progress));
    for (const std::string it : {"-1", "1e300", "4294967297", "0.5", "\"1\""})
        BOOST_TEST(!decodeProgress(R"({"state":"running","occurrences":)" + it + '}').ok(), it);
}

BOOST_AUTO_TEST_SUITE_END()
