#include "fakestore.h"

#include "dragonflysill/jobs/jobcodec.h"
#include "dragonflysill/jobs/jobrun.h"
#include "dragonflysill/node/jobservice.h"
#include "dragonflysill/node/nodekeys.h"
#include "dragonflysill/node/statuswaiters.h"
#include "jobs/schedulerharness.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace dragonflysill;
using namespace dragonflysill::test;
using namespace std::chrono_literals;

namespace {

/** Waiters for the ends of jobs whose status the test sets. */
struct WaitersFixture
{
    EventLoop loop;
    std::map<std::string, JobStatus> known;
    StatusWaiters waiters{loop, [this](const std::string &job) -> std::optional<JobStatus> {
                              const auto it = known.find(job);
                              return it == known.end() ? std::nullopt : std::optional(it->second);
                          }};
    std::vector<std::optional<JobStatus>> answers;

    void wait(const std::string &job, Duration time)
    {
        waiters.wait(job, time, [this](std::optional<JobStatus> it) { answers.push_back(it); });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WaitersForTheEndOfAJob, WaitersFixture)

// Guards against callers that learn of the end of their job only with their next request, because
// they asked some milliseconds before the end was saved.
BOOST_AUTO_TEST_CASE(RequestIsAnsweredWhenTheJobEnds)
{
    known["a"] = JobStatus::Running;
    wait("a", 1h);
    wait("a", 1h);
    waiters.jobChanged("a");
    BOOST_TEST(answers.empty());
    known["a"] = JobStatus::Completed;
    waiters.jobChanged("b");
    BOOST_TEST(answers.empty());
    waiters.jobChanged("a");
    BOOST_REQUIRE(answers.size() == 2U);
    BOOST_TEST((*answers[0] == JobStatus::Completed));
    BOOST_TEST(waiters.jobs() == 0U);
}

BOOST_AUTO_TEST_CASE(RequestIsAnsweredWithTheCurrentStatusAfterItsTime)
{
    known["a"] = JobStatus::Running;
    wait("a", 10ms);
    wait("b", 1h);
    while (answers.empty())
        loop.context().run_one();
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST((*answers[0] == JobStatus::Running));
    BOOST_TEST(waiters.jobs() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(JobsThatMayEndSoon)

BOOST_AUTO_TEST_CASE(JobMayEndSoonWhenAllItsOpenTasksAreActive)
{
    JobRun run(job("j", {step(2), step(1, {0})}), {}, 0);
    run.openDueOccurrences(0, TimePoint{});
    BOOST_TEST(!run.mayEndSoon());
    run.activate({"j", 0, 0, 0}, "w");
    run.activate({"j", 0, 0, 1}, "w");
    BOOST_TEST(!run.mayEndSoon()); // The second step has not begun.
    run.complete({"j", 0, 0, 0}, TimePoint{});
    run.complete({"j", 0, 0, 1}, TimePoint{});
    BOOST_TEST(!run.mayEndSoon());
    run.activate({"j", 0, 1, 0}, "w");
    BOOST_TEST(run.mayEndSoon());
    run.complete({"j", 0, 1, 0}, TimePoint{});
    BOOST_TEST(run.hasEnded());
    BOOST_TEST(run.mayEndSoon());
}

BOOST_AUTO_TEST_CASE(PersistentJobNeverEndsByItself)
{
    auto persistent = step(1);
    persistent.persistent = true;
    JobRun run(job("j", {persistent}), {}, 0);
    run.openDueOccurrences(0, TimePoint{});
    run.activate({"j", 0, 0, 0}, "w");
    BOOST_TEST(!run.mayEndSoon());
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

const std::string jobId = "0123456789abcdef";

using AnswerCallback = std::function<void(const StatusAnswer &)>;

/** A job service on a fake store, and an owner of the schedule that the test plays. */
struct StatusFixture
{
    EventLoop loop;
    FakeStore store{loop};
    StateReplica replica;
    JobService service{loop, store, replica, 1};
    int asked = 0;
    std::optional<JobStatus> ownerAnswer;

    StatusFixture()
    {
        FleetConfiguration configuration;
        configuration.version = 1;
        configuration.queues = {{"queue", "host", "/q/", "pool", 200ms, {}, {}}};
        service.setConfiguration(configuration);
        service.setStoreReachable(true);
        service.setOwnerRequests({[this](const std::string &, const AnswerCallback &callback) {
                                      ++asked;
                                      callback({ownerAnswer});
                                  },
                                  {},
                                  {}});
        replica.followJobs(true);
        replica.reset(nodekeys::root, {}, 1);
    }

    /** Requests the status of the job; returns the response's status and body. */
    std::string show()
    {
        std::string answer;
        service.handle({"GET", "/q/" + jobId, {}, {{"Host", "host"}}}, [&](const HttpResponse &it) {
            answer = std::to_string(it.status) + ' ' + it.body;
        });
        loop.context().restart();
        loop.run();
        return answer;
    }

    void addJob(JobStatus status)
    {
        JobProgress progress;
        progress.state = status;
        replica.applyOwn(nodekeys::key(nodekeys::jobs, jobId), "record", 2);
        replica.applyOwn(nodekeys::key(nodekeys::progress, jobId), encodeProgress(progress), 3);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StatusOfJobs, StatusFixture)

// Guards against callers that are told "running" long after their job has completed, because the
// replica of the node that they asked follows the store with a delay.
BOOST_AUTO_TEST_CASE(StatusOfAnOpenJobIsAskedFromTheOwner)
{
    addJob(JobStatus::Running);
    ownerAnswer = JobStatus::Completed;
    BOOST_TEST(show() == R"(200 {"state":"completed"})");
    BOOST_TEST(asked == 1);
}

BOOST_AUTO_TEST_CASE(StatusOfAnEndedJobIsKnownWithoutTheOwner)
{
    addJob(JobStatus::Failed);
    BOOST_TEST(show() == R"(200 {"state":"failed"})");
    BOOST_TEST(asked == 0);
}

BOOST_AUTO_TEST_CASE(ReplicaAnswersIfTheOwnerDoesNot)
{
    addJob(JobStatus::Running);
    BOOST_TEST(show() == R"(200 {"state":"running"})");
    BOOST_TEST(asked == 1);
}

// An unknown id is proved by the store, whatever the owner knows.
BOOST_AUTO_TEST_CASE(JobThatNobodyKnowsIsGoneOnlyIfTheStoreSaysSo)
{
    BOOST_TEST(show() == "410 ");
    store.reachable = false;
    BOOST_TEST(show() == "503 ");
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/** A job service on a node that does not follow the jobs. */
struct FollowerFixture : StatusFixture
{
    std::optional<int> ownerPending;
    std::vector<std::string> storedKeys;

    FollowerFixture()
    {
        replica.followJobs(false);
        service.setOwnerRequests(
                {[this](const std::string &, const AnswerCallback &callback) {
                     ++asked;
                     callback({ownerAnswer});
                 },
                 [this](const std::string &, const std::function<void(std::optional<int>)> &it) {
                     it(ownerPending);
                 },
                 [this](const std::string &key, const std::string &, std::int64_t) {
                     storedKeys.push_back(key);
                 }});
    }

    std::string call(const std::string &method, const std::string &path,
                     const std::string &body = {})
    {
        std::string answer;
        service.handle({method, path, body, {{"Host", "host"}}}, [&](const HttpResponse &it) {
            answer = std::to_string(it.status) + ' ' + it.body;
        });
        loop.context().restart();
        loop.run();
        return answer;
    }

    void storeKey(std::string_view prefix, const std::string &value)
    {
        store.put(nodekeys::key(prefix, jobId), value);
    }

    void storeProgress(JobStatus status)
    {
        JobProgress progress;
        progress.state = status;
        storeKey(nodekeys::progress, encodeProgress(progress));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(NodeThatDoesNotFollowJobs, FollowerFixture)

// While the ownership changes there is nobody to ask, and the store knows the state of each job.
BOOST_AUTO_TEST_CASE(ReadsTheStatusFromTheStoreIfTheOwnerDoesNotAnswer)
{
    BOOST_TEST(show() == "410 ");
    storeKey(nodekeys::jobs, "record");
    BOOST_TEST(show() == R"(200 {"state":"queued"})");
    storeProgress(JobStatus::Running);
    BOOST_TEST(show() == R"(200 {"state":"running"})");
    storeKey(nodekeys::cancelled, "1");
    BOOST_TEST(show() == R"(200 {"state":"cancelled"})");
    storeProgress(JobStatus::Completed);
    BOOST_TEST(show() == R"(200 {"state":"completed"})");
    storeKey(nodekeys::jobs, std::string(rejectedRecord));
    BOOST_TEST(show() == "410 ");
    store.reachable = false;
    BOOST_TEST(show() == "503 ");
}

BOOST_AUTO_TEST_CASE(TellsTheOwnerOfAcceptedAndCancelledJobs)
{
    BOOST_TEST(call("POST", "/q/" + jobId, R"({"spec":"text","steps":[{"count":1,"cpu":100}]})")
               == "200 ");
    BOOST_TEST(call("DELETE", "/q/" + jobId) == "200 ");
    BOOST_REQUIRE(storedKeys.size() == 2U);
    BOOST_TEST(storedKeys[0] == nodekeys::key(nodekeys::jobs, jobId));
    BOOST_TEST(storedKeys[1] == nodekeys::key(nodekeys::cancelled, jobId));
    BOOST_TEST(replica.jobs().empty());
}

BOOST_AUTO_TEST_CASE(AcceptsARepeatedSubmissionAsTheSameJob)
{
    const std::string body = R"({"spec":"text","steps":[{"count":1,"cpu":100}]})";
    BOOST_TEST(call("POST", "/q/" + jobId, body) == "200 ");
    BOOST_TEST(call("POST", "/q/" + jobId, body) == "200 ");
    BOOST_TEST(store.items.size() == 1U);
}

BOOST_AUTO_TEST_CASE(CancelsOnlyJobsThatTheStoreKnows)
{
    BOOST_TEST(call("DELETE", "/q/" + jobId) == "410 ");
    storeKey(nodekeys::jobs, std::string(rejectedRecord));
    BOOST_TEST(call("DELETE", "/q/" + jobId) == "410 ");
}

// Guards against a job that runs after its cancel was answered "no such job" (UNASKED): its
// submission waited in a node that stood still.
BOOST_AUTO_TEST_CASE(SubmissionAfterItsCancelIsCancelled)
{
    BOOST_TEST(call("DELETE", "/q/" + jobId) == "410 ");
    BOOST_TEST(call("POST", "/q/" + jobId, R"({"spec":"text","steps":[{"count":1,"cpu":100}]})")
               == "200 ");
    BOOST_TEST(show() == R"(200 {"state":"cancelled"})");
}

// The caller asks again, so that "no such job" stays true.
BOOST_AUTO_TEST_CASE(CancelOfAnUnknownJobIsOnlyAnsweredOnceItIsStored)
{
    store.faults = {FakeStore::Fault::LostBefore};
    service.handle({"DELETE", "/q/" + jobId, {}, {{"Host", "host"}}}, [&](const HttpResponse &it) {
        BOOST_TEST(it.status == 410);
        BOOST_TEST(store.items.contains(nodekeys::key(nodekeys::cancelled, jobId)));
    });
    loop.context().restart();
    loop.run();
    BOOST_TEST(store.writes == 2);
}

// A wrong count is worse than none.
BOOST_AUTO_TEST_CASE(AsksTheOwnerHowManyJobsArePending)
{
    BOOST_TEST(call("GET", "/q/") == "503 ");
    ownerPending = 3;
    BOOST_TEST(call("GET", "/q/") == R"(200 {"pending":3})");
}

// Guards against a node that counts no waiting jobs while it reads those that it begins to follow
// (MIXED).
BOOST_AUTO_TEST_CASE(CountsPendingJobsItselfOnceItHasReadAllKeys)
{
    replica.followJobs(true);
    ownerPending = 3;
    BOOST_TEST(call("GET", "/q/") == R"(200 {"pending":3})");
    ownerPending.reset();
    BOOST_TEST(call("GET", "/q/") == "503 ");
    replica.reset(nodekeys::root, {}, 1);
    BOOST_TEST(call("GET", "/q/") == R"(200 {"pending":0})");
}

BOOST_AUTO_TEST_SUITE_END()
