#include "dragonflysill/zones/zoneservice.h"
#include "dragonflysill/base/storekeys.h"
#include "dragonflysill/standin/memorystore.h"
#include "dragonflysill/zones/viewclient.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <thread>

using namespace dragonflysill;
using namespace std::chrono_literals;

namespace {

constexpr auto limit = 20s;

template <typename Condition>
bool eventually(Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(5ms);
    }
    return true;
}

/** A control process without its program. */
struct Control
{
    Control(const std::string &name, Store &store, std::vector<std::string> seeds = {},
            std::int64_t leaseSeconds = 5)
        : timeline("control/" + name)
    {
        ZoneServiceSettings settings;
        settings.zone.self.name = name;
        settings.zone.self.region = "r";
        settings.zone.self.zone = "z";
        settings.zone.seeds = std::move(seeds);
        settings.listenAddress = "127.0.0.1:0";
        settings.leaseSeconds = leaseSeconds;
        service = std::make_unique<ZoneService>(settings, store, view, reports, fence, timeline);
        service->onReadinessChange([this](bool value) { ready = value; });
        address = "127.0.0.1:" + std::to_string(service->start().value());
    }
    ~Control()
    {
        if (service)
            service->stop();
    }

    Timeline timeline;
    SharedView view;
    MemberReports reports;
    Fence fence;
    std::atomic<bool> ready = false;
    std::string address;
    std::unique_ptr<ZoneService> service;
};

/** An entry process without its program. */
struct Entry
{
    Entry(const std::string &name, const std::string &address)
        : timeline("entry/" + name)
        , client({address, name, "r", "z"}, view, timeline)
    {
        client.start();
    }

    Timeline timeline;
    SharedView view;
    ViewClient client;
};

void acceptTicket(MemoryStore &store, std::int64_t number, int pools = 1)
{
    const std::string text = std::to_string(number);
    Transaction transaction;
    transaction.success.emplace_back(PutOperation{std::string(storekeys::latestTicket),
                                                  R"({"number":)" + text + R"(,"id":"t"})", 0});
    for (int n = 0; n < pools; ++n) {
        const std::string name = "p" + text + "-" + std::to_string(n);
        transaction.success.emplace_back(PutOperation{storekeys::join(storekeys::pools, name),
                                                      R"({"name":")" + name
                                                              + R"(","instances":[],"note":")"
                                                              + std::string(40000, 'x') + "\"}",
                                                      0});
    }
    BOOST_REQUIRE(store.commit(transaction).ok());
}

bool hasKey(MemoryStore &store, const std::string &key)
{
    return !store.range({key, {}}).value().keyValues.empty();
}

bool recorded(const Timeline &timeline, EventKind kind)
{
    const auto events = timeline.events();
    return std::any_of(events.begin(), events.end(),
                       [kind](const Event &it) { return it.kind == kind; });
}

std::int64_t ticketOf(const SharedView &view)
{
    return view.get()->configuration.ticket;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ZoneServices)

// Guards against an entry process that serves before it is registered or has the newest state, and
// against a full state that exceeds one frame.
BOOST_AUTO_TEST_CASE(EntryGetsTheStateAndItsDrainReportsReachAllMembers)
{
    MemoryStore store;
    for (int n = 1; n <= 2; ++n)
        acceptTicket(store, n, 60);
    Control one("one", store);
    Control two("two", store);
    BOOST_REQUIRE(eventually([&] { return one.ready && two.ready; }));
    Entry entry("two", two.address);
    BOOST_REQUIRE(eventually([&] { return ticketOf(entry.view) == 2; }));
    BOOST_TEST(entry.view.get()->configuration.pools.size() == 120U);
    BOOST_TEST(hasKey(store, storekeys::join(storekeys::entries, "two")));
    acceptTicket(store, 3);
    BOOST_TEST(eventually([&] { return ticketOf(entry.view) == 3; }));

    entry.client.reportDrained({{"i1", 4}});
    BOOST_TEST(eventually([&] {
        const auto reports = one.reports.snapshot();
        return std::any_of(reports.begin(), reports.end(), [](const MemberReport &it) {
            return it.name == "two" && it.alive
                   && it.drained == std::vector<DrainedInstance>{{"i1", 4}};
        });
    }));
    BOOST_TEST(store.calls().watches <= 2);
}

