#include "dragonflysill/standin/storeengine.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

using namespace dragonflysill;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start{};

PutOperation put(const std::string &key, const std::string &value, LeaseId lease = 0)
{
    return {key, value, lease};
}

Transaction write(const std::string &key, const std::string &value, LeaseId lease = 0)
{
    return {{}, {put(key, value, lease)}, {}};
}

Compare absent(const std::string &key)
{
    return {key, CompareTarget::CreateRevision, CompareRelation::Equal, 0, {}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(Engine)

// Guards against writes of one transaction that get different revisions.
BOOST_AUTO_TEST_CASE(GivesAllWritesOfATransactionOneRevision)
{
    StoreEngine engine;
    const auto result = engine.commit({{}, {put("a", "1"), put("b", "2")}, {}});
    BOOST_TEST(result->revision == 2);
    const auto range = engine.range({"a", "c"});
    BOOST_REQUIRE(range.keyValues.size() == 2U);
    BOOST_TEST(range.keyValues[0].createRevision == 2);
    BOOST_TEST(range.keyValues[1].modRevision == 2);
}

// Guards against revisions that contain no change.
BOOST_AUTO_TEST_CASE(KeepsTheRevisionWithoutAChange)
{
    StoreEngine engine;
    engine.commit(write("a", "1"));
    engine.commit({{}, {DeleteOperation{"x", {}}, RangeOperation{"a", {}}}, {}});
    BOOST_TEST(engine.revision() == 2);
}

// Guards against a comparison with the value of an absent key being true.
BOOST_AUTO_TEST_CASE(ValueComparisonOfAnAbsentKeyFails)
{
    StoreEngine engine;
    const Compare compare{"a", CompareTarget::Value, CompareRelation::NotEqual, 0, "x"};
    BOOST_TEST(!engine.commit({{compare}, {put("a", "1")}, {}})->succeeded);
    BOOST_TEST(engine.revision() == 1);
}

// Guards against a rejected transaction of which a part was written.
BOOST_AUTO_TEST_CASE(RefusedTransactionsChangeNothing)
{
    StoreEngine engine;
    const auto twice = engine.commit({{}, {put("a", "1"), put("a", "2")}, {}});
    BOOST_TEST(twice.error().is(ErrorKind::InvalidInput));
    const auto lease = engine.commit({{}, {put("a", "1"), put("b", "2", 77)}, {}});
    BOOST_TEST(lease.error().is(ErrorKind::LeaseLost));
    const std::string large(StoreEngine::maxValueBytes + 1, 'x');
    BOOST_TEST(engine.commit(write("a", large)).error().is(ErrorKind::LimitExceeded));
    const std::vector<Operation> many(129, RangeOperation{"a", {}});
    BOOST_TEST(engine.commit({{}, many, {}}).error().is(ErrorKind::LimitExceeded));
    BOOST_TEST(engine.revision() == 1);
}

// Guards against keys that remain after their lease has expired.
BOOST_AUTO_TEST_CASE(DeletesTheKeysOfAnExpiredLease)
{
    StoreEngine engine;
    const LeaseId id = engine.grantLease(10, start)->id;
    engine.commit(write("a", "1", id));
    engine.commit(write("b", "2"));
    engine.expireLeases(start + 9s);
    BOOST_TEST(engine.renewLease(id, start + 9s).ok());
    engine.expireLeases(start + 18s);
    BOOST_TEST(engine.range({"a", {}}).keyValues.size() == 1U);
    engine.expireLeases(start + 19s);
    BOOST_TEST(engine.range({"a", "z"}).keyValues.size() == 1U);
    BOOST_TEST(engine.renewLease(id, start + 19s).error().is(ErrorKind::LeaseLost));
    const auto changes = engine.changes({"a", {}}, 2);
    BOOST_TEST(changes->updates.back().deleted);
}

// Guards against a key being deleted with a lease that is no longer attached to it.
BOOST_AUTO_TEST_CASE(AWriteWithoutLeaseDetachesTheKey)
{
    StoreEngine engine;
    const LeaseId id = engine.grantLease(10, start)->id;
    engine.commit(write("a", "1", id));
    engine.commit(write("a", "2"));
    engine.revokeLease(id);
    BOOST_TEST(engine.range({"a", {}}).keyValues.size() == 1U);
}

// Guards against a watch that misses compacted changes without an error.
BOOST_AUTO_TEST_CASE(CompactionIsReportedToOlderWatches)
{
    StoreEngine engine;
    engine.commit(write("a", "1"));
    engine.commit(write("a", "2"));
    engine.compact(3);
    BOOST_TEST(engine.changes({"a", {}}, 2).error().is(ErrorKind::Compacted));
    BOOST_TEST(engine.changes({"a", {}}, 3)->updates.size() == 1U);
    BOOST_TEST(engine.compact(9).error().is(ErrorKind::InvalidInput));
}

// Guards against lease ids being reused after a restart from a snapshot.
BOOST_AUTO_TEST_CASE(RestoreGoesBackButReusesNoLease)
{
    StoreEngine engine;
    engine.commit(write("a", "1"));
    const StoreEngine snapshot = engine;
    const LeaseId lost = engine.grantLease(10, start)->id;
    engine.commit(write("a", "2"));
    engine.restore(snapshot, start + 1h);
    BOOST_TEST(engine.revision() == 2);
    BOOST_TEST(engine.range({"a", {}}).keyValues.front().value == "1");
    BOOST_TEST(engine.renewLease(lost, start).error().is(ErrorKind::LeaseLost));
    BOOST_TEST(engine.grantLease(10, start)->id != lost);
}

// Guards against a wrong interpretation of range ends; in etcd, "\0" means no end.
BOOST_AUTO_TEST_CASE(RangeEnds)
{
    const std::string unboundedEnd(1, '\0');
    BOOST_TEST(inRange("a", {"a", {}}));
    BOOST_TEST(!inRange("ab", {"a", {}}));
    BOOST_TEST(inRange("ab", {"a", "b"}));
    BOOST_TEST(!inRange("b", {"a", "b"}));
    BOOST_TEST(inRange("\xff", {"a", unboundedEnd}));
}

// Guards against a history, as watches replay it, that leads to another state than the store's.
BOOST_AUTO_TEST_CASE(HistoryRebuildsTheStateOfASimpleModel)
{
    const bool holds = rc::check("state and replayed history equal a map", [] {
        using Step = std::tuple<int, int, int>;
        const auto steps = *rc::gen::container<std::vector<Step>>(rc::gen::tuple(
                rc::gen::inRange(0, 4), rc::gen::inRange(0, 6), rc::gen::inRange(0, 9)));
        StoreEngine engine;
        std::map<std::string, std::string> model;
        for (const auto &[kind, keyNumber, valueNumber] : steps) {
            const std::string key(1, static_cast<char>('a' + keyNumber));
            const std::string value = std::to_string(valueNumber);
            if (kind == 0) {
                const bool isNew = model.emplace(key, value).second;
                RC_ASSERT(engine.commit({{absent(key)}, {put(key, value)}, {}})->succeeded
                          == isNew);
            } else if (kind == 1) {
                model[key] = value;
                engine.commit(write(key, value));
            } else if (kind == 2) {
                model.erase(key);
                engine.commit({{}, {DeleteOperation{key, {}}}, {}});
            } else {
                model.erase(model.lower_bound(key), model.end());
                engine.commit({{}, {DeleteOperation{key, std::string(1, '\0')}}, {}});
            }
        }
        std::map<std::string, std::string> state;
        const RangeResult range = engine.range({"a", "z"});
        for (const auto &it : range.keyValues)
            state[it.key] = it.value;
        std::map<std::string, std::string> replayed;
        std::int64_t revision = 0;
        const auto changes = engine.changes({"a", "z"}, 1);
        for (const auto &it : changes->updates) {
            RC_ASSERT(it.revision >= revision);
            revision = it.revision;
            if (it.deleted)
                replayed.erase(it.key);
            else
                replayed[it.key] = it.value;
        }
        RC_ASSERT(state == model);
        RC_ASSERT(replayed == model);
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
