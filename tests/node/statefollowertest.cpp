#include "fakestore.h"

#include "dragonflysill/jobs/jobcodec.h"
#include "dragonflysill/node/nodekeys.h"
#include "dragonflysill/node/ownerstore.h"
#include "dragonflysill/node/prefixwatcher.h"
#include "dragonflysill/node/statefollower.h"
#include "dragonflysill/node/statereplica.h"

#include <boost/test/unit_test.hpp>

#include <span>
#include <string>
#include <utility>
#include <vector>

using namespace dragonflysill;
using namespace dragonflysill::test;
using namespace std::chrono_literals;

namespace {

using Keys = StateFollower::Keys;

const std::string jobId = "0123456789abcdef";
const std::string jobKey = nodekeys::key(nodekeys::jobs, jobId);
const std::string progressKey = nodekeys::key(nodekeys::progress, jobId);
const std::string workersKey = nodekeys::key(nodekeys::workers, "pool");

std::string progressIn(JobStatus state)
{
    JobProgress progress;
    progress.state = state;
    return encodeProgress(progress);
}

/** A store whose pages of a list do not go on after the key that they were asked for. */
class StuckStore : public FakeStore
{
public:
    using FakeStore::FakeStore;

    void list(const std::string &prefix, const std::string &after,
              Callback<StorePage> callback) override
    {
        FakeStore::list(prefix, "", [this, after, callback](Result<StorePage> page) {
            if (!after.empty() && oddPages > 0) {
                --oddPages;
                page->more = true;
                if (empty)
                    page->items.clear();
                callback(std::move(page));
                return;
            }
            FakeStore::list(std::string(nodekeys::root), after, callback);
        });
    }

    int oddPages = 3;
    bool empty = false;
};

/** A node that follows a store with one job. */
struct FollowerFixture
{
    EventLoop loop;
    FakeStore store{loop};
    StateReplica replica;
    StateFollower follower{loop, store, replica, [] {}};

    FollowerFixture()
    {
        store.pageSize = 100;
        store.watchLimit = 0;
        store.put(jobKey, "record");
    }

    /** Follows keys until the store has answered a number of polls. */
    void follow(Keys keys, int polls)
    {
        store.watchLimit = store.watches + polls;
        follower.follow(keys, 0ms);
        loop.context().restart();
        loop.run();
    }

    /** Becomes the owner of the schedule, which follows new jobs alone. */
    void followAsOwner()
    {
        follow(Keys::All, 1);
        follow(Keys::NewJobs, 2);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FollowingOfKeys, FollowerFixture)

BOOST_AUTO_TEST_CASE(FormerOwnerGoesOnWithoutAListFromWhereItHeldTheSchedule)
{
    followAsOwner();
    follower.setKnownRevision(store.revision);
    store.put(progressKey, progressIn(JobStatus::Running));
    follow(Keys::All, 1);
    BOOST_TEST((*replica.status(jobId) == JobStatus::Running));
    BOOST_TEST(store.lists == 1);
}

// An owner that was paused reads new jobs up to a revision at which another node has already
// written progress. Guards against a node that owns the schedule again without knowing it, and
// starts tasks that have ended.
BOOST_AUTO_TEST_CASE(ProgressOfTheNextOwnerIsReadAfterTheOwnershipWasLost)
{
    follow(Keys::All, 1);
    const auto heldUpTo = store.revision;
    store.put(progressKey, progressIn(JobStatus::Completed));
    store.put(workersKey, "workers of the next owner");
    // The watchers of new jobs reach the revision of the other owner's writes.
    follow(Keys::NewJobs, 2);
    follower.setKnownRevision(heldUpTo);
    follow(Keys::All, 1);
    BOOST_TEST((*replica.status(jobId) == JobStatus::Completed));
    BOOST_REQUIRE(replica.otherItem(workersKey) != nullptr);
    BOOST_TEST(replica.otherItem(workersKey)->value == "workers of the next owner");
}

BOOST_AUTO_TEST_CASE(AllKeysAreListedIfAWriteOfTheOwnerIsNotKnown)
{
    followAsOwner();
    store.put(progressKey, progressIn(JobStatus::Completed));
    store.compactedUpTo = store.revision + 1;
    follower.setKnownRevision(0);
    follow(Keys::All, 0);
    BOOST_TEST((*replica.status(jobId) == JobStatus::Completed));
}

// Guards against nodes that read the same items again and again, until their memory is used up, or
// that take the same item twice.
BOOST_AUTO_TEST_CASE(ListBeginsAgainIfAPageDoesNotGoOn)
{
    for (const bool empty : {false, true}) {
        EventLoop loop;
        StuckStore store(loop);
        store.empty = empty;
        store.pageSize = 2;
        store.watchLimit = 0;
        const std::string root(nodekeys::root);
        for (const auto *name : {"a", "b", "c", "d", "e"})
            store.put(root + name, "value");
        std::vector<std::string> keys;
        PrefixWatcher watcher(loop, store, root, {},
                              {[&](std::span<const KeyValue> items, std::int64_t) {
                                   for (const auto &it : items)
                                       keys.push_back(it.key);
                                   loop.stop();
                               },
                               [](std::span<const KeyUpdate>, std::int64_t) {}});
        watcher.start();
        loop.run();
        const std::vector<std::string> expected{root + "a", root + "b", root + "c", root + "d",
                                                root + "e"};
        BOOST_TEST(keys == expected, boost::test_tools::per_element());
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WritesOfTheOwner, FollowerFixture)

// The owner does not follow its records of workers. Guards against a node that owns the schedule
// again and does not wait for workers that it recorded before.
BOOST_AUTO_TEST_CASE(ReplicaKnowsWhatTheOwnerHasWritten)
{
    OwnerStore ownerStore(store, replica);
    followAsOwner();
    ownerStore.write({{}, {{workersKey, "workers", 0}}, {}}, [](const Result<WriteOutcome> &) {});
    loop.context().restart();
    loop.run();
    BOOST_REQUIRE(replica.otherItem(workersKey) != nullptr);
    BOOST_TEST(replica.otherItem(workersKey)->value == "workers");
    BOOST_TEST(ownerStore.unconfirmedWrites() == 0U);
}

BOOST_AUTO_TEST_CASE(WriteWithALostResponseStaysUnconfirmed)
{
    OwnerStore ownerStore(store, replica);
    store.faults = {FakeStore::Fault::LostAfter, FakeStore::Fault::Unavailable,
                    FakeStore::Fault::Silent};
    for (int n = 0; n < 3; ++n) {
        ownerStore.write({{}, {{workersKey, "workers", 0}}, {}},
                         [](const Result<WriteOutcome> &) {});
    }
    BOOST_TEST(ownerStore.unconfirmedWrites() == 3U);
    loop.context().restart();
    loop.run();
    BOOST_TEST(ownerStore.unconfirmedWrites() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