// Guards against moves that wait for an entry process that ended gracefully, and against one whose
// registration disappears although it only lost its control process.
BOOST_AUTO_TEST_CASE(OnlyAGracefulStopRemovesTheEntryRegistration)
{
    MemoryStore store;
    acceptTicket(store, 1);
    auto control = std::make_unique<Control>("one", store);
    const std::string key = storekeys::join(storekeys::entries, "one");
    auto entry = std::make_unique<Entry>("one", control->address);
    BOOST_REQUIRE(eventually([&] { return ticketOf(entry->view) == 1; }));
    control.reset();
    BOOST_TEST(eventually([&] { return !entry->client.connected(); }));
    BOOST_TEST(hasKey(store, key));
    BOOST_TEST(!hasKey(store, storekeys::join(storekeys::members, "one")));
    BOOST_TEST(ticketOf(entry->view) == 1);

    control = std::make_unique<Control>("one", store);
    Entry again("one", control->address);
    BOOST_REQUIRE(eventually([&] { return ticketOf(again.view) == 1; }));
    again.client.stop();
    BOOST_TEST(eventually([&] { return !hasKey(store, key); }));
}

// Guards against a process that writes with an expired lease after a pause.
BOOST_AUTO_TEST_CASE(RegistersAnewAfterItsLeaseExpired)
{
    MemoryStore store;
    Control control("one", store, {}, 2);
    BOOST_REQUIRE(eventually([&] { return control.ready.load(); }));
    const auto before = control.fence.compare();
    BOOST_REQUIRE(before.has_value());
    const auto lease = store.range({before->key, {}}).value().keyValues.at(0).lease;
    BOOST_REQUIRE(store.expireLease(lease).ok());
    const auto stale = store.commit({{*before}, {PutOperation{"/dragonflysill/x", "", 0}}, {}});
    BOOST_TEST(!stale.value().succeeded);
    BOOST_TEST(eventually([&] {
        const auto compare = control.fence.compare();
        return compare && compare->revision > before->revision;
    }));
    BOOST_TEST(recorded(control.timeline, EventKind::LeaseLost));
    BOOST_TEST(control.service->metrics().registrations >= 1);
}

// Guards against a registration that is lost or doubled when the store's answer is lost.
BOOST_AUTO_TEST_CASE(RegistersDespiteLostAnswers)
{
    MemoryStore store;
    store.setFaults({.loseAnswers = 3});
    Control control("one", store);
    BOOST_REQUIRE(eventually([&] { return control.ready.load(); }));
    const auto compare = control.fence.compare();
    BOOST_REQUIRE(compare.has_value());
    BOOST_TEST(store.commit({{*compare}, {}, {}}).value().succeeded);
}

// Guards against tickets that are taken back by a store that restarted from an older state.
BOOST_AUTO_TEST_CASE(ReportsAStoreThatWentBack)
{
    MemoryStore store;
    acceptTicket(store, 1);
    Control control("one", store);
    BOOST_REQUIRE(eventually([&] { return ticketOf(control.view) == 1; }));
    const StoreEngine older = store.snapshot();
    for (int n = 2; n <= 5; ++n)
        acceptTicket(store, n);
    BOOST_REQUIRE(eventually([&] { return ticketOf(control.view) == 5; }));
    store.restore(older);
    BOOST_REQUIRE(eventually([&] { return control.service->metrics().storeRegressed > 0; }));
    BOOST_TEST(recorded(control.timeline, EventKind::StoreRegressed));
    // Writes lift the revision above the known one; the lower ticket number still gives it away.
    for (int n = 0; n < 40; ++n)
        store.commit({{}, {PutOperation{"/dragonflysill/waves/w", std::to_string(n), 0}}, {}});
    std::this_thread::sleep_for(2500ms);
    BOOST_TEST(ticketOf(control.view) == 5);
    acceptTicket(store, 6);
    BOOST_TEST(eventually([&] { return ticketOf(control.view) == 6; }));
}

// Guards against a watch that is not resumed, or a state that is lost, after a compaction.
BOOST_AUTO_TEST_CASE(ReadsTheFullStateAfterACompaction)
{
    MemoryStore store;
    acceptTicket(store, 1);
    Control control("one", store);
    BOOST_REQUIRE(eventually([&] { return ticketOf(control.view) == 1; }));
    store.setFaults({.down = true});
    std::this_thread::sleep_for(300ms);
    store.setFaults({});
    acceptTicket(store, 2);
    acceptTicket(store, 3);
    store.compactHistory();
    BOOST_TEST(eventually([&] { return ticketOf(control.view) == 3; }));
    BOOST_TEST(control.view.get()->configuration.pools.count("p2-0") == 1U);
}

// Guards against a member that needs the store to join and to become ready.
BOOST_AUTO_TEST_CASE(JoinsThroughASeedWhileTheStoreIsDown)
{
    MemoryStore store;
    acceptTicket(store, 1);
    Control one("one", store);
    BOOST_REQUIRE(eventually([&] { return one.ready.load(); }));
    store.setFaults({.down = true});
    Control two("two", store, {one.address});
    BOOST_REQUIRE(eventually([&] { return two.ready.load(); }));
    BOOST_TEST(ticketOf(two.view) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
