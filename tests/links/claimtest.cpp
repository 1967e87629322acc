#include "dragonflysill/base/storekeys.h"
#include "dragonflysill/links/claimbatcher.h"
#include "dragonflysill/links/claimwriter.h"
#include "dragonflysill/standin/memorystore.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace dragonflysill;
using namespace std::chrono_literals;

namespace {

/** An entry process on a fake clock: its decisions, and a store call that a test runs when it says.
 */
class FakeEntry
{
public:
    FakeEntry(MemoryStore &store, std::string name, TimePoint &now, ClaimSettings settings = {})
        : batcher(settings)
        , m_store(store)
        , m_name(std::move(name))
        , m_now(now)
    {
    }

    /** Adds a request that waits for 1 s and returns its id. */
    ClaimId request(const std::string &key)
    {
        const ClaimId id = ++m_lastId;
        const std::string requestId = m_name + "-" + std::to_string(id);
        const std::string value = encodeClaim({m_name, 1, id, requestId});
        take(batcher.add(id, {claimKey("pay", key), value}, requestId, m_now + 1s, m_now));
        return id;
    }

    /** Executes the oldest store call at the store without reporting its end. */
    void execute()
    {
        m_executed.push_back(m_calls.front());
        m_calls.erase(m_calls.begin());
        const ClaimAction &action = m_executed.back();
        if (const auto *lease = std::get_if<GrantClaimLease>(&action)) {
            const auto granted = m_store.grantLease(lease->ttlSeconds);
            m_leases.push_back(granted ? granted->id : 0);
        } else {
            m_results.push_back(commit(action));
        }
    }

    /** Reports the end of the oldest executed call. */
    void report()
    {
        const ClaimAction action = m_executed.front();
        m_executed.erase(m_executed.begin());
        if (const auto *lease = std::get_if<GrantClaimLease>(&action)) {
            const LeaseId id = m_leases.front();
            m_leases.erase(m_leases.begin());
            take(batcher.leaseFinished(lease->call, id, m_now));
            return;
        }
        const ClaimCallResult result = m_results.front();
        m_results.erase(m_results.begin());
        take(batcher.callFinished(callOf(action), result, m_now));
    }

    /** Runs store calls until none is left. */
    void runAll()
    {
        while (!m_calls.empty()) {
            execute();
            report();
        }
    }

    /** Lets time pass and acts on what is due. */
    void advance(Duration time)
    {
        m_now += time;
        take(batcher.tick(m_now));
        runAll();
    }

    /** Returns the decisions so far, for example "granted 1, refused 2 deadline-exceeded". */
    [[nodiscard]] const std::string &decisions() const { return m_decisions; }

    [[nodiscard]] std::size_t waitingCalls() const { return m_calls.size(); }

    /** Returns the key and value of a request. */
    ClaimEntry entryOf(ClaimId id, const std::string &key) const
    {
        const std::string requestId = m_name + "-" + std::to_string(id);
        return {claimKey("pay", key), encodeClaim({m_name, 1, id, requestId})};
    }

    void abandon(const ClaimEntry &entry) { take(batcher.release(entry, m_now)); }

    ClaimBatcher batcher;

private:
    static ClaimCallId callOf(const ClaimAction &action)
    {
        if (const auto *it = std::get_if<CommitClaims>(&action))
            return it->call;
        if (const auto *it = std::get_if<ReadClaims>(&action))
            return it->call;
        return std::get<DeleteClaims>(action).call;
    }

    ClaimCallResult commit(const ClaimAction &action)
    {
        Transaction transaction;
        if (const auto *it = std::get_if<CommitClaims>(&action))
            transaction = createClaims(it->claims, it->lease);
        else if (const auto *it = std::get_if<ReadClaims>(&action))
            transaction = readClaims(it->claims);
        else
            transaction = deleteClaims(std::get<DeleteClaims>(action).claims);
        using Kind = ClaimCallResult::Kind;
        const auto result = m_store.commit(transaction);
        if (!result) {
            if (result.error().is(ErrorKind::LeaseLost))
                return {Kind::LeaseLost, 0, {}};
            const bool unknown = result.error().is(ErrorKind::OutcomeUnknown);
            return {unknown ? Kind::Unknown : Kind::Unavailable, 0, {}};
        }
        return {result->succeeded ? Kind::Succeeded : Kind::Failed, result->revision,
                claimValues(*result)};
    }

    void note(const std::string &text) { m_decisions += (m_decisions.empty() ? "" : ", ") + text; }

    void take(ClaimActions actions)
    {
        for (ClaimAction &it : actions) {
            if (const auto *granted = std::get_if<ClaimGranted>(&it))
                note("granted " + std::to_string(granted->id));
            else if (const auto *duplicate = std::get_if<ClaimDuplicate>(&it))
                note("duplicate " + std::to_string(duplicate->id) + " of " + duplicate->requestId);
            else if (const auto *refused = std::get_if<ClaimRefused>(&it))
                note("refused " + std::to_string(refused->id) + " "
                     + std::string(toText(refused->reason)));
            else
                m_calls.push_back(std::move(it));
        }
    }

