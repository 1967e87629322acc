#include "support/damage.h"

#include "dragonflysill/jobs/jobcodec.h"
#include "dragonflysill/jobs/scheduler.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace dragonflysill;
using namespace std::chrono_literals;

namespace {

constexpr int damagedRecords = 4000;
const std::string jobId = "0123456789abcdef";

SubmittedJob storedJob()
{
    SubmittedJob job;
    job.id = jobId;
    job.queue = "queue";
    job.pool = "pool";
    job.team = "team";
    job.policy = {2, 1, 1.5, 600ms, WorkerAdmissionSettings{50ms, 10ms, 3000ms}};
    job.acceptedMs = 42;
    job.spec.payload = "text";
    JobStep step;
    step.count = 3;
    step.need = {100, 200, 1};
    step.estimate = 100ms;
    step.maxUnavailable = 2;
    job.spec.steps = {step, step};
    job.spec.steps[1].after = {0};
    return job;
}

std::string storedProgress()
{
    JobProgress progress;
    progress.state = JobStatus::Running;
    progress.done[{0, 1}] = {2};
    progress.stepsDone = {{0, 0}};
    progress.failures[{0, 1, 2}] = {1, 1001};
    progress.crashes[{0, 1, 1}] = {1, 2};
    progress.unconfirmedCrashes[{0, 1, 1}] = {2};
    progress.trials[{0, 1, 1}] = {{3, {{"w", 1}, true}}};
    progress.endedMs = 42;
    return encodeProgress(progress);
}

/** Schedules a job as an owner does that found it in the store. */
void schedule(SubmittedJob job, JobProgress progress)
{
    const TimePoint now{1000s};
    Scheduler scheduler({}, 1000);
    WorkerDescription worker;
    worker.id = "w";
    worker.pool = "pool";
    worker.capacity = {8000, 8000, 8};
    scheduler.addOrUpdateWorker(worker, now);
    worker.id = "silent";
    scheduler.addInheritedWorker(worker, now);
    Team team;
    team.name = "team";
    team.ceiling = {4000, 4000, 4};
    scheduler.setTeams({&team, 1});
    scheduler.addJob(std::move(job), std::move(progress), true, 0ms, now);
    scheduler.decide(now, 42);
    scheduler.decide(now + 10s, 10042);
    scheduler.cancelJob(jobId, now + 11s);
    scheduler.decide(now + 11s, 11042);
}

} // namespace

BOOST_AUTO_TEST_SUITE(StoredRecords)

// Another revision or a fault may have written them. Guards against an owner that ends, or never
// comes back, because of one record.
BOOST_AUTO_TEST_CASE(DamagedJobsAreRefusedOrScheduled)
{
    Random random(11);
    const auto record = encodeJob(storedJob());
    int readable = 0;
    for (int n = 0; n < damagedRecords; ++n) {
        auto job = decodeJob(jobId, test::damaged(record, random));
        if (!job)
            continue;
        ++readable;
        schedule(std::move(*job), {});
    }
    BOOST_TEST(readable > 0);
}

BOOST_AUTO_TEST_CASE(DamagedProgressIsRefusedOrScheduled)
{
    Random random(12);
    const auto record = storedProgress();
    int readable = 0;
    for (int n = 0; n < damagedRecords; ++n) {
        auto progress = decodeProgress(test::damaged(record, random));
        if (!progress)
            continue;
        ++readable;
        schedule(storedJob(), std::move(*progress));
    }
    BOOST_TEST(readable > 0);
}

// Guards against a successor that counts the runs of a cancelled job for no team, and against one
// that counts jobs which ended long ago.
BOOST_AUTO_TEST_CASE(EndOfAJobOfATeamIsKnownToASuccessor)
{
    JobProgress ended;
    ended.state = JobStatus::Cancelled;
    BOOST_TEST(encodeProgress(ended) == R"({"state":"cancelled"})");
    BOOST_TEST(!mayHaveUnknownRuns(ended, 1'000'000));
    ended.endedMs = 1'000'000;
    const auto stored = decodeProgress(encodeProgress(ended));
    BOOST_REQUIRE(stored);
    BOOST_TEST(mayHaveUnknownRuns(*stored, 1'015'000));
    BOOST_TEST(!mayHaveUnknownRuns(*stored, 1'025'000));
}

BOOST_AUTO_TEST_SUITE_END()
