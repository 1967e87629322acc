#include "dragonflysill/jobs/calleraccess.h"
#include "dragonflysill/base/random.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>
#include <string>

using namespace dragonflysill;
using namespace std::chrono_literals;

namespace {

using Decision = Access::Decision;

constexpr TimePoint start{100s};
constexpr AccessSettings strict{true, 5s, 3s};

/** Access for one queue that needs a key and one that does not. */
struct AccessFixture
{
    CallerAccess access;
    Queue queue;
    Queue publicQueue;

    AccessFixture()
    {
        publicQueue.isPublic = true;
        access.setSettings(strict);
        access.proof().listAnswered(start);
        setKeys({"key-a"});
    }

    void setKeys(std::vector<std::string> keys)
    {
        FleetConfiguration configuration;
        configuration.usesTeams = true;
        configuration.teams.resize(2);
        configuration.teams[0].name = "a";
        configuration.teams[0].keys = std::move(keys);
        configuration.teams[1].name = "b";
        configuration.teams[1].keys = {"key-b"};
        access.setConfiguration(configuration);
    }

    Decision decide(std::string_view key, TimePoint now) const
    {
        return access.decide(queue, key, now).decision;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AccessOfCallers, AccessFixture)

BOOST_AUTO_TEST_CASE(KeyNamesItsTeam)
{
    const auto allowed = access.decide(queue, "key-b", start);
    BOOST_TEST((allowed.decision == Decision::Allowed));
    BOOST_TEST(allowed.team == "b");
    for (const auto *key : {"", "key-", "key-c", "key-aa", "KEY-A"})
        BOOST_TEST((decide(key, start) == Decision::UnknownKey), key);
}

BOOST_AUTO_TEST_CASE(PublicQueueNeedsNeitherAKeyNorAProof)
{
    const auto none = access.decide(publicQueue, "key-c", start + 1h);
    BOOST_TEST((none.decision == Decision::Public));
    BOOST_TEST(none.team.empty());
    const auto known = access.decide(publicQueue, "key-a", start + 1h);
    BOOST_TEST((known.decision == Decision::Public));
    BOOST_TEST(known.team == "a");
    // Guards against a revoked key that reads its team's jobs below a public path.
    BOOST_TEST((known.toJob("a") == Access::ToJob::CannotTell));
    BOOST_TEST((known.toJob("b") == Access::ToJob::OtherTeam));
    BOOST_TEST((none.toJob("a") == Access::ToJob::OtherTeam));
    BOOST_TEST((none.toJob("") == Access::ToJob::Allowed));
}

BOOST_AUTO_TEST_CASE(ConfigurationWithoutTeamsAcceptsEveryCall)
{
    access.setConfiguration({});
    const auto it = access.decide(queue, "key-a", start + 1h);
    BOOST_TEST((it.decision == Decision::Public));
    BOOST_TEST(it.team.empty());
    BOOST_TEST((it.toJob("b") == Access::ToJob::Allowed));
}

// Guards against a key that is accepted after its revocation at a node that is cut off.
BOOST_AUTO_TEST_CASE(KnownKeyIsRefusedOnceTheProofHasExpired)
{
    BOOST_TEST((decide("key-a", start + 4899ms) == Decision::Allowed));
    BOOST_TEST((decide("key-a", start + 4900ms) == Decision::CannotTell));
    access.proof().pollAnswered(start + 4s);
    BOOST_TEST((decide("key-a", start + 7899ms) == Decision::Allowed));
    BOOST_TEST((decide("key-a", start + 7900ms) == Decision::CannotTell));
    access.proof().listAnswered(start); // A response that came late.
    BOOST_TEST((decide("key-a", start + 7899ms) == Decision::Allowed));
    access.setSettings({});
    BOOST_TEST((decide("key-a", start + 1h) == Decision::Allowed));
}

// Guards against "unknown key" for a key that was added while the node was cut off.
BOOST_AUTO_TEST_CASE(UnknownKeyIsOnlyRefusedForGoodWithARecentProof)
{
    BOOST_TEST((decide("key-c", start + 3s) == Decision::UnknownKey));
    BOOST_TEST((decide("", start + 3001ms) == Decision::CannotTell));
    access.setSettings({});
    BOOST_TEST((decide("key-c", start + 1h) == Decision::UnknownKey));
}

// Guards against a node that refuses keys although the store answers each poll within 240 ms.
BOOST_AUTO_TEST_CASE(PollsKeepTheProofYoungEnough)
{
    for (const auto &it : {AccessSettings{true, 5s, 3s}, {true, 5s, 2s}, {true, 3600s, 3600s}}) {
        const auto wait = ConfigurationProof::pollWait(it);
        const auto oldest = 1s + 2 * (wait + 240ms);
        BOOST_TEST((oldest <= it.configurationTime && oldest <= it.revocationTime / 2));
        BOOST_TEST((wait > 0ms && wait <= 1s));
    }
    BOOST_TEST((ConfigurationProof::pollWait({true, 1s, 1s}) == 100ms));
}

/**
 * A node that polls a store, with random delays, losses, pauses of the node and one time at which
 * the store discards its history: its polls then return no changes for a second.
 */
struct RevocationModel
{
    Random random;
    TimePoint removedAt;
    TimePoint silentFrom;

