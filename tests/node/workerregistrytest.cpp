#include "fakestore.h"

#include "dragonflysill/jobs/scheduler.h"
#include "dragonflysill/node/nodekeys.h"
#include "dragonflysill/node/scheduleowner.h"
#include "dragonflysill/node/workerrecord.h"
#include "dragonflysill/node/workerregistry.h"
#include "names.h"
#include "nodesettings.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

using namespace dragonflysill;
using namespace dragonflysill::test;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t startedMs = 1790000000000;
const std::string entry
        = R"({"service":"pool","address":"10.0.1.1:80","zone":"z","state":"ready","seq":4,)"
          R"("born":1790000000000,"machine":"m-1","labels":["a","r1-3"],)"
          R"("capacity":{"cpu":16000,"memMb":32768,"gpu":0}})";

/** Returns the entry in which @p part is replaced. */
std::string entryWith(std::string_view part, std::string_view replacement)
{
    auto text = entry;
    const auto at = text.find(part);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, part.size(), replacement);
}

/** A registry that follows the workers' entries in a fake store. */
struct RegistryFixture
{
    EventLoop loop;
    FakeStore store{loop};
    HttpClient client{loop};
    StateReplica replica;
    platform::NodeSettings settings;
    LoadGovernor governor;
    LinkBudget linkBudget{0};
    NodePeers peers{loop, [](const ReceivedRequest &, const PeerServer::Respond &) {}};
    OwnerContext context{loop,     store,      client, client, client, replica, settings,
                         governor, linkBudget, peers,  {},     {},     {}};
    Scheduler scheduler{SchedulerSettings{}, 0};
    int changes = 0;
    WorkerRegistry registry{context, scheduler, store.put(std::string(nodekeys::owner), "node"),
                            [this] { ++changes; }};

    RegistryFixture()
    {
        store.pageSize = 100;
        store.watchLimit = 1000000;
    }

    /** Writes the entry of a worker, as the worker or another writer does. */
    void put(const std::string &id, const std::string &bytes)
    {
        store.put(platform::prefixWorkers + id, bytes);
    }

    /** Runs the loop until the condition holds, or until the store has answered many polls. */
    template <typename Condition>
    bool runUntil(Condition condition)
    {
        const int lastWatch = store.watches + 500;
        while (!condition() && store.watches < lastWatch)
            loop.context().run_one();
        return condition();
    }

    /**
     * Writes an entry and runs the loop until the registry has read it. The poll that is being
     * answered may not contain it yet.
     */
    void putAndRead(const std::string &id, const std::string &bytes)
    {
        put(id, bytes);
        BOOST_REQUIRE(runUntil([&, before = changes] { return changes > before + 1; }));
    }

    [[nodiscard]] bool usable(const std::string &id) const
    {
        const auto *it = scheduler.worker(id);
        return it != nullptr && it->usable(EventLoop::now());
    }

