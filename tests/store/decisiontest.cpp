#include "dragonflysill/base/backoff.h"
#include "dragonflysill/base/base64.h"
#include "dragonflysill/base/tokenbucket.h"
#include "dragonflysill/store/gatewaycodec.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <chrono>
#include <string>

using namespace dragonflysill;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(Decisions)

// Guards against clients that exceed the platform's limit of calls.
BOOST_AUTO_TEST_CASE(BudgetLimitsCalls)
{
    TokenBucket budget(25, 5);
    const TimePoint start{1h};
    int taken = 0;
    for (auto time = 0ms; time < 10s; time += 1ms)
        taken += budget.take(start + time) ? 1 : 0;
    BOOST_TEST(taken >= 250);
    BOOST_TEST(taken <= 255);
    const TimePoint end = start + 10s;
    BOOST_TEST(!budget.take(end - 1ms));
    const TimePoint next = budget.availableAt(end);
    BOOST_TEST((next <= end + 40ms));
    BOOST_TEST(budget.take(next));
}

// Guards against clients that return all at once or wait for ever after an outage.
BOOST_AUTO_TEST_CASE(BackoffGrowsWithJitterUpToALimit)
{
    Backoff one(1, {50ms, 2000ms});
    Backoff two(2, {50ms, 2000ms});
    bool differ = false;
    for (int n = 0; n < 100; ++n) {
        const Duration delay = one.next();
        const Duration limit = std::min<Duration>(50ms * (1LL << std::min(n, 10)), 2000ms);
        BOOST_TEST((delay <= limit && delay >= limit / 2));
        differ = differ || delay != two.next();
    }
    BOOST_TEST(differ);
    one.reset();
    BOOST_TEST((one.next() <= 50ms));
}

// Guards against keys and values that change on their way.
BOOST_AUTO_TEST_CASE(Base64RoundTrip)
{
    BOOST_TEST(encodeBase64("") == "");
    BOOST_TEST(encodeBase64("foob") == "Zm9vYg==");
    BOOST_TEST(encodeBase64("fooba") == "Zm9vYmE=");
    BOOST_TEST(rc::check("round trip", [](const std::string &bytes) {
        RC_ASSERT(decodeBase64(encodeBase64(bytes)).value() == bytes);
    }));
    for (const char *text : {"A", "AA=A", "A===", "AA\n=", "====", "Zm9v!mFy"})
        BOOST_TEST(!decodeBase64(text).ok(), text);
}

// Guards against a malformed answer that is taken for an empty one or ends the process.
BOOST_AUTO_TEST_CASE(MalformedAnswersAreCorrupt)
{
    const Transaction transaction{{}, {RangeOperation{"a", {}}}, {RangeOperation{"b", {}}}};
    for (const char *text : {"", "{", "[]", "7", "{}", R"({"header":{"revision":"x"}})",
                             R"({"header":{"revision":"1"},"kvs":{}})",
                             R"({"header":{"revision":"1"},"kvs":[{"key":"%"}]})",
                             R"({"header":{"revision":"1"},"kvs":[{}]})", R"({"header":[]})"}) {
        BOOST_TEST(!gateway::decodeRangeAnswer(text).ok(), text);
        BOOST_TEST(!gateway::decodeTransactionAnswer(transaction, text).ok(), text);
        BOOST_TEST(!gateway::decodeWatchAnswer(text).ok(), text);
        BOOST_TEST(!gateway::decodeLeaseAnswer(text).ok(), text);
    }
    const char *missing = R"({"header":{"revision":"4"},"succeeded":true})";
    BOOST_TEST(!gateway::decodeTransactionAnswer(transaction, missing).ok());
}

BOOST_AUTO_TEST_SUITE_END()
