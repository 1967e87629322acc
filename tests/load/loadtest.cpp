#include "dragonflysill/load/arrivals.h"
#include "dragonflysill/load/loadsummary.h"
#include "dragonflysill/load/requestmix.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace dragonflysill;
using namespace std::chrono_literals;

namespace {

Attempt attempt(const std::string &id, CallerOutcome outcome)
{
    Attempt result;
    result.requestId = id;
    result.outcome = outcome;
    result.status = 200;
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Load)

// Guards against a generated load that does not have the configured rate and burst; seed 11.
BOOST_AUTO_TEST_CASE(ArrivalsFollowTheRateAndTheBurst)
{
    ArrivalPlan plan;
    plan.ratePerSecond = 1000;
    plan.length = 4s;
    plan.phases = {{1s, 2s, 5.0}, {2s, 4s, 0.05}};
    ArrivalSchedule schedule(plan, 11);
    std::vector<int> perSecond(4);
    while (const auto offset = schedule.next())
        ++perSecond[static_cast<std::size_t>(
                std::chrono::floor<std::chrono::seconds>(*offset).count())];
    BOOST_TEST(std::abs(perSecond[0] - 1000) < 150);
    BOOST_TEST(std::abs(perSecond[1] - 5000) < 350);
    BOOST_TEST(std::abs(perSecond[2] - 50) < 35);
}

// Guards against load runs that cannot be reproduced from their seed.
BOOST_AUTO_TEST_CASE(SameSeedGivesTheSameArrivals)
{
    ArrivalPlan plan;
    plan.maxRequests = 50;
    ArrivalSchedule a(plan, 3);
    ArrivalSchedule b(plan, 3);
    int n = 0;
    while (const auto offset = a.next()) {
        BOOST_TEST((offset == b.next()));
        ++n;
    }
    BOOST_TEST(n == 50);
}

// Guards against a summary that misses duplicate runs, false "not run" outcomes, wrong answers or
// interrupted attempts.
BOOST_AUTO_TEST_CASE(SummaryFindsDoubledRunsAndFalseNotRun)
{
    std::vector<Attempt> attempts{
            attempt("a", CallerOutcome::NotRun), attempt("b", CallerOutcome::NotRun),
            attempt("c", CallerOutcome::Answered), attempt("d", CallerOutcome::Interrupted)};
    attempts[2].correct = false;
    RunCounts runs;
    runs.byRequestId = {{"a", 1}, {"c", 1}};
    runs.byKey = {{"k1", 2}, {"k2", 1}};
    const LoadSummary summary = summarize(attempts, runs, 1s);
    BOOST_TEST(summary.falseNotRun == 1U);
    BOOST_TEST(summary.doubledRuns == 1U);
    BOOST_TEST(summary.wrongAnswers == 1U);
    BOOST_TEST(summary.interrupted == 1U);
    BOOST_TEST(summary.good == 0U);
}

// Guards against late or failed answers being counted as goodput.
BOOST_AUTO_TEST_CASE(GoodputLeavesOutLateAndFailedAnswers)
{
    std::vector<Attempt> attempts{attempt("a", CallerOutcome::Answered),
                                  attempt("b", CallerOutcome::Answered),
                                  attempt("c", CallerOutcome::Answered)};
    attempts[1].late = true;
    attempts[2].status = 503;
    const LoadSummary summary = summarize(attempts, {}, 1s);
    BOOST_TEST(summary.good == 1U);
    BOOST_TEST(summary.lateAnswers == 1U);
    BOOST_TEST(goodPerSecond(attempts, 1s).front() == 1U);
}

// Guards against typing errors in a mix that are ignored and silently change the load.
BOOST_AUTO_TEST_CASE(MixRefusesUnknownParts)
{
    const auto mix = RequestMix::parse("GET /a weight=3,POST /b keyed body=10");
    BOOST_REQUIRE(mix.ok());
    BOOST_TEST(mix->kinds().size() == 2U);
    BOOST_TEST(mix->kinds()[1].hasIdempotencyKey);
    BOOST_TEST(mix->kinds()[1].bodyBytes == 10);
    for (const char *text : {"", "GET", "PUT /a", "GET a", "GET /a wieght=3", "GET /a weight=0"})
        BOOST_TEST(!RequestMix::parse(text).ok(), "accepted '" << text << "'");
}

BOOST_AUTO_TEST_SUITE_END()