    /** Adds a worker that has answered. */
    void addWorker(const std::string &id)
    {
        put(id, entry);
        registry.start();
        BOOST_REQUIRE(runUntil([&] { return scheduler.worker(id) != nullptr; }));
        WorkerReport report;
        report.startedMs = startedMs;
        scheduler.holdAnswered(id, report, EventLoop::now(), EventLoop::now());
        BOOST_REQUIRE(usable(id));
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(RegistryOfWorkers)

// Guards against running workers that are lost because another writer replaced their entry for one
// heartbeat: their runs would end with their hold, and their next entries would look outdated.
BOOST_AUTO_TEST_CASE(WorkerWhoseEntryIsOddForOneHeartbeatIsKept)
{
    const std::vector<std::pair<std::string, std::string>> oddEntries{
            {"bytes", "\xff\xfe"},
            {"nesting", std::string(100000, '[')},
            {"start time", entryWith("1790000000000", "9e18")},
            {"capacity", entryWith("16000", "9223372036854775807")},
            {"port", entryWith(":80", ":99999")},
            {"service", entryWith(R"("pool")", "\"\"")},
            {"unknown service", entryWith(R"("pool")", R"("unknown")")},
            {"machine", entryWith("m-1", std::string(1000, 'm'))}};
    for (const auto &[what, odd] : oddEntries) {
        RegistryFixture it;
        it.registry.addPools({"pool"});
        it.addWorker("i-7");
        it.putAndRead("i-7", odd);
        const auto *worker = it.scheduler.worker("i-7");
        BOOST_REQUIRE(worker != nullptr);
        BOOST_TEST(worker->reachable, "odd " << what << ": reachable");
        BOOST_TEST(worker->description.address == "10.0.1.1:80", "odd " << what << ": address");
        BOOST_TEST(worker->description.pool == "pool", "odd " << what << ": pool");
        BOOST_TEST(worker->description.instance == "m-1", "odd " << what << ": instance");
        BOOST_TEST(worker->description.capacity.milliCores == 16000,
                   "odd " << what << ": capacity");
        it.putAndRead("i-7", entry);
        BOOST_TEST(it.usable("i-7"), "good after odd " << what << ": usable");
        BOOST_TEST(!worker->unlistAt.has_value(), "good after odd " << what << ": listed");
    }
}

// Guards against jobs that run twice: a worker is retired once a later one runs on its instance.
BOOST_FIXTURE_TEST_CASE(EntryThatStartsInTheFarFutureRetiresNoWorker, RegistryFixture)
{
    addWorker("i-7");
    putAndRead("odd", entryWith("1790000000000", "9223372036854775807"));
    BOOST_TEST(runUntil([&] { return scheduler.worker("odd") != nullptr; }) == false);
    BOOST_TEST(!scheduler.worker("i-7")->retired);
    BOOST_TEST(usable("i-7"));
}

// Guards against owners that use no new worker: all records of one write are refused if the key of
// one of them is too long.
BOOST_FIXTURE_TEST_CASE(EntryWithALongPoolNameDoesNotBlockTheRecordsOfOthers, RegistryFixture)
{
    addWorker("i-7");
    put("odd", entryWith(R"("pool")", '"' + std::string(190, 'p') + '"'));
    putAndRead("i-8", entryWith("m-1", "m-2"));
    BOOST_TEST(runUntil([&] { return scheduler.worker("i-8") != nullptr; }));
}

// Guards against use after free: the scheduler takes an empty id for a worker that it does not
// know.
BOOST_FIXTURE_TEST_CASE(EntryWithoutAnIdIsNoWorker, RegistryFixture)
{
    addWorker("i-7");
    putAndRead("", entryWith("m-1", "m-2"));
    BOOST_TEST(!runUntil([&] { return scheduler.worker("") != nullptr; }));
}

// The entry of a new pool's worker may be read before the configuration that adds the pool.
BOOST_FIXTURE_TEST_CASE(WorkerOfAPoolThatIsConfiguredLaterIsUsed, RegistryFixture)
{
    registry.addPools({"pool"});
    addWorker("i-7");
    const auto other = entryWith(R"("pool")", R"("other")");
    putAndRead("i-8", other);
    put("i-9", other);
    BOOST_TEST(!runUntil([&] { return scheduler.worker("i-8") != nullptr; }));
    store.items.erase(platform::prefixWorkers + std::string("i-9"));
    store.changes.push_back(
            {platform::prefixWorkers + std::string("i-9"), "", ++store.revision, true});
    BOOST_REQUIRE(runUntil([&, before = changes] { return changes > before + 1; }));
    registry.addPools({"other"});
    BOOST_TEST(runUntil([&] { return scheduler.worker("i-8") != nullptr; }));
    BOOST_TEST(scheduler.worker("i-9") == nullptr);
    BOOST_TEST(scheduler.worker("i-7")->listed);
}

// Guards against accepted jobs that no worker runs after a configuration without their pool.
BOOST_FIXTURE_TEST_CASE(WorkerOfAPoolThatLeftTheConfigurationIsKept, RegistryFixture)
{
    registry.addPools({"pool"});
    addWorker("i-7");
    registry.addPools({"other"});
    putAndRead("i-7", entryWith(R"("seq":4)", R"("seq":5)"));
    BOOST_TEST(usable("i-7"));
}

// Guards against the same after a change of the owner, who knows the newest configuration alone.
BOOST_FIXTURE_TEST_CASE(RecordedWorkerOfAPoolThatLeftTheConfigurationIsKept, RegistryFixture)
{
    WorkerDescription recorded;
    recorded.id = "i-7";
    recorded.address = "10.0.1.1:80";
    const std::vector<WorkerDescription> workers{recorded};
    replica.applyOwn(nodekeys::key(nodekeys::workers, "pool"), encodeWorkerRecord(workers),
                     store.revision);
    put("i-7", entry);
    registry.addPools({"other"});
    registry.start();
    BOOST_REQUIRE(runUntil([&] { return changes > 0; }));
    BOOST_REQUIRE(scheduler.worker("i-7") != nullptr);
    BOOST_TEST(scheduler.worker("i-7")->listed);
}

// Guards against two runs of a task: a successor does not wait for the hold of a worker that is
// missing in the record. The write that removes the worker is carried out without an answer, and
// the worker is back under its id before it is repeated.
BOOST_FIXTURE_TEST_CASE(WorkerThatIsBackAfterALostRemovalIsRecordedBeforeItIsUsed, RegistryFixture)
{
    addWorker("i-7");
    putAndRead("i-8", entryWith("m-1", "m-2"));
    BOOST_REQUIRE(runUntil([&] { return scheduler.worker("i-8") != nullptr; }));
    // Writes that only remove workers are a second apart.
    std::this_thread::sleep_for(1100ms);
    store.faults = {FakeStore::Fault::LostAfter};
    scheduler.retireWorker("i-7", Scheduler::WorkerEnd::Down, EventLoop::now());
    const auto key = platform::prefixWorkers + std::string("i-7");
    store.items.erase(key);
    store.changes.push_back({key, "", ++store.revision, true});
    BOOST_REQUIRE(runUntil([&] { return store.faults.empty(); }));
    put("i-7", entryWith("1790000000000", "1790000005000"));
    BOOST_REQUIRE(runUntil([&] { return !scheduler.worker("i-7")->retired; }));
    const auto &record = store.items.at(nodekeys::key(nodekeys::workers, "pool"));
    const auto recorded = decodeWorkerRecord("pool", record.value);
    BOOST_REQUIRE(recorded.ok());
    BOOST_TEST(std::ranges::count(*recorded, "i-7", &WorkerDescription::id) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
