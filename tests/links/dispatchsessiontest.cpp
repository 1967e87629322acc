#include "dragonflysill/links/pooldispatcher.h"
#include "support/goldenfile.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <sstream>

using namespace dragonflysill;
using namespace std::chrono_literals;

namespace {

InstanceRecord record(const std::string &name, std::int64_t epoch = 1,
                      InstancePhase phase = InstancePhase::Serving)
{
    InstanceRecord result;
    result.name = name;
    result.address = name + ":1";
    result.zone = "a";
    result.pool = "p";
    result.epoch = epoch;
    result.phase = phase;
    return result;
}

/** A pool with simulated backend servers on a fake clock; its transcript is the golden file. */
class Session
{
public:
    explicit Session(AdmissionPolicy policy = {}, Selector selector = LeastLoadedOfTwo())
        : m_dispatcher(policy, BackendPool(selector, "a", 7))
    {
    }

    void install(const std::vector<InstanceRecord> &records, int slots)
    {
        std::vector<const InstanceRecord *> pointers;
        pointers.reserve(records.size());
        for (const auto &it : records)
            pointers.push_back(&it);
        apply(m_dispatcher.update(pointers, {slots, 64, 1}, m_now));
    }

    void arrive(RequestKey key, Duration deadline, bool repeatable = true)
    {
        m_deadlines[key] = m_now + deadline;
        PendingRequest request;
        request.key = key;
        request.deadline = m_now + deadline;
        request.repeatable = repeatable;
        apply(m_dispatcher.arrive("s", request, m_now));
    }

    void finish(RequestKey key, AttemptResult result, bool fresh = false)
    {
        const auto started = m_running.at(key);
        m_running.erase(key);
        const AttemptReport end{result, fresh, m_now - started.second};
        say("end", key, started.first.name);
        apply(m_dispatcher.finish("s", started.first, end, m_now));
        for (const HealthEvent &it : m_dispatcher.takeHealthEvents())
            say(it.ejected ? "eject" : "restore", 0, it.name);
    }

    /** Advances the clock; a running request whose service time has passed succeeds. */
    void advance(Duration step, Duration serviceTime)
    {
        const TimePoint until = m_now + step;
        for (; m_now < until; m_now += 10ms) {
            std::vector<RequestKey> done;
            for (const auto &it : m_running) {
                if (m_now - it.second.second >= serviceTime)
                    done.push_back(it.first);
            }
            for (const RequestKey key : done)
                finish(key, AttemptResult::Success);
            apply(m_dispatcher.tick(m_now));
        }
    }

    bool running(RequestKey key) const { return m_running.count(key) > 0; }
    std::string on(RequestKey key) const { return m_running.at(key).first.name; }
    std::size_t runningCount() const { return m_running.size(); }
    std::optional<Failure> rejected(RequestKey key) const
    {
        const auto it = m_rejected.find(key);
        return it == m_rejected.end() ? std::nullopt : std::optional(it->second);
    }
    bool checking(RequestKey key) const { return m_running.at(key).first.checking; }
    PoolDispatcher &dispatcher() { return m_dispatcher; }
    std::string transcript() const { return m_text.str(); }
    std::size_t lateStarts() const { return m_lateStarts; }

private:
    void apply(const DispatchActions &actions)
    {
        for (const DispatchAction &it : actions) {
            if (const auto *grant = std::get_if<Grant>(&it)) {
                m_running[grant->key] = {grant->assignment, m_now};
                m_lateStarts += m_deadlines[grant->key] <= m_now ? 1 : 0;
                say("start", grant->key, grant->assignment.name);
            } else {
                const auto &rejection = std::get<Rejection>(it);
                m_rejected[rejection.key] = rejection.failure;
                say("reject", rejection.key, toText(rejection.failure));
            }
        }
    }

    void say(std::string_view what, RequestKey key, std::string_view detail)
    {
        const auto ms
                = std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch());
        m_text << ms.count() << " ms " << what << " " << key << " " << detail << "\n";
    }

