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

    FleetFixture()
        : FleetFixture(makeShape())
    {
    }

    explicit FleetFixture(const FleetShape &fleetShape)
        : shape(fleetShape)
    {
        fleet.setPromiseHandler([this](const std::string &text) { evidence = text; });
        BOOST_REQUIRE(fleet.start().ok());
    }

    EventLoop loop;
    FleetShape shape;
    FleetStandin fleet{loop, shape};
    HttpClient client{loop};
    std::string evidence;

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
        shape.sameIdShare = 0;
        shape.openPortShare = 0;
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

    /** Returns what an instance's first worker, or its later incarnation, reports of itself. */
    WorkerReport report(int instance, const Json &request = Json{{"deadlineMs", 1000000}})
    {
        std::string body;
        BOOST_TEST(call(address(instance),
                        {"POST",
                         pathHold,
                         dump(request),
                         {{headerExpectInstance, workerOf(instance)}}},
                        &body)
                   == 200);
        const auto report = decodeReport(body);
        BOOST_REQUIRE(report.ok());
        return *report;
    }

    /** Orders an instance's first worker to stop a run. */
    void stop(int instance, const std::string &task, int run)
    {
        BOOST_TEST(call(address(instance), {"POST",
                                            pathRunStop,
                                            dump(Json{{"task", task}, {"attempt", run}}),
                                            {{headerExpectInstance, workerOf(instance)}}})
                   == 200);
    }

    /** Returns how many runs an instance's first worker lists as running and as ended `done`. */
    std::pair<int, int> runsOn(int instance)
    {
        const auto lists = report(instance);
        return {std::ssize(lists.running),
                std::ranges::count(lists.ended, RunEnd::Done, &EndReport::end)};
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

/** A fleet whose crashed workers start again under their id, with ports that stay open. */
struct SameIdFixture : FleetFixture
{
    SameIdFixture()
        : FleetFixture(makeSameIdShape())
    {
    }

    static FleetShape makeSameIdShape()
    {
        auto shape = makeShape();
        shape.sameIdShare = 1;
        shape.openPortShare = 1;
        return shape;
    }

    /**
     * Starts a run on a worker that may be down. The request waits in its port, but the connection
     * of an earlier one may be closed first.
     */
    void startAfterCrash(int instance, const std::string &task, int run)
    {
        BOOST_TEST((start(instance, task, run) == 200 || start(instance, task, run) == 200));
    }

    /** Returns the entry of the first machine in the list of machines. */
    Json firstMachine()
    {
        std::string body;
        BOOST_TEST(call(shape.host + ':' + std::to_string(shape.firstPort + 1),
                        {"GET", pathMachines, {}, {}}, &body)
                   == 200);
        const auto json = Json::parse(body);
        const auto &machines = json.at("machines");
        const auto it = std::ranges::find_if(
                machines, [](const Json &row) { return row.at("machine") == "m-2"; });
        BOOST_REQUIRE((it != machines.end()));
        return *it;
    }
};

BOOST_FIXTURE_TEST_SUITE(Restarts, SameIdFixture)

// Guards against an order that the next incarnation under the same id carries out.
BOOST_AUTO_TEST_CASE(NextIncarnationKnowsNothingAndCarriesOutWhatWaitedForIt)
{
    BOOST_TEST(start(1, "job.0.0.0", 2) == 200);
    stop(1, "job.0.0.0", 2);
    std::vector<EndReport> ended;
    runUntil([this, &ended] {
        ended = report(1, Json{{"deadlineMs", 1000000}, {"fencingToken", 7}}).ended;
        return !ended.empty();
    });
    const auto before = report(1, Json{{"fencingToken", 7}});
    BOOST_TEST(start(1, "job.0.0.0", 3) == 409);
    const auto crashing = submitCrashingJob();
    BOOST_TEST(call(address(1), {"POST",
                                 pathRunStart,
                                 dump(Json{{"task", crashing},
                                           {"attempt", 1},
                                           {"deadlineMs", 1000000},
                                           {"spec", ""},
                                           {"fencingToken", 7}}),
                                 {{headerExpectInstance, workerOf(1)}}})
               >= 0);
    runUntil([this] { return fleet.tally().crashes == 1; });
    const auto machine = firstMachine();
    BOOST_TEST(machine.at("state") == "down");
    BOOST_TEST(machine.at("id").is_null());
    startAfterCrash(1, "job.0.0.0", 1);
    BOOST_TEST(firstMachine().at("id") == workerOf(1));
    const auto after = report(1);
    BOOST_TEST(after.startedMs > before.startedMs);
    BOOST_TEST(after.clock < before.clock);
    BOOST_TEST(after.ended.empty());
    BOOST_TEST(after.running.size() == 1U);
    stop(1, "job.0.0.0", 1);
    runUntil([this, &ended] {
        ended = report(1).ended;
        return !ended.empty();
    });
    BOOST_TEST(ended.front().number == 1);
    BOOST_TEST(fleet.tally().broken() == 0U, evidence);
}

// Guards against an end of an earlier incarnation that is taken for one of the next.
BOOST_AUTO_TEST_CASE(EndIsLostWithItsIncarnation)
{
    const auto crashing = submitCrashingJob();
    BOOST_TEST(start(1, "job.0.0.0", 1) == 200);
    runUntil([this] { return fleet.tally().done == 1; });
    BOOST_TEST(*fleet.taskToRun("job") == "job.0.0.1");
    crash(1, crashing);
    startAfterCrash(1, "other.0.0.0", 1);
    BOOST_TEST(*fleet.taskToRun("job") == "job.0.0.0");
}

BOOST_AUTO_TEST_CASE(WorkersCrashAndStartAgainWhileTheyFlap)
{
    for (int n = 0; n < workers; ++n)
        fleet.flapWorkers(1h);
    const auto flappingSince = EventLoop::now();
    for (int downs = 0; downs < 2;) {
        runUntil([this] { return firstMachine().at("state") == "down"; });
        ++downs;
        runUntil([this] { return firstMachine().at("state") == "up"; });
    }
    BOOST_TEST((EventLoop::now() - flappingSince >= 1300ms));
    BOOST_TEST(firstMachine().at("id") == workerOf(1));
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
    BOOST_TEST(evidence == "run 2 of job.0.0.0 starts on i-2 and runs on i-1 as run 1");
}

// Guards against two runs of a task on one worker, which refuses only what is not higher than a run
// that was stopped or has ended there.
BOOST_AUTO_TEST_CASE(SecondRunOnAWorkerIsCarriedOutAndABrokenPromise)
{
    BOOST_TEST(start(1, "job.0.0.0", 2) == 200);
    BOOST_TEST(start(1, "job.0.0.0", 2) == 200);
    BOOST_TEST(fleet.tally().broken() == 0U, evidence);
    BOOST_TEST(start(1, "job.0.0.0", 3) == 200);
    BOOST_TEST(evidence == "run 3 of job.0.0.0 starts on i-1 and runs on i-1 as run 2");
    BOOST_TEST(start(1, "job.0.0.0", 1) == 200);
    BOOST_TEST(fleet.tally().duplicateStarts == 2U);
    BOOST_TEST(runsOn(1).first == 3);
    stop(1, "job.0.0.0", 2);
    runUntil([this] { return runsOn(1).first < 3; });
    BOOST_TEST(start(1, "job.0.0.0", 1) == 200);
    BOOST_TEST(start(1, "job.0.0.0", 2) == 409);
}

// Guards against a task that starts elsewhere as soon as its stop is answered.
BOOST_AUTO_TEST_CASE(RunIsListedUntilItsStopIsCarriedOut)
{
    int listed = 0;
    for (int n = 1; n <= workers; ++n) {
        const auto task = "job-" + std::to_string(n) + ".0.0.0";
        BOOST_TEST(start(n, task, 1) == 200);
        stop(n, task, 1);
        listed += runsOn(n).first;
        runUntil([this, n] { return runsOn(n).first == 0; });
        BOOST_TEST(start(n, task, 1) == 409);
        BOOST_TEST((report(n).ended.front().end == RunEnd::Stopped));
    }
    BOOST_TEST(listed > 0);
}

/** A fleet with short leases. */
struct ShortLeaseFixture : FleetFixture
{
    ShortLeaseFixture()
        : FleetFixture(makeShortLeaseShape())
    {
    }

    static FleetShape makeShortLeaseShape()
    {
        auto shape = makeShape();
        shape.maxHold = 100ms;
        return shape;
    }
};

// Guards against runs that a time of an earlier incarnation's clock keeps alive for long.
BOOST_FIXTURE_TEST_CASE(LeaseIsShortenedToItsLongestTime, ShortLeaseFixture)
{
    BOOST_TEST(start(1, "job.0.0.0", 1) == 200);
    std::vector<EndReport> ended;
    runUntil([this, &ended] {
        ended = report(1, Json::object()).ended;
        return !ended.empty();
    });
    BOOST_TEST((ended.front().end == RunEnd::HoldExpired));
}

BOOST_AUTO_TEST_CASE(TaskMayStartElsewhereAfterItsRunIsStopped)
{
    BOOST_TEST(start(1, "job.0.0.0", 1) == 200);
    stop(1, "job.0.0.0", 1);
    runUntil([this] { return runsOn(1).first == 0; });
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
