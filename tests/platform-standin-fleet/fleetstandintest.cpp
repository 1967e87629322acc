#include "fleetstandin.h"

#include "dragonflysill/base/base64.h"
#include "dragonflysill/jobs/json.h"
#include "dragonflysill/net/httpclient.h"
#include "names.h"
#include "workerformat.h"

#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <algorithm>
#include <functional>
#include <numeric>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace dragonflysill;
using namespace dragonflysill::platform;
using namespace std::chrono_literals;

namespace {

/** A fleet of one pool, whose workers get their orders from the test instead of a node. */
struct FleetFixture
{
    static constexpr int workers = 7;

    EventLoop loop;
    FleetShape shape = makeShape();
    FleetStandin fleet{loop, shape};
    HttpClient client{loop};
    std::string evidence;

    FleetFixture()
    {
        fleet.setPromiseHandler([this](const std::string &text) { evidence = text; });
        BOOST_REQUIRE(fleet.start().ok());
    }

    static FleetShape makeShape()
    {
        FleetShape shape;
        // An address of the loopback interface that no other process of the tests uses.
        const auto id = static_cast<unsigned>(getpid());
        shape.host = "127." + std::to_string(1 + id / 62500 % 250) + '.'
                     + std::to_string(id / 250 % 250) + '.' + std::to_string(1 + id % 250);
        shape.pools = {"pool"};
        shape.workersPerPool = workers;
        shape.standby = 0;
        shape.longTaskEvery = 1;
        return shape;
    }

    /** Returns the address of the worker of an instance, counted from 1. */
    [[nodiscard]] std::string address(int instance) const
    {
        return shape.host + ':' + std::to_string(shape.firstPort + 1 + instance);
    }

    void runUntil(const std::function<bool()> &condition)
    {
        while (!condition())
            loop.context().run_one();
    }

    /** Calls a server and returns the status, or 0 without an answer. */
    int call(const std::string &address, HttpRequest request, std::string *body = nullptr)
    {
        std::optional<int> status;
        client.call(address, std::move(request), 10s,
                    [&status, body](const Result<HttpResponse> &it) {
                        status = it ? it->status : 0;
                        if (it && body != nullptr)
                            *body = it->body;
                    });
        runUntil([&status] { return status.has_value(); });
        return *status;
    }

    /** Starts a run of a task on the given life of an instance's worker. */
    int start(int instance, const std::string &task, int run, const std::string &worker,
              std::string *body = nullptr)
    {
        return call(
                address(instance),
                {"POST",
                 pathRunStart,
                 dump(Json{
                         {"task", task}, {"attempt", run}, {"deadlineMs", 1000000}, {"spec", ""}}),
                 {{headerExpectInstance, worker}}},
                body);
    }

    /** Starts a run on the first worker of an instance. */
    int start(int instance, const std::string &task, int run)
    {
        return start(instance, task, run, workerOf(instance));
    }

    /** Returns the first worker of an instance. */
    static std::string workerOf(int instance) { return "i-" + std::to_string(instance); }

    /** Returns how many cores the store's entry of an instance's first worker shows. */
    int coresShown(int instance)
    {
        std::string body;
        BOOST_TEST(call(shape.host + ':' + std::to_string(shape.firstPort),
                        {"GET",
                         std::string(pathKvKey) + "?key=" + prefixWorkers + workerOf(instance),
                         {},
                         {}},
                        &body)
                   == 200);
        const auto value = decodeBase64(Json::parse(body).at("value").get<std::string>());
        BOOST_REQUIRE(value.ok());
        const auto worker = decodeWorker(workerOf(instance), *value);
        BOOST_REQUIRE(worker.ok());
        return static_cast<int>(worker->capacity.milliCores / 1000);
    }

    /** Returns how many runs an instance's first worker lists as running and as ended `done`. */
    std::pair<int, int> runsOn(int instance)
    {
        std::string body;
        BOOST_TEST(call(address(instance),
                        {"POST",
                         pathHold,
                         dump(Json{{"deadlineMs", 1000000}}),
                         {{headerExpectInstance, workerOf(instance)}}},
                        &body)
                   == 200);
        const auto report = decodeReport(body);
        BOOST_REQUIRE(report.ok());
        return {std::ssize(report->running),
                std::ranges::count(report->ended, RunEnd::Done, &EndReport::end)};
    }

    /** Submits jobs until one has a task of step 0 that crashes its workers; returns that task. */
    std::string submitCrashingJob()
    {
        fleet.addCrashingTasks(1h, 1);
        for (char digit = '0';; ++digit) {
            const auto job = "0123456789abcde" + std::string(1, digit);
            fleet.jobSubmitted(job);
            for (const char *suffix : {".0.0.0", ".0.0.1"}) {
                if (fleet.crashesWorkers(job + suffix))
                    return job + suffix;
            }
        }
    }

    /** Returns the job of a task. */
    static std::string jobOf(const std::string &task) { return task.substr(0, task.find('.')); }