    PoolDispatcher m_dispatcher;
    TimePoint m_now{1s};
    std::map<RequestKey, std::pair<Assignment, TimePoint>> m_running;
    std::map<RequestKey, Failure> m_rejected;
    std::map<RequestKey, TimePoint> m_deadlines;
    std::size_t m_lateStarts = 0;
    std::ostringstream m_text;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Dispatch)

// Guards against any change of the order of grants and rejections through a burst, a failing
// backend server, a drain and the recovery.
BOOST_AUTO_TEST_CASE(SessionOfABurstAndADrain)
{
    Session session;
    session.install({record("a"), record("b"), record("c")}, 2);
    for (RequestKey key = 1; key <= 6; ++key)
        session.arrive(key, 300ms);
    session.advance(50ms, 40ms);
    for (RequestKey key = 10; key < 40; ++key)
        session.arrive(key, key % 3 == 0 ? 120ms : 200ms);
    session.advance(100ms, 40ms);
    session.install({record("a"), record("b", 1, InstancePhase::Leaving), record("c")}, 2);
    session.advance(200ms, 40ms);
    session.install({record("a"), record("c"), record("d", 2, InstancePhase::Warming)}, 2);
    for (RequestKey key = 50; key < 56; ++key)
        session.arrive(key, 300ms);
    session.advance(200ms, 40ms);
    support::checkGolden("burst-and-drain.txt", session.transcript());
}

// Guards against waiting requests that are started in arrival order and miss earlier deadlines.
BOOST_AUTO_TEST_CASE(ServesTheEarliestDeadlineFirst)
{
    Session session;
    session.install({record("a")}, 1);
    session.arrive(1, 500ms);
    session.arrive(2, 900ms);
    session.arrive(3, 400ms);
    session.finish(1, AttemptResult::Success);
    BOOST_TEST(session.running(3));
    BOOST_TEST(!session.running(2));
}

// Guards against a queue that grows until every response is late.
BOOST_AUTO_TEST_CASE(ShedsWhatCannotMeetItsDeadline)
{
    Session session;
    session.install({record("a")}, 1);
    session.arrive(1, 1s);
    session.advance(110ms, 100ms);
    for (RequestKey key = 10; key < 60; ++key)
        session.arrive(key, 500ms);
    BOOST_TEST((session.rejected(59) == Failure::Shed));
    BOOST_TEST(session.dispatcher().queued() <= 5U);
    session.advance(1s, 100ms);
    BOOST_TEST(session.lateStarts() == 0U);
}

// Guards against an unbounded queue before the first service time is known.
BOOST_AUTO_TEST_CASE(RejectsBeyondTheQueueCapacity)
{
    AdmissionPolicy policy;
    policy.queueCapacity = 2;
    Session session(policy);
    session.install({record("a")}, 1);
    for (RequestKey key = 1; key <= 4; ++key)
        session.arrive(key, 1s);
    BOOST_TEST(session.dispatcher().queued() == 2U);
    BOOST_TEST((session.rejected(4) == Failure::Shed));
}

// Guards against new work on an instance after the view says that it is leaving.
BOOST_AUTO_TEST_CASE(SendsNothingToALeavingInstance)
{
    Session session;
    session.install({record("a"), record("b")}, 1);
    session.arrive(1, 1s);
    session.arrive(2, 1s);
    session.arrive(3, 1s);
    session.install({record("a"), record("b", 1, InstancePhase::Leaving)}, 1);
    const RequestKey onB = session.on(1) == "b" ? 1 : 2;
    session.finish(onB, AttemptResult::Success);
    BOOST_TEST(!session.running(3));
    BOOST_TEST(session.dispatcher().backends().inFlightOn("b") == 0);
}

// Guards against a drain that is reported while an old epoch still has work in flight.
BOOST_AUTO_TEST_CASE(CountsWorkOfEveryEpochOfAnInstance)
{
    Session session;
    session.install({record("a", 1)}, 1);
    session.arrive(1, 1s);
    session.install({record("a", 2)}, 1);
    BOOST_TEST(session.dispatcher().backends().inFlightOn("a") == 1);
    session.finish(1, AttemptResult::Success);
    BOOST_TEST(session.dispatcher().backends().inFlightOn("a") == 0);
}

