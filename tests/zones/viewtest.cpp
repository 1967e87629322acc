#include "dragonflysill/zones/view.h"
#include "dragonflysill/base/random.h"
#include "dragonflysill/base/storekeys.h"
#include "dragonflysill/zones/sharedview.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace dragonflysill;

namespace {

KeyUpdate head(std::int64_t number, std::int64_t revision)
{
    const std::string value = R"({"number":)" + std::to_string(number) + R"(,"id":"t"})";
    return {std::string(storekeys::latestTicket), value, revision, false};
}

KeyUpdate pool(const std::string &name, std::int64_t revision)
{
    return {storekeys::join(storekeys::pools, name), R"({"name":")" + name + R"(","ticket":1})",
            revision, false};
}

} // namespace

BOOST_AUTO_TEST_SUITE(ViewBuilding)

// Guards against a configuration that reverts when a store answers with an older state.
BOOST_AUTO_TEST_CASE(RefusesALowerRevision)
{
    ViewBuilder builder;
    BOOST_REQUIRE(builder.apply(std::vector{head(1, 10), pool("a", 10)}, 10).ok());
    const auto older = builder.apply({}, 9);
    BOOST_REQUIRE(!older.ok());
    BOOST_TEST(older.error().is(ErrorKind::StoreRegressed));
    BOOST_TEST(builder.view()->revision == 10);
}

// Guards against a store restored from a snapshot whose revision has since passed ours.
BOOST_AUTO_TEST_CASE(RefusesALowerTicketAtAHigherRevision)
{
    ViewBuilder builder;
    BOOST_REQUIRE(builder.apply(std::vector{head(5, 10), pool("a", 10)}, 10).ok());
    const auto older = builder.replace(std::vector{head(4, 30)}, 30);
    BOOST_REQUIRE(!older.ok());
    BOOST_TEST(older.error().is(ErrorKind::StoreRegressed));
    BOOST_TEST(builder.view()->configuration.pools.count("a") == 1U);
}

// Guards against one unreadable value that takes the last good state with it.
BOOST_AUTO_TEST_CASE(KeepsTheLastGoodValueOfACorruptKey)
{
    ViewBuilder builder;
    BOOST_REQUIRE(builder.apply(std::vector{pool("a", 1), pool("b", 1)}, 1).ok());
    const KeyUpdate corrupt{storekeys::join(storekeys::pools, "a"), "\xff{", 2, false};
    BOOST_REQUIRE(builder.apply(std::vector{corrupt, pool("c", 2)}, 2).ok());
    BOOST_TEST(builder.view()->configuration.pools.size() == 3U);
    BOOST_TEST(builder.corruptValues() == 1);
}

// Guards against a full state that leaves deleted objects behind.
BOOST_AUTO_TEST_CASE(ReplaceRemovesMissingKeys)
{
    ViewBuilder builder;
    BOOST_REQUIRE(builder.apply(std::vector{pool("a", 1), pool("b", 1)}, 1).ok());
    BOOST_REQUIRE(builder.replace(std::vector{pool("b", 1)}, 4).ok());
    BOOST_TEST(builder.view()->configuration.pools.size() == 1U);
    BOOST_TEST(builder.fullState().size() == 1U);
}

// Guards against an update that arrives twice or late and undoes a newer one.
BOOST_AUTO_TEST_CASE(KeepsTheNewerOfTwoUpdatesForOneKey)
{
    ViewBuilder builder;
    KeyUpdate newer = pool("a", 5);
    newer.value = R"({"name":"a","ticket":2})";
    BOOST_REQUIRE(builder.apply(std::vector{newer}, 5).ok());
    BOOST_REQUIRE(builder.apply(std::vector{pool("a", 4)}, 6).ok());
    BOOST_TEST(builder.view()->configuration.pools.at("a").ticket == 2);
}

// Guards against a view that changes under a reader, because the builder edits an older view again.
BOOST_AUTO_TEST_CASE(AHeldViewNeverChanges)
{
    ViewBuilder builder;
    std::vector<ViewPointer> held;
    for (int n = 1; n <= 6; ++n) {
        const std::vector updates{pool("p" + std::to_string(n), n)};
        const auto view = builder.apply(updates, n);
        BOOST_REQUIRE(view.ok());
        if (n % 2 == 0)
            held.push_back(*view);
    }
    for (const auto &it : held)
        BOOST_TEST(it->configuration.pools.size() == static_cast<std::size_t>(it->revision));
}

// Guards against changes that lead to another state than reading everything anew; seed 3.
BOOST_AUTO_TEST_CASE(ChangesLeadToTheSameStateAsAFullRead)
{
    Random random(3);
    ViewBuilder builder;
    for (int n = 1; n <= 500; ++n) {
        std::vector<KeyUpdate> updates;
        for (std::size_t k = 0; k <= random.below(3); ++k) {
            KeyUpdate update = pool("p" + std::to_string(random.below(12)), n);
            update.value.insert(1, R"("max_unavailable":)" + std::to_string(n) + ",");
            update.deleted = random.below(4) == 0;
            updates.push_back(update);
        }
        if (random.below(10) == 0)
            BOOST_REQUIRE(builder.replace(updates, n).ok());
        else
            BOOST_REQUIRE(builder.apply(updates, n).ok());
        ViewBuilder fresh;
        BOOST_REQUIRE(fresh.replace(builder.fullState(), n).ok());
        BOOST_REQUIRE((fresh.view()->configuration == builder.view()->configuration));
    }
}

// Guards against a reader that sees an older view after a newer one.
BOOST_AUTO_TEST_CASE(SharedViewIgnoresAnOlderView)
{
    SharedView shared;
    auto newer = std::make_shared<View>();
    newer->revision = 7;
    shared.set(newer);
    shared.set(std::make_shared<View>());
    BOOST_TEST(shared.get()->revision == 7);
}

BOOST_AUTO_TEST_SUITE_END()
