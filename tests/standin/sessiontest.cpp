#include "dragonflysill/standin/memorystore.h"
#include "support/goldenfile.h"

#include "dragonflysill/base/random.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <sstream>
#include <string>

using namespace dragonflysill;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seed = 20261204;

/** Runs calls against a store on a fake clock and logs each call with its result. */
class Session
{
public:
    void write(const std::string &key, const std::string &value, LeaseId lease = 0)
    {
        const auto result = m_store.commit({{}, {PutOperation{key, value, lease}}, {}});
        line("write " + key + "=" + value + ": " + outcome(result));
    }

    void read()
    {
        const auto result = m_store.range({"/", "0"});
        std::string text = "read: " + outcome(result);
        if (result) {
            for (const KeyValue &it : result->keyValues)
                text += " " + it.key + "=" + it.value + "@" + std::to_string(it.modRevision);
        }
        line(text);
    }

    /** Logs all changes from a revision on up to the current one. */
    void watch(std::int64_t start)
    {
        std::string text = "watch from " + std::to_string(start) + ":";
        const auto ended = m_store.watch(
                "/", start, [&](std::span<const KeyUpdate> updates, std::int64_t revision) {
                    for (const KeyUpdate &it : updates) {
                        text += " " + it.key + (it.deleted ? " deleted" : "=" + it.value) + "@"
                                + std::to_string(it.revision);
                    }
                    text += " complete to " + std::to_string(revision);
                    return false;
                });
        line(text + (ended ? "" : " " + std::string(errorName(ended.error().code))));
    }

    LeaseId grant(std::int64_t ttlSeconds)
    {
        const auto lease = m_store.grantLease(ttlSeconds);
        line("grant " + std::to_string(ttlSeconds) + " s: lease " + std::to_string(lease->id));
        return lease->id;
    }

    void renew(LeaseId id)
    {
        const auto lease = m_store.renewLease(id);
        line("renew " + std::to_string(id) + ": "
             + (lease ? "ok" : std::string(errorName(lease.error().code))));
    }

    void note(const std::string &text) { line(text); }
    void advance(Duration time) { m_now += time; }
    MemoryStore &store() { return m_store; }
    Random &random() { return m_random; }
    [[nodiscard]] std::string text() const { return m_text.str(); }

private:
    template <typename T>
    static std::string outcome(const Result<T> &result)
    {
        if (!result)
            return std::string(errorName(result.error().code));
        return "revision " + std::to_string(result->revision);
    }

    void line(const std::string &text)
    {
        const auto ms
                = std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch());
        m_text << ms.count() << " ms: " << text << '\n';
    }

    TimePoint m_now{};
    Random m_random{seed};
    MemoryStore m_store{[this] { return m_now; }};
    std::ostringstream m_text;
};

} // namespace

BOOST_AUTO_TEST_SUITE(StoreSessions)

// Guards against writes with a lost answer or a lost request having the wrong effect.
BOOST_AUTO_TEST_CASE(LostAnswer)
{
    Session session;
    for (int n = 0; n < 8; ++n) {
        const bool takesEffect = session.random().below(2) == 0;
        session.store().setFaults(
                {.loseAnswers = takesEffect ? 1 : 0, .loseRequests = takesEffect ? 0 : 1});
        session.note(takesEffect ? "the next answer is lost" : "the next request is lost");
        session.write("/k" + std::to_string(n % 3), std::to_string(n));
        session.read();
        session.advance(std::chrono::milliseconds(session.random().below(1000)));
    }
    support::checkGolden("lost-answer.txt", session.text());
}

// Guards against a watch that continues after a compaction although it has missed changes.
BOOST_AUTO_TEST_CASE(CompactionUnderAWatch)
{
    Session session;
    for (int n = 0; n < 4; ++n)
        session.write("/k" + std::to_string(session.random().below(2)), std::to_string(n));
    session.watch(2);
    session.write("/late", "1");
    session.store().compactHistory();
    session.note("compacted");
    session.watch(5);
    session.read();
    session.watch(7);
    session.write("/late", "2");
    session.watch(7);
    support::checkGolden("compaction.txt", session.text());
}

// Guards against a store that is restored from a snapshot without the watch showing it.
BOOST_AUTO_TEST_CASE(StoreRegressed)
{
    Session session;
    session.write("/a", "1");
    const StoreEngine older = session.store().snapshot();
    session.write("/a", "2");
    session.write("/b", "3");
    session.watch(2);
    session.store().restore(older);
    session.note("restarted from an older snapshot");
    session.watch(5);
    session.read();
    session.write("/b", "other");
    session.watch(3);
    support::checkGolden("regressed.txt", session.text());
}

// Guards against keys that are deleted before their lease expires or kept after it.
BOOST_AUTO_TEST_CASE(LeaseLapsed)
{
    Session session;
    const LeaseId first = session.grant(5);
    const LeaseId second = session.grant(10);
    session.write("/members/a", "1", first);
    session.write("/members/b", "2", second);
    for (int n = 0; n < 4; ++n) {
        session.advance(std::chrono::milliseconds(1500 + session.random().below(500)));
        session.renew(second);
        session.read();
    }
    session.store().expireLease(second);
    session.note("lease 1001 lapsed");
    session.renew(second);
    session.write("/members/b", "3", second);
    session.watch(2);
    support::checkGolden("lease-lapsed.txt", session.text());
}

BOOST_AUTO_TEST_SUITE_END()
