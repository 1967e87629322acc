#include "dragonflysill/zones/rollout.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace dragonflysill;

namespace {

/** Two members and one pool with one instance, set by ticket 3 at revision 10. */
struct RolloutFixture
{
    RolloutFixture()
    {
        view.revision = 10;
        view.members["c1"].name = "c1";
        view.members["c2"].name = "c2";
        Pool pool;
        pool.name = "depot";
        pool.ticket = 3;
        pool.instances.push_back({"d-1", "10.0.0.1:80", "z1", "r1"});
        view.configuration.pools["depot"] = pool;
        setRecord("depot", InstancePhase::Serving, "");
        tracker.accepted(3, 10, 1000);
    }

    void setRecord(const std::string &pool, InstancePhase phase, const std::string &target)
    {
        InstanceRecord record;
        record.name = "d-1";
        record.pool = pool;
        record.phase = phase;
        record.targetPool = target;
        view.instances["d-1"] = record;
    }

    static MemberReport report(const std::string &name, std::int64_t revision)
    {
        return {name, 1, true, revision, 3, {}};
    }

    std::vector<Rollout> update(std::int64_t nowMs)
    {
        return tracker.update(view, reports, "c1", nowMs);
    }

    View view;
    std::vector<MemberReport> reports{report("c1", 10), report("c2", 10)};
    RolloutTracker tracker;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RolloutTime, RolloutFixture)

// Guards against completing a roll-out before the last member has applied the ticket.
BOOST_AUTO_TEST_CASE(WaitsForEveryMember)
{
    reports[1].appliedRevision = 9;
    BOOST_TEST(update(1100).empty());
    BOOST_TEST(tracker.find(3)->waitingMembers == std::vector<std::string>{"c2"});
    reports.pop_back(); // a member without a report counts as not having applied the ticket
    BOOST_TEST(update(1200).empty());
    reports.push_back(report("c2", 12));
    const auto completed = update(1300);
    BOOST_REQUIRE(completed.size() == 1U);
    BOOST_TEST(*completed[0].completeMs == 1300);
    BOOST_TEST(tracker.openCount() == 0U);
    BOOST_TEST(update(1400).empty()); // reported once
}

// Guards against completing a roll-out while an instance is still moving.
BOOST_AUTO_TEST_CASE(WaitsForTheMoves)
{
    for (const auto phase : {InstancePhase::Serving, InstancePhase::Leaving}) {
        setRecord("tubes", phase, phase == InstancePhase::Leaving ? "depot" : "");
        BOOST_TEST(update(1100).empty());
    }
    BOOST_TEST(*tracker.find(3)->inEffectMs == 1100);
    BOOST_TEST(tracker.find(3)->waitingInstances == std::vector<std::string>{"d-1"});
    setRecord("depot", InstancePhase::Warming, "");
    BOOST_TEST(update(1200).empty());
    view.instances.clear();
    BOOST_TEST(update(1300).empty());
    setRecord("depot", InstancePhase::Serving, "");
    BOOST_TEST(update(1400).size() == 1U);
    BOOST_TEST(*tracker.find(3)->inEffectMs == 1100);
}

// Guards against evaluating a roll-out with a view that does not contain the ticket yet.
BOOST_AUTO_TEST_CASE(WaitsForTheOwnView)
{
    view.revision = 9;
    BOOST_TEST(update(1100).empty());
    view.revision = 10;
    BOOST_TEST(update(1200).size() == 1U);
}

// Guards against a roll-out that never completes because a later ticket changed the pool.
BOOST_AUTO_TEST_CASE(LaterTicketTakesOverTheMoves)
{
    setRecord("tubes", InstancePhase::Serving, "");
    BOOST_TEST(update(1100).empty());
    view.configuration.pools["depot"].ticket = 4;
    BOOST_TEST(update(1200).size() == 1U);
}

// Guards against a list of roll-outs that grows without bound.
BOOST_AUTO_TEST_CASE(KeepsABoundedNumber)
{
    for (std::int64_t n = 4; n < 2000; ++n)
        tracker.accepted(n, 10, 1000);
    BOOST_TEST(tracker.all().size() == RolloutTracker::rolloutLimit);
    BOOST_TEST(!tracker.find(3));
}

// Guards against a codec that loses a field or accepts malformed input.
BOOST_AUTO_TEST_CASE(CodecRoundTrips)
{
    reports[1].appliedRevision = 9;
    update(1100);
    const Rollout open = *tracker.find(3);
    BOOST_TEST((*decodeRollout(encodeRollout(open)) == open));
    reports[1].appliedRevision = 10;
    update(1200);
    const Rollout complete = *tracker.find(3);
    BOOST_TEST((*decodeRollout(encodeRollout(complete)) == complete));
    for (const char *text : {"", "[]", "{}", R"({"ticket":"x"})"})
        BOOST_TEST(decodeRollout(text).error().is(ErrorKind::Corrupt));
}

BOOST_AUTO_TEST_SUITE_END()
