#include "clockshift.h"
#include "fakestore.h"

#include "dragonflysill/jobs/jobcodec.h"
#include "dragonflysill/node/cancelmark.h"
#include "dragonflysill/node/jobservice.h"
#include "dragonflysill/node/nodekeys.h"
#include "dragonflysill/node/storedstatus.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace dragonflysill;
using namespace dragonflysill::test;
using namespace std::chrono_literals;

namespace {

const std::string jobId = "0123456789abcdef";
const std::string jobBody = R"({"spec":"text","steps":[{"count":1,"cpu":100}]})";

/** A strict job service on a fake store; teams a and b, a queue with keys and a public one. */
struct KeysFixture
{
    EventLoop loop;
    FakeStore store{loop};
    StateReplica replica;
    JobService service{loop, store, replica, 1};
    ClockShift clock;
    StatusAnswer ownerAnswer;
    std::int64_t version = 0;

    KeysFixture()
    {
        service.access().setSettings({true, 5s, 3s});
        service.setStoreReachable(true);
        service.setOwnerRequests(
                {[this](const std::string &, const auto &callback) { callback(ownerAnswer); },
                 [](const std::string &, const auto &callback) { callback(3); },
                 {}});
        followJobs(true);
        configure({"key-a", "key-a2"});
    }

    void followJobs(bool follow)
    {
        replica.followJobs(follow);
        replica.reset(nodekeys::root, {}, 1);
    }

    /** Applies a configuration as if a list was answered now. */
    void configure(std::vector<std::string> keysOfA)
    {
        FleetConfiguration configuration;
        configuration.version = ++version;
        configuration.usesTeams = true;
        configuration.queues = {{"queue", "host", "/q/", "pool", 200ms, {}},
                                {"open", "host", "/open/", "pool", 200ms, {}, true}};
        configuration.teams = {{"a", std::move(keysOfA), 0, 1, {}}, {"b", {"key-b"}, 0, 1, {}}};
        service.setConfiguration(configuration);
        service.access().proof().listAnswered(EventLoop::now());
    }

    HttpResponse send(const std::string &method, const std::string &path, const std::string &key)
    {
        HttpResponse answer;
        HttpRequest request{method, path, method == "POST" ? jobBody : "", {{"Host", "host"}}};
        if (!key.empty())
            request.headers.emplace_back("Authorization", "Bearer " + key);
        service.handle(request, [&](const HttpResponse &it) { answer = it; });
        loop.context().restart();
        loop.run();
        return answer;
    }

    int call(const std::string &method, const std::string &key, const std::string &queue = "/q/")
    {
        return send(method, queue + jobId, key).status;
    }

    [[nodiscard]] std::string stored(std::string_view prefix) const
    {
        const auto it = store.items.find(nodekeys::key(prefix, jobId));
        return it == store.items.end() ? std::string() : it->second.value;
    }

