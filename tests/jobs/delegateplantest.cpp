#include "dragonflysill/jobs/delegateplan.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace dragonflysill;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint now{1000s};

/** A site of three zones with two large nodes and some small ones in each. */
std::vector<DelegateCandidate> site(int smallNodesPerZone, double smallLink = 1.25e6)
{
    std::vector<DelegateCandidate> nodes;
    for (int z = 0; z < 3; ++z) {
        const auto zone = "zone-" + std::to_string(z);
        for (int n = 0; n < smallNodesPerZone + 2; ++n) {
            const auto name = zone + "-" + std::to_string(n);
            nodes.push_back(
                    {name, name + ":7060", zone, n < 2 ? 500 : 120, n < 2 ? 25e6 : smallLink});
        }
    }
    return nodes;
}

std::string workerName(int n)
{
    return "worker-" + std::to_string(n);
}

/** Returns the delegates of workers that are spread evenly over the zones. */
std::map<std::string, std::string> assign(const DelegatePlan &plan, int workers, TimePoint at = now)
{
    std::map<std::string, std::string> delegates;
    for (int n = 0; n < workers; ++n)
        delegates[workerName(n)]
                = plan.delegateFor(workerName(n), "zone-" + std::to_string(n % 3), at);
    return delegates;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Delegates)

BOOST_AUTO_TEST_CASE(FewWorkersAreCalledByTheOwnerItself)
{
    DelegatePlan plan;
    plan.update(site(5), DelegatePlan::maxWorkersWithoutDelegates);
    BOOST_TEST(plan.delegateFor("worker", "zone-0", now).empty());
    plan.update({}, 1000);
    BOOST_TEST(plan.delegateFor("worker", "zone-0", now).empty());
}

// The load of a turn: every worker gets orders and reports ends at once. Guards against an owner,
// or a single delegate, whose processor or link carries the calls to hundreds of workers.
BOOST_AUTO_TEST_CASE(NoDelegateCarriesMoreThanItsShareOfATurn)
{
    constexpr int workers = 350;
    DelegatePlan plan;
    plan.update(site(8), workers);
    std::map<std::string, int> counts;
    for (const auto &[worker, delegate] : assign(plan, workers))
        ++counts[delegate];
    BOOST_TEST(!counts.contains(""));
    for (const auto &node : plan.delegates())
        BOOST_TEST(counts[node.address]
                   <= 1.6 * std::min(workers / 8.0, DelegatePlan::workersOf(node)));
}

BOOST_AUTO_TEST_CASE(SmallLinksTakeFewerWorkersThanSmallProcessorsWould)
{
    const DelegateCandidate slowLink{"a", "a:1", "z", 120, 0.25e6};
    const DelegateCandidate fastLink{"a", "a:1", "z", 120, 25e6};
    BOOST_TEST(DelegatePlan::workersOf(slowLink) < DelegatePlan::workersOf(fastLink));
    BOOST_TEST(DelegatePlan::workersOf(slowLink) * 9000 <= 0.4 * 0.25e6);
}

// Bytes between zones cost the users, so that workers are called from their own zone.
BOOST_AUTO_TEST_CASE(WorkersAreCalledFromTheirOwnZone)
{
    DelegatePlan plan;
    plan.update(site(8), 350);
    for (int n = 0; n < 350; ++n) {
        const auto zone = "zone-" + std::to_string(n % 3);
        BOOST_TEST(plan.delegateFor(workerName(n), zone, now).starts_with(zone));
    }
}

// Guards against a lost node whose workers all move to the same other node, and against workers
// that change their delegate because of a loss that does not concern them.
BOOST_AUTO_TEST_CASE(WorkersOfALostDelegateAreSpreadAndOthersStay)
{
    constexpr int workers = 350;
    DelegatePlan plan;
    plan.update(site(8), workers);
    const auto before = assign(plan, workers);
    const auto lost = before.at(workerName(0));
    plan.failed(lost, now);
    const auto after = assign(plan, workers, now + 1s);
    std::set<std::string> heirs;
    for (const auto &[worker, delegate] : before) {
        if (delegate == lost)
            heirs.insert(after.at(worker));
        else
            BOOST_TEST(after.at(worker) == delegate);
    }
    BOOST_TEST(!heirs.contains(lost));
    BOOST_TEST(heirs.size() >= 2U);
    BOOST_TEST((assign(plan, workers, now + 10s) == before));
}

BOOST_AUTO_TEST_CASE(ZoneWithoutUsableDelegatesIsServedFromOthers)
{
    DelegatePlan plan;
    plan.update(site(8), 350);
    for (const auto &node : plan.delegates()) {
        if (node.zone == "zone-0")
            plan.failed(node.address, now);
    }
    const auto delegate = plan.delegateFor("worker", "zone-0", now);
    BOOST_TEST(!delegate.empty());
    BOOST_TEST(!delegate.starts_with("zone-0"));
}

BOOST_AUTO_TEST_CASE(OwnerCallsWorkersItselfIfNoDelegateAnswers)
{
    DelegatePlan plan;
    plan.update(site(8), 350);
    for (const auto &node : plan.delegates())
        plan.failed(node.address, now);
    BOOST_TEST(plan.delegateFor("worker", "zone-0", now).empty());
}

// A link for each node would cost the owner more than it saves.
BOOST_AUTO_TEST_CASE(OnlyAsManyNodesAsNeededBecomeDelegates)
{
    DelegatePlan plan;
    plan.update(site(30), 350);
    BOOST_TEST(plan.delegates().size() <= 18U);
    BOOST_TEST(plan.delegates().size() >= 8U);
    plan.update(site(30), 1000);
    BOOST_TEST(plan.delegates().size() >= 24U);
}

BOOST_AUTO_TEST_SUITE_END()