    /** Starts a task that crashes its worker on the first worker of an instance and awaits it. */
    void crash(int instance, const std::string &task)
    {
        const auto crashes = fleet.tally().crashes;
        // The worker may be gone before it has answered.
        static_cast<void>(start(instance, task, instance));
        runUntil([this, crashes] { return fleet.tally().crashes > crashes; });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashingTasks, FleetFixture)

BOOST_AUTO_TEST_CASE(OnlyJobsOfTheFaultHaveATaskThatCrashesItsWorkers)
{
    fleet.jobSubmitted("0000000000000001");
    BOOST_TEST(!submitCrashingJob().empty());
    BOOST_TEST(!fleet.crashesWorkers("0000000000000001.0.0.0"));
    BOOST_TEST(!fleet.crashesWorkers("0000000000000001.0.0.1"));
    BOOST_TEST(!fleet.crashesWorkers("0000000000000001.0.1.0"));
}

BOOST_AUTO_TEST_CASE(CrashedWorkerIsBackAsANewOneThatRunsNothing)
{
    const auto task = submitCrashingJob();
    BOOST_TEST(start(1, "other.0.0.0", 1) == 200);
    crash(1, task);
    // The new worker has the next number, knows no earlier run and listens on the same address.
    while (start(1, "other.0.0.0", 1, "i-" + std::to_string(workers + 1)) != 200)
        loop.context().run_one();
    BOOST_TEST(fleet.tally().broken() == 0U, evidence);
}

// Guards against a task that crashes its workers and is started for ever.
BOOST_AUTO_TEST_CASE(ThirdStartAfterThreeCrashesIsABrokenPromise)
{
    const auto task = submitCrashingJob();
    for (int n = 1; n <= 5; ++n)
        crash(n, task);
    BOOST_TEST(fleet.tally().broken() == 0U, evidence);
    crash(6, task);
    BOOST_TEST(fleet.tally().overBudget == 1U);
    BOOST_TEST(evidence.find("5 workers have crashed under it") != std::string::npos, evidence);
}

// Guards against a job that is given up too early.
BOOST_AUTO_TEST_CASE(FailedJobIsLostUnlessTwoWorkersCrashedUnderATask)
{
    const auto task = submitCrashingJob();
    crash(1, task);
    fleet.jobReportedFailed(jobOf(task));
    BOOST_TEST(fleet.tally().lost == 1U);
    crash(2, task);
    fleet.jobReportedFailed(jobOf(task));
    BOOST_TEST(fleet.tally().lost == 1U);
    BOOST_TEST(fleet.tally().failed == 1U);
    fleet.jobReportedFailed("0000000000000001");
    BOOST_TEST(fleet.tally().lost == 2U);
}

// Guards against a job that is completed without its task that crashes its workers.
BOOST_AUTO_TEST_CASE(JobWithACrashingTaskIsNeverCompleted)
{
    const auto task = submitCrashingJob();
    crash(1, task);
    crash(2, task);
    fleet.jobReportedCompleted(jobOf(task));
    BOOST_TEST(fleet.tally().falselyCompleted > 0U);
}

// Guards against excusing a failed job whose workers crashed under another job's task.
BOOST_AUTO_TEST_CASE(CrashCountsForAllTasksOfTheWorker)
{
    const auto task = submitCrashingJob();
    BOOST_TEST(start(1, "0000000000000001.0.0.0", 1) == 200);
    BOOST_TEST(start(2, "0000000000000002.0.0.0", 1) == 200);
    crash(1, task);
    BOOST_TEST(start(3, "0000000000000001.0.0.0", 2) == 200);
    crash(3, task);
    fleet.jobReportedFailed("0000000000000001");
    BOOST_TEST(fleet.tally().failed == 1U);
    fleet.jobReportedFailed("0000000000000002");
    BOOST_TEST(fleet.tally().lost == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Capacity, FleetFixture)

// Guards against a worker that accepts more than its entry shows while its capacity is lower.
BOOST_AUTO_TEST_CASE(StartsBeyondTheReducedCapacityAreRefusedAndWhatRunsGoesOn)
{
    std::vector<int> instances(workers);
    std::iota(instances.begin(), instances.end(), 1);
    std::vector<int> accepted(workers + 1);
    const auto startOne = [this, &accepted](int instance, std::string *body) {
        const auto number = std::to_string(100 * instance + accepted[instance]);
        const auto status
                = start(instance, "job-" + number + ".0.0.0", 1, workerOf(instance), body);
        accepted[instance] += static_cast<int>(status == 200);
        return status;
    };
    for (const int n : instances)
        BOOST_TEST(startOne(n, nullptr) == 200);
    fleet.reduceCapacity(1h);
    for (const int n : instances) {
        std::string body;
        while (startOne(n, &body) == 200)
            continue;
        BOOST_TEST(body.find(R"("reason":"room")") != std::string::npos, body);
    }
    const auto isReduced = [this](int n) { return coresShown(n) < 8; };
    while (std::ranges::none_of(instances, isReduced))
        loop.context().run_one();
    for (const int n : instances) {
        const auto [running, done] = runsOn(n);
        BOOST_TEST(running + done == accepted[n]);
        // Each worker ran one task before its capacity was reduced.
        const int cores = std::max(1, coresShown(n));
        BOOST_TEST(running <= cores);
        BOOST_TEST(accepted[n] >= cores);
    }
}

BOOST_AUTO_TEST_CASE(CapacityGrowsAgain)
{
    fleet.reduceCapacity(50ms);
    for (int n = 1; n <= workers; ++n) {
        while (coresShown(n) != 8)
            loop.context().run_one();
    }
    BOOST_TEST(fleet.tally().broken() == 0U, evidence);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Runs, FleetFixture)

// Guards against two runs of a task at the same time.
BOOST_AUTO_TEST_CASE(StartOfATaskThatRunsElsewhereIsABrokenPromise)
{
    BOOST_TEST(start(1, "job.0.0.0", 1) == 200);
    BOOST_TEST(start(2, "job.0.0.0", 2) == 200);
    BOOST_TEST(fleet.tally().duplicateStarts == 1U);
    BOOST_TEST(evidence == "run 2 of job.0.0.0 starts on i-2 and runs on i-1");
}

BOOST_AUTO_TEST_CASE(TaskMayStartElsewhereAfterItsRunIsStopped)
{
    BOOST_TEST(start(1, "job.0.0.0", 1) == 200);
    BOOST_TEST(call(address(1), {"POST",
                                 pathRunStop,
                                 dump(Json{{"task", "job.0.0.0"}, {"attempt", 1}}),
                                 {{headerExpectInstance, workerOf(1)}}})
               == 200);
    BOOST_TEST(start(2, "job.0.0.0", 2) == 200);
    BOOST_TEST(fleet.tally().broken() == 0U, evidence);
}

// Guards against a worker that is taken to run a task until it notices that its lease has expired.
BOOST_AUTO_TEST_CASE(TaskMayStartElsewhereOnceItsLeaseHasExpired)
{
    int run = 0;
    const auto startShortly = [this, &run] {
        std::string body;
        BOOST_TEST(call(address(1), {"POST", pathHold, "{}", {{headerExpectInstance, workerOf(1)}}},
                        &body)
                   == 200);
        const auto until = decodeReport(body)->clock + 20;
        return call(address(1), {"POST",
                                 pathRunStart,
                                 dump(Json{{"task", "job.0.0.0"},
                                           {"attempt", ++run},
                                           {"deadlineMs", until},
                                           {"spec", ""}}),
                                 {{headerExpectInstance, workerOf(1)}}});
    };
    while (startShortly() != 200)
        continue;
    std::this_thread::sleep_for(30ms);
    BOOST_TEST(start(2, "job.0.0.0", run + 1) == 200);
    BOOST_TEST(fleet.tally().broken() == 0U, evidence);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Waiting, FleetFixture)

// Guards against an accepted job that nothing starts.
BOOST_AUTO_TEST_CASE(JobThatCouldRunAndIsReportedOpenAfterTheBoundIsABrokenPromise)
{
    fleet.jobAccepted("waiting", "pool");
    fleet.jobAccepted("elsewhere", "pool without workers");
    fleet.jobAccepted("completed", "pool");
    fleet.checkWaitingJobs();
    fleet.jobReportedCompleted("completed");
    const auto falselyCompleted = fleet.tally().falselyCompleted;
    runUntil([this] {
        fleet.jobReportedOpen("waiting");
        return fleet.tally().waited > 0;
    });
    BOOST_TEST(evidence.starts_with("waiting.0.0.0 has waited for "), evidence);
    BOOST_TEST(evidence.find("0 of 56 cores of pool are in use") != std::string::npos, evidence);
    fleet.jobReportedOpen("elsewhere");
    fleet.jobReportedOpen("completed");
    BOOST_TEST(fleet.tally().waited == 1U);
    BOOST_TEST(fleet.tally().broken() == 1U + falselyCompleted);
    // A job is reported once.
    fleet.jobReportedOpen("waiting");
    BOOST_TEST(fleet.tally().waited == 1U);
}

// Guards against an end that was lost with its worker and is taken for one that counts.
BOOST_AUTO_TEST_CASE(TaskWhoseEndWasLostWithItsWorkerWaitsAgain)
{
    const auto crashing = submitCrashingJob();
    for (int n = 1; n <= 3; ++n)
        BOOST_TEST(start(n, "job.0.0." + std::to_string(n - 1), 1) == 200);
    runUntil([this] { return fleet.tally().done == 3; });
    BOOST_TEST(*fleet.taskToRun("job") == "job.0.1.0");
    // Its end is acknowledged, which counts also after the worker has crashed.
    BOOST_TEST(call(address(1), {"POST",
                                 pathHold,
                                 dump(Json{{"deadlineMs", 1000000}, {"ackedUpto", 1}}),
                                 {{headerExpectInstance, workerOf(1)}}})
               == 200);
    crash(1, crashing);
    BOOST_TEST(*fleet.taskToRun("job") == "job.0.1.0");
    crash(2, crashing);
    BOOST_TEST(*fleet.taskToRun("job") == "job.0.0.1");
    BOOST_TEST(start(3, "job.0.0.1", 2) == 200);
    BOOST_TEST(!fleet.taskToRun("job").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