    /** Returns the status of the job according to the store. */
    std::optional<JobStatus> storedStatus()
    {
        std::optional<JobStatus> status;
        readStoredStatus(store, jobId, [&](const Result<StoredStatus> &it) {
            status = it ? std::optional(it->status) : std::nullopt;
        });
        loop.context().restart();
        loop.run();
        return status;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(KeysOfCallers, KeysFixture)

BOOST_AUTO_TEST_CASE(EachCallWithoutAKnownKeyIsRefused)
{
    for (const std::string key : {"", "key-c"}) {
        BOOST_TEST(call("POST", key) == 401);
        BOOST_TEST(call("GET", key) == 401);
        BOOST_TEST(call("DELETE", key) == 401);
        BOOST_TEST(send("GET", "/q/", key).status == 401);
        BOOST_TEST(send("GET", "/none/" + jobId, key).status == 404);
    }
    BOOST_TEST(store.items.empty());
    BOOST_TEST(send("GET", "/q/", "key-a").status == 200);
    BOOST_TEST(service.counts().accessRefused.at({AccessRefusal::UnknownKey, ""}) == 8U);
}

BOOST_AUTO_TEST_CASE(TeamIsStoredWithTheJob)
{
    BOOST_TEST(call("POST", "key-b") == 200);
    BOOST_TEST(decodeJob(jobId, stored(nodekeys::jobs))->team == "b");
}

BOOST_AUTO_TEST_CASE(PublicQueueTakesJobsWithAndWithoutAKey)
{
    clock.set(1h, 0s); // The proof has expired.
    BOOST_TEST(call("POST", "key-c", "/open/") == 200);
    BOOST_TEST(stored(nodekeys::jobs).find("team") == std::string::npos);
    BOOST_TEST(call("GET", "", "/open/") == 200);
    store.items.clear();
    followJobs(false);
    BOOST_TEST(call("POST", "key-a", "/open/") == 200);
    BOOST_TEST(decodeJob(jobId, stored(nodekeys::jobs))->team == "a");
}

// Guards against a node that goes on with a revoked key while it is cut off, was suspended with
// requests in its sockets, or has had its time of day set.
BOOST_AUTO_TEST_CASE(CallsAreNotAcceptedOnceTheProofHasExpired)
{
    BOOST_TEST(call("POST", "key-a") == 200);
    for (const auto timeOfDay : {-2h, 0h, 2h}) {
        clock.set(4s, timeOfDay);
        BOOST_TEST(call("GET", "key-a") == 200);
        clock.set(5s, timeOfDay);
        for (const std::string method : {"POST", "GET", "DELETE"}) {
            const auto answer = send(method, "/q/" + jobId, "key-a");
            BOOST_TEST(answer.status == 503);
            BOOST_REQUIRE(!answer.headers.empty());
            BOOST_TEST(answer.headers[0].first == "Retry-After");
        }
        BOOST_TEST(send("GET", "/q/", "key-a").status == 503);
    }
    service.access().proof().pollAnswered(EventLoop::now());
    BOOST_TEST(call("GET", "key-a") == 200);
    BOOST_TEST(stored(nodekeys::cancelled).empty());
}

BOOST_AUTO_TEST_CASE(RevokedKeyIsRefusedAndItsJobIsKept)
{
    BOOST_TEST(call("POST", "key-a") == 200);
    configure({"key-a2"});
    BOOST_TEST(call("GET", "key-a") == 401);
    BOOST_TEST(call("GET", "key-a2") == 200);
    configure({});
    BOOST_TEST(call("GET", "key-a2") == 401);
    BOOST_TEST((*replica.status(jobId) == JobStatus::Queued));
}

BOOST_AUTO_TEST_CASE(JobsOfOtherTeamsAreNeitherReadNorRepeatedNorCancelled)
{
    BOOST_TEST(call("POST", "key-a") == 200);
    for (const bool follows : {true, false}) {
        if (!follows)
            followJobs(false);
        ownerAnswer = {JobStatus::Running, "a"};
        for (const std::string method : {"GET", "POST", "DELETE"}) {
            BOOST_TEST(call(method, "key-b") == 403);
            BOOST_TEST(call(method, "", "/open/") == 403);
        }
        ownerAnswer = {};
        BOOST_TEST(call("GET", "key-b") == 403);
        BOOST_TEST(call("GET", "key-a") == 200);
        BOOST_TEST(call("POST", "key-a2") == 200);
    }
    BOOST_TEST(stored(nodekeys::cancelled).empty());
    BOOST_TEST(call("DELETE", "key-a2") == 200);
    BOOST_TEST(stored(nodekeys::cancelled) == cancelMark);
}

// An owner of an earlier version does not tell the team.
BOOST_AUTO_TEST_CASE(TeamIsReadFromTheStoreIfTheOwnerDoesNotTellIt)
{
    followJobs(false);
    BOOST_TEST(call("POST", "key-a") == 200);
    ownerAnswer = {JobStatus::Running};
    BOOST_TEST(call("GET", "key-b") == 403);
    BOOST_TEST(send("GET", "/q/" + jobId, "key-a").body == R"({"state":"running"})");
    service.setStoreReachable(false);
    BOOST_TEST(call("GET", "key-a") == 503);
}

// Nodes of earlier versions store jobs without a team.
BOOST_AUTO_TEST_CASE(JobWithoutATeamIsEveryones)
{
    BOOST_TEST(call("POST", "", "/open/") == 200);
    BOOST_TEST(call("GET", "key-b") == 200);
    BOOST_TEST(call("DELETE", "key-a") == 200);
    store.items.clear();
    followJobs(false);
    followJobs(true);
    BOOST_TEST(call("DELETE", "key-b") == 410);
    BOOST_TEST(call("POST", "", "/open/") == 200);
    BOOST_TEST((*replica.status(jobId) == JobStatus::Cancelled));
}

// Guards against a team that cancels jobs which another one is about to submit.
BOOST_AUTO_TEST_CASE(CancelOfAnUnknownJobCancelsOnlyTheTeamsOwn)
{
    BOOST_TEST(call("DELETE", "key-b") == 410);
    BOOST_TEST(call("DELETE", "key-b") == 410);
    BOOST_TEST(call("DELETE", "key-a") == 403);
    BOOST_TEST(call("POST", "key-a") == 200);
    BOOST_TEST((*replica.status(jobId) == JobStatus::Queued));
    BOOST_TEST((*storedStatus() == JobStatus::Queued));
    BOOST_TEST(call("DELETE", "key-a") == 200);
    BOOST_TEST((*replica.status(jobId) == JobStatus::Cancelled));
    BOOST_TEST((*storedStatus() == JobStatus::Cancelled));
}

BOOST_AUTO_TEST_CASE(CancelThatComesFirstCancelsTheTeamsJob)
{
    for (const bool follows : {true, false}) {
        store.items.clear();
        followJobs(follows);
        BOOST_TEST(call("DELETE", "key-a") == 410);
        BOOST_TEST(call("POST", "key-a") == 200);
        BOOST_TEST((*storedStatus() == JobStatus::Cancelled));
        if (follows)
            BOOST_TEST((*replica.status(jobId) == JobStatus::Cancelled));
    }
}

// Guards against the mark of a team whose node had not found the job yet.
BOOST_AUTO_TEST_CASE(MarkOfAnotherTeamThatComesLaterChangesNothing)
{
    BOOST_TEST(call("POST", "key-a") == 200);
    const auto key = nodekeys::key(nodekeys::cancelled, jobId);
    replica.applyOwn(key, cancelMarkOfTeam("b"), 10);
    BOOST_TEST((*replica.status(jobId) == JobStatus::Queued));
    replica.applyOwn(key, cancelMarkOfTeam("a"), 11);
    BOOST_TEST((*replica.status(jobId) == JobStatus::Cancelled));
}

BOOST_AUTO_TEST_SUITE_END()