    MemoryStore &m_store;
    const std::string m_name;
    TimePoint &m_now;
    ClaimId m_lastId = 0;
    std::vector<ClaimAction> m_calls;
    std::vector<ClaimAction> m_executed;
    std::vector<ClaimCallResult> m_results;
    std::vector<LeaseId> m_leases;
    std::string m_decisions;
};

struct Entries
{
    TimePoint now{1h};
    MemoryStore store{[this] { return now; }};
    FakeEntry a{store, "a", now};
    FakeEntry b{store, "b", now};

    std::size_t claimsInStore()
    {
        const std::string prefix(storekeys::claims);
        return store.range({prefix, storekeys::rangeEnd(prefix)}).value().keyValues.size();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Claims, Entries)

// Guards against a payment that two entry processes both send.
BOOST_AUTO_TEST_CASE(GrantsAKeyToOneOfTwoEntries)
{
    a.request("k");
    b.request("k");
    a.runAll();
    b.runAll();
    BOOST_TEST(a.decisions() == "granted 1");
    BOOST_TEST(b.decisions() == "duplicate 1 of a-1");
}

// Guards against one duplicate that makes the other requests of its group fail.
BOOST_AUTO_TEST_CASE(RepeatsAGroupWithoutItsDuplicates)
{
    a.request("k2");
    a.runAll();
    b.request("k1");
    b.request("k2");
    b.request("k3");
    b.runAll();
    BOOST_TEST(b.decisions() == "duplicate 2 of a-1, granted 1, granted 3");
}

// Guards against a caller that repeats through the same entry process while its request waits.
BOOST_AUTO_TEST_CASE(ReportsADuplicateThatIsStillWaiting)
{
    a.request("k");
    a.request("k");
    a.runAll();
    BOOST_TEST(a.decisions() == "duplicate 2 of a-1, granted 1");
}

// Guards against a repeated request id that takes the first request's claim for its own.
BOOST_AUTO_TEST_CASE(DistinguishesARepetitionWithTheSameRequestId)
{
    a.request("k");
    a.runAll();
    store.setFaults({.loseRequests = 1});
    a.request("k");
    a.runAll();
    BOOST_TEST(a.decisions() == "granted 1, duplicate 2 of a-1");
}

// Guards against a request that is refused although its claim was written, or sent twice.
BOOST_AUTO_TEST_CASE(ReadsBackAfterALostAnswer)
{
    a.request("first");
    a.runAll();
    store.setFaults({.loseAnswers = 1});
    a.request("k");
    a.runAll();
    a.advance(100ms);
    BOOST_TEST(a.decisions() == "granted 1, granted 2");
    BOOST_TEST(a.batcher.counters().unknownCommits == 1);
}

// Guards against a write that reaches the store after it was read back as absent.
BOOST_AUTO_TEST_CASE(GrantsOnceWhenALateWriteLands)
{
    a.request("first");
    a.runAll();
    store.setFaults({.loseRequests = 1});
    const ClaimId id = a.request("k");
    a.execute();
    a.report();
    a.execute(); // The read back finds nothing.
    store.commit(createClaims(std::vector{a.entryOf(id, "k")}, 0));
    a.report();
    a.runAll();
    b.request("k");
    b.runAll();
    BOOST_TEST(a.decisions() == "granted 1, granted 2");
    BOOST_TEST(b.decisions() == "duplicate 1 of a-2");
}

// Guards against "not run" for a request whose late grant is used after all.
BOOST_AUTO_TEST_CASE(RefusesWhenPausedBeyondTheDeadline)
{
    a.request("first");
    a.runAll();
    a.request("k");
    a.execute();
    now += 5s;
    a.report();
    BOOST_TEST(a.decisions() == "granted 1, refused 2 deadline-exceeded");
    a.runAll();
    BOOST_TEST(claimsInStore() == 1U);
    b.request("k");
    b.runAll();
    BOOST_TEST(b.decisions() == "granted 1");
}

// Guards against a second run after the entry process that held the claim was killed.
BOOST_AUTO_TEST_CASE(KeepsTheClaimOfAKilledEntry)
{
    a.request("k");
    a.execute(); // The lease.
    a.report();
    a.execute(); // The claim; the process ends before it learns of the grant.
    now += 30min;
    b.request("k");
    b.runAll();
    BOOST_TEST(b.decisions() == "duplicate 1 of a-1");
}

// Guards against a store full of old claims.
BOOST_AUTO_TEST_CASE(ClaimsExpireWithTheirLease)
{
    a.request("k");
    a.runAll();
    now += 1h;
    BOOST_TEST(claimsInStore() == 1U);
    now += 6min;
    b.request("other");
    b.runAll();
    BOOST_TEST(claimsInStore() == 1U);
}

// Guards against requests that wait or run without a claim while the store is down.
BOOST_AUTO_TEST_CASE(RefusesWhileTheStoreIsDown)
{
    a.request("first");
    a.runAll();
    store.setFaults({.down = true});
    a.request("k");
    a.runAll();
    const auto calls = store.calls().total();
    a.request("l");
    a.runAll();
    BOOST_TEST(a.decisions()
               == "granted 1, refused 2 store-unavailable, refused 3 store-unavailable");
    BOOST_TEST(store.calls().total() == calls);
    store.setFaults({});
    now += 3s;
    a.request("k");
    a.runAll();
    BOOST_TEST(a.decisions().ends_with("granted 4"));
}

// Guards against a deletion that removes the claim of another request.
BOOST_AUTO_TEST_CASE(DeletesAnAbandonedClaimOnlyWithItsValue)
{
    const ClaimId id = a.request("k");
    a.runAll();
    a.abandon(a.entryOf(id, "k"));
    a.runAll();
    b.request("k");
    b.runAll();
    a.abandon(a.entryOf(id, "k"));
    a.runAll();
    BOOST_TEST(b.decisions() == "granted 1");
    BOOST_TEST(claimsInStore() == 1U);
    BOOST_TEST(a.batcher.counters().deleted == 1);
}

// Guards against a claim that stays because its write landed after the request was refused.
BOOST_AUTO_TEST_CASE(DeletesAClaimThatLandsAfterItsRefusal)
{
    a.request("first");
    a.runAll();
    store.setFaults({.loseRequests = 2});
    const ClaimId id = a.request("k");
    a.runAll();
    a.advance(2s);
    BOOST_TEST(a.decisions() == "granted 1, refused 2 deadline-exceeded");
    store.commit(createClaims(std::vector{a.entryOf(id, "k")}, 0));
    a.advance(10s);
    BOOST_TEST(claimsInStore() == 1U);
}

// Guards against a duplicate that is granted because a restored store has lost its claim.
BOOST_AUTO_TEST_CASE(RefusesAfterTheStoreRegressed)
{
    a.request("first");
    a.runAll();
    const StoreEngine older = store.snapshot();
    a.request("k");
    a.runAll();
    a.request("l");
    a.runAll();
    store.restore(older);
    a.request("k");
    a.runAll();
    a.request("m");
    BOOST_TEST(a.decisions()
               == "granted 1, granted 2, granted 3, refused 4 store-regressed, "
                  "refused 5 store-regressed");
}

// Guards against requests that fail because the lease of the claims has expired early.
BOOST_AUTO_TEST_CASE(GrantsANewLeaseAfterALostOne)
{
    a.request("first");
    a.runAll();
    for (const LeaseId it : store.snapshot().leases())
        store.expireLease(it);
    a.request("k");
    a.runAll();
    BOOST_TEST(a.decisions() == "granted 1, granted 2");
    BOOST_TEST(a.batcher.counters().leasesLost == 1);
}

// Guards against an entry process that uses more than its share of the platform's calls.
BOOST_AUTO_TEST_CASE(StaysWithinItsShareOfCalls)
{
    int requests = 0;
    for (int n = 0; n < 10000; ++n) {
        a.request("k" + std::to_string(++requests));
        a.advance(1ms);
    }
    // 200 calls per second by 8 entry processes over 10 s, and the burst of 10.
    BOOST_TEST(store.calls().total() <= 10 * 200 / 8 + 10);
    BOOST_TEST(a.batcher.counters().granted > 9900);
}

// Guards against request threads that are never woken, and against two grants for one key.
BOOST_AUTO_TEST_CASE(WritersOfTwoEntriesGrantEachKeyOnce)
{
    MemoryStore real;
    real.setFaults({.loseAnswers = 3, .loseRequests = 3});
    ClaimWriter first(real, {"a", 1, {}, 4});
    ClaimWriter second(real, {"b", 1, {}, 4});
    std::vector<std::atomic<int>> granted(200);
    std::atomic<int> decided = 0;
    std::vector<std::thread> threads;
    threads.reserve(8);
    for (int n = 0; n < 8; ++n) {
        threads.emplace_back([&, n] {
            ClaimWriter &writer = n % 2 == 0 ? first : second;
            for (std::size_t key = 0; key < granted.size(); ++key) {
                const auto decision = writer.claim("pay", std::to_string(key), std::to_string(n),
                                                   steadyNow() + 20s);
                granted[key] += decision.kind == ClaimDecision::Kind::Granted ? 1 : 0;
                ++decided;
            }
        });
    }
    for (auto &it : threads)
        it.join();
    BOOST_TEST(decided == 1600);
    for (const auto &it : granted)
        BOOST_TEST(it <= 1);
}

// Guards against a stop that leaves request threads blocked.
BOOST_AUTO_TEST_CASE(StopRefusesWaitingRequests)
{
    MemoryStore slow;
    slow.setFaults({.delay = 50ms});
    ClaimWriter writer(slow, {"a", 1, {}, 1});
    std::thread stopper([&] { writer.stop(); });
    const auto decision = writer.claim("pay", "k", "r", steadyNow() + 60s);
    stopper.join();
    BOOST_TEST((decision.kind == ClaimDecision::Kind::Refused
                || decision.kind == ClaimDecision::Kind::Granted));
    BOOST_TEST(
            (writer.claim("pay", "l", "r", steadyNow() + 60s).refusal == ClaimRefusal::Stopping));
}

BOOST_AUTO_TEST_SUITE_END()
