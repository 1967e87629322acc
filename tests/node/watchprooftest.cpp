#include "clockshift.h"
#include "fakestore.h"

#include "dragonflysill/node/prefixwatcher.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <utility>
#include <vector>

using namespace dragonflysill;
using namespace dragonflysill::test;
using namespace std::chrono_literals;

namespace {

using Response = PrefixWatcher::Response;

/** A watch that records its responses and changes; the fake store answers some polls of it. */
struct WatchFixture
{
    EventLoop loop;
    FakeStore store{loop};
    std::vector<std::pair<Response, TimePoint>> applied;
    std::vector<std::string> values;
    PrefixWatcher watcher{loop,
                          store,
                          "op/",
                          {},
                          {[this](std::span<const KeyValue> items, std::int64_t) {
                               for (const auto &it : items)
                                   values.push_back(it.value);
                           },
                           [this](std::span<const KeyUpdate> updates, std::int64_t) {
                               for (const auto &it : updates)
                                   values.push_back(it.value);
                           },
                           [this](Response response, TimePoint sentAt) {
                               applied.emplace_back(response, sentAt);
                           }}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ProofByTheWatch, WatchFixture)

// Guards against a poll that was sent, delayed and answered late and counts as young.
BOOST_AUTO_TEST_CASE(LateResponseProvesTheTimeOfItsSending)
{
    ClockShift clock;
    store.beforeAnswer = [&, suspended = 0s]() mutable { clock.set(suspended += 10s, 0s); };
    const auto before = EventLoop::now();
    for (int n = 0; n < 5; ++n)
        store.put("op/" + std::to_string(n), "v");
    watcher.start(); // Three pages, then a poll.
    loop.run();
    BOOST_REQUIRE(applied.size() == 2U);
    BOOST_TEST((applied[0].first == Response::List));
    BOOST_TEST((applied[0].second < before + 10s));
    BOOST_TEST((applied[1].first == Response::Poll));
    BOOST_TEST((applied[1].second >= before + 30s));
    BOOST_TEST((applied[1].second < before + 40s));
}

BOOST_AUTO_TEST_CASE(FailedCallsProveNothing)
{
    store.reachable = false;
    store.watchLimit = 2;
    watcher.startFrom(store.revision);
    loop.run();
    BOOST_TEST(applied.empty());
}

// Guards against a revocation that is never seen: a poll during the discarding of the history names
// a revision above the change that it leaves out, so that the next one would ask for later changes.
BOOST_AUTO_TEST_CASE(ChangeDuringTheDiscardingOfTheHistoryIsSeen)
{
    watcher.setAdvanceOnChangesOnly(true);
    store.put("op/config", "old");
    store.silent = true;
    store.watchLimit = 2;
    int answers = 0;
    store.beforeAnswer = [&] {
        ++answers;
        if (answers == 1)
            store.put("op/config", "new");
        if (answers == 2)
            store.compactedUpTo = store.revision;
    };
    watcher.start();
    loop.run();
    BOOST_TEST(values.back() == "new");
    BOOST_TEST((applied.back().first == Response::List));
}

BOOST_AUTO_TEST_SUITE_END()
