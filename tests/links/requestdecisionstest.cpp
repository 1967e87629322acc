#include "dragonflysill/links/adaptivelimit.h"
#include "dragonflysill/links/headers.h"
#include "dragonflysill/links/outcome.h"
#include "dragonflysill/links/retrypolicy.h"
#include "dragonflysill/links/routetable.h"
#include "dragonflysill/links/selection.h"

#include <boost/test/unit_test.hpp>

#include <memory>

using namespace dragonflysill;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(RequestDecisions)

// Guards against a general route that takes precedence over a more specific, non-repeatable one.
BOOST_AUTO_TEST_CASE(FindsTheLongestPrefix)
{
    auto view = std::make_shared<View>();
    Service service;
    service.name = "s";
    service.routes = {{"/", 1s, true}, {"/pay", 1s, false}};
    view->configuration.services["s"] = service;
    const RouteTable table(view);
    BOOST_TEST(table.find("/pay/7").route->pathPrefix == "/pay");
    BOOST_TEST(table.find("/other").route->pathPrefix == "/");
    BOOST_TEST(!table.find("none"));
}

// Guards against a second execution of a request that must run at most once.
BOOST_AUTO_TEST_CASE(NeverRepeatsANonRepeatableRequestAfterAByteWasSent)
{
    RetryPolicy policy(1);
    for (int n = 0; n < 100; ++n)
        policy.requestArrived();
    AttemptHistory history{AttemptResult::Failed, true, false, 0, 0, 1s};
    BOOST_TEST(!policy.nextAttempt(history).has_value());
    history.byteSent = false;
    BOOST_TEST(policy.nextAttempt(history).has_value());
    history = {AttemptResult::Refused, true, false, 0, 1, 1s};
    BOOST_TEST(policy.nextAttempt(history).has_value());
}

// Guards against retries that multiply the load on a failing pool.
BOOST_AUTO_TEST_CASE(RetriesAtMostATenthOfTheRequests)
{
    RetryPolicy policy(1);
    int retries = 0;
    for (int n = 0; n < 1000; ++n) {
        policy.requestArrived();
        retries += policy.nextAttempt({AttemptResult::Failed, true, true, 0, 0, 1s}) ? 1 : 0;
    }
    BOOST_TEST(retries <= 100);
    BOOST_TEST(retries >= 99);
}

// Guards against a request that is retried at full backend servers until its deadline.
BOOST_AUTO_TEST_CASE(BoundsRefusalsAndStopsAtTheDeadline)
{
    RetryPolicy policy(1);
    BOOST_TEST(!policy.nextAttempt(
            {AttemptResult::Refused, true, true, 0, RetryPolicy::maxRefusals + 1, 1s}));
    for (int n = 0; n < 100; ++n)
        policy.requestArrived();
    BOOST_TEST(!policy.nextAttempt({AttemptResult::Failed, true, true, 0, 0, 0s}));
}

// Guards against a limit that is tried again right after a refusal, or that never rises again.
BOOST_AUTO_TEST_CASE(LimitFallsWithARefusalAndGrowsByTrials)
{
    const TimePoint start{1s};
    AdaptiveLimit limit(4, 8);
    BOOST_TEST(limit.requestSent(5, start));
    limit.requestRefused(5, 10ms, start);
    BOOST_TEST(limit.value(start) == 4);
    BOOST_TEST(limit.value(start + 9ms) == 4);
    BOOST_TEST(limit.value(start + 10ms) == 5);
    limit.requestRefused(5, 10ms, start + 10ms);
    BOOST_TEST(limit.value(start + 29ms) == 4);
    BOOST_TEST(limit.requestSent(5, start + 30ms));
    limit.trialSucceeded();
    BOOST_TEST(limit.value(start + 60ms) == 6);
}

// Guards against a policy that exceeds a limit or does not use an available backend server.
BOOST_AUTO_TEST_CASE(EveryPolicyChoosesOnlyAvailableCandidates)
{
    for (const char *name : {"least-of-two", "round-robin", "fixed-shares", "credits"}) {
        Selector selector = *selectorByName(name);
        Random random(3);
        std::vector<Candidate> candidates{{0, 2, 2, true}, {1, 1, 2, false}, {2, 3, 3, true}};
        for (int n = 0; n < 50; ++n)
            BOOST_TEST(choose(selector, candidates, random) == 1, name);
        candidates[1].inFlight = 2;
        BOOST_TEST(choose(selector, candidates, random) == -1, name);
    }
    BOOST_TEST(!selectorByName("unknown").has_value());
}

// Guards against requests to another availability zone while the entry's own zone has free slots.
BOOST_AUTO_TEST_CASE(PrefersTheOwnAvailabilityZoneAtEqualLoad)
{
    LeastLoadedOfTwo policy;
    Random random(5);
    const std::vector<Candidate> candidates{{0, 1, 8, false}, {1, 2, 8, true}};
    for (int n = 0; n < 20; ++n)
        BOOST_TEST(policy.choose(candidates, random) == 1);
}

// Guards against forwarding headers that belong to a single connection.
BOOST_AUTO_TEST_CASE(RecognizesHopByHopHeaders)
{
    BOOST_TEST(isHopByHop("keep-alive", ""));
    BOOST_TEST(isHopByHop("X-Private", "close, x-private"));
    BOOST_TEST(!isHopByHop("X-Private", "close"));
    BOOST_TEST(!isSafeHeaderValue("a\r\nX: y"));
}

// Guards against reporting "not run" for a request that may have run.
BOOST_AUTO_TEST_CASE(FailuresAfterAByteWasSentHaveUnknownOutcome)
{
    for (const Failure failure :
         {Failure::ResponseDeadline, Failure::ConnectionLost, Failure::DuplicateKey})
        BOOST_TEST((describe(failure).outcome == Outcome::Unknown), toText(failure));
    BOOST_TEST(describe(Failure::QueueDeadline).status == 504);
    BOOST_TEST(describe(Failure::Shed).retryAfter);
}

BOOST_AUTO_TEST_SUITE_END()