// Guards against callers that wait out their deadline although no backend server is left.
BOOST_AUTO_TEST_CASE(RejectsWaitingRequestsWhenNoBackendServerIsLeft)
{
    Session session;
    session.install({record("a")}, 1);
    session.arrive(1, 1s);
    session.arrive(2, 1s);
    session.install({}, 1);
    BOOST_TEST((session.rejected(2) == Failure::NoBackend));
    session.arrive(3, 1s);
    BOOST_TEST((session.rejected(3) == Failure::NoBackend));
}

// Guards against an unresponsive connection that takes its healthy backend server out of service.
BOOST_AUTO_TEST_CASE(ChecksOverANewConnectionBeforeEjecting)
{
    Session session;
    session.install({record("a"), record("b"), record("c")}, 1);
    for (RequestKey key = 1; key <= 3; ++key)
        session.arrive(key, 1s);
    session.finish(1, AttemptResult::Silent);
    session.arrive(4, 1s);
    BOOST_TEST(session.checking(4));
    session.finish(4, AttemptResult::Success, true);
    session.arrive(5, 1s);
    BOOST_TEST(!session.checking(5));
    BOOST_TEST(session.transcript().find("eject") == std::string::npos);
}

// Guards against a hanging backend server that keeps receiving work.
BOOST_AUTO_TEST_CASE(EjectsWhenTheNewConnectionIsSilentToo)
{
    Session session;
    session.install({record("a"), record("b"), record("c")}, 1);
    for (RequestKey key = 1; key <= 3; ++key)
        session.arrive(key, 1s);
    session.finish(1, AttemptResult::Silent);
    session.arrive(4, 1s);
    session.finish(4, AttemptResult::Silent, true);
    session.arrive(5, 1s);
    BOOST_TEST(!session.running(5));
    BOOST_TEST(session.transcript().find("eject") != std::string::npos);
}

// Guards against non-repeatable requests that are risked on a suspect backend server.
BOOST_AUTO_TEST_CASE(SendsOnlyRepeatableRequestsToASuspect)
{
    Session session;
    session.install({record("a")}, 1);
    session.arrive(1, 1s);
    session.finish(1, AttemptResult::Silent);
    session.arrive(2, 1s, false);
    BOOST_TEST(!session.running(2));
}

// Guards against ejections that overload the remaining backend servers.
BOOST_AUTO_TEST_CASE(EjectsAtMostAThirdOfAPool)
{
    Session session;
    std::vector<InstanceRecord> records;
    for (const char *name : {"a", "b", "c", "d", "e", "f", "g"})
        records.push_back(record(name));
    session.install(records, 8);
    for (RequestKey key = 1; key <= 400; ++key) {
        session.arrive(key, 10s);
        if (session.running(key))
            session.finish(key, AttemptResult::Failed);
    }
    std::size_t ejections = 0;
    const std::string text = session.transcript();
    for (auto at = text.find("eject"); at != std::string::npos; at = text.find("eject", at + 1))
        ++ejections;
    BOOST_TEST(ejections == 2U);
}

// Guards against a new instance that receives its full share before it is warm.
BOOST_AUTO_TEST_CASE(StartsAWarmingInstanceSlowly)
{
    Session session;
    session.install({record("a"), record("b", 2, InstancePhase::Warming)}, 8);
    for (RequestKey key = 1; key <= 16; ++key)
        session.arrive(key, 20s);
    BOOST_TEST(session.runningCount() == 9U);
    session.advance(11s, 10s);
    for (RequestKey key = 21; key <= 36; ++key)
        session.arrive(key, 20s);
    BOOST_TEST(session.runningCount() == 16U);
}

// Guards against a pool of only new instances that sheds requests although its slots are free.
BOOST_AUTO_TEST_CASE(UsesAllSlotsWhenEveryInstanceIsWarming)
{
    Session session;
    session.install({record("a", 2, InstancePhase::Warming)}, 8);
    for (RequestKey key = 1; key <= 8; ++key)
        session.arrive(key, 20s);
    BOOST_TEST(session.runningCount() == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