    explicit RevocationModel(std::uint64_t seed)
        : random(seed)
        , removedAt(start + upTo(8s))
        , silentFrom(std::max(start, removedAt - upTo(1500ms)))
    {
    }

    Duration upTo(Duration limit)
    {
        return Duration(
                static_cast<Duration::rep>(random.unit() * static_cast<double>(limit.count())));
    }

    /** Returns whether a poll that the store handles at a time shows the removal. */
    [[nodiscard]] bool shown(TimePoint handledAt) const
    {
        const bool silent = handledAt >= silentFrom && handledAt < silentFrom + 1s;
        return removedAt <= handledAt && !(silent && removedAt >= silentFrom);
    }

    /** Returns when the node last accepts the key. */
    TimePoint lastAccepted(AccessFixture &node)
    {
        TimePoint last = start;
        auto now = start;
        bool listNext = true;
        while (now < start + 20s) {
            const auto sentAt = now;
            const bool list = std::exchange(listNext, random.unit() < 0.1);
            const auto handledAt = sentAt + upTo(300ms);
            const auto answeredAt = handledAt + upTo(random.unit() < 0.2 ? 9s : 300ms);
            // Callers ask until the response has been applied.
            for (auto at = sentAt; at <= answeredAt; at += 10ms) {
                if (node.decide("key-a", at) == Decision::Allowed)
                    last = at;
            }
            now = answeredAt;
            if (random.unit() < 0.2)
                continue; // The response is lost.
            if (list ? removedAt <= handledAt : shown(handledAt))
                node.setKeys({});
            if (list)
                node.access.proof().listAnswered(sentAt);
            else
                node.access.proof().pollAnswered(sentAt);
        }
        return last;
    }
};

// Rule of the revocation: no call that is sent later than the revocation time after the removal is
// accepted, also if the partition begins with the removal, a response is late, or polls are silent.
BOOST_AUTO_TEST_CASE(RemovedKeyIsNeverAcceptedAfterTheRevocationTime)
{
    std::size_t served = 0;
    for (std::uint64_t seed = 0; seed < 2000; ++seed) {
        AccessFixture node;
        RevocationModel model(seed);
        const auto last = model.lastAccepted(node);
        BOOST_REQUIRE_MESSAGE(last <= model.removedAt + strict.revocationTime,
                              "seed " << seed << ": accepted " << toSeconds(last - model.removedAt)
                                      << " s after");
        served += last > model.removedAt ? 1U : 0U;
    }
    BOOST_TEST(served > 500U); // The model reaches the interesting times.
}

BOOST_AUTO_TEST_SUITE_END()
