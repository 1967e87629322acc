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

/** A pool with simulated backend servers on a fake clock; records a transcript of all events. */
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

    void submit(RequestKey key, Duration deadline, bool repeatable = true)
    {
        m_deadlines[key] = m_now + deadline;
        PendingRequest request;
        request.key = key;
        request.deadline = m_now + deadline;
        request.repeatable = repeatable;
        apply(m_dispatcher.submit("s", request, m_now));
    }

    void finish(RequestKey key, AttemptResult result, bool fresh = false)
    {
        const auto started = m_running.at(key);
        m_running.erase(key);
        const AttemptReport end{result, fresh, m_now - started.second};
        addLine("end", key, started.first.name);
        apply(m_dispatcher.finish("s", started.first, end, m_now));
        for (const HealthEvent &it : m_dispatcher.takeHealthEvents())
            addLine(it.ejected ? "eject" : "restore", 0, it.name);
    }

    /** Advances the clock; running requests succeed after the service time. */
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
    std::string backendOf(RequestKey key) const { return m_running.at(key).first.name; }
    std::size_t runningCount() const { return m_running.size(); }
    std::optional<Failure> rejected(RequestKey key) const
    {
        const auto it = m_rejected.find(key);
        return it == m_rejected.end() ? std::nullopt : std::optional(it->second);
    }
    bool isProbe(RequestKey key) const { return m_running.at(key).first.isProbe; }
    PoolDispatcher &dispatcher() { return m_dispatcher; }
    std::string transcript() const { return m_transcript.str(); }
    std::size_t lateStarts() const { return m_lateStarts; }

private:
    void apply(const DispatchActions &actions)
    {
        for (const DispatchAction &it : actions) {
            if (const auto *grant = std::get_if<Grant>(&it)) {
                m_running[grant->key] = {grant->assignment, m_now};
                m_lateStarts += m_deadlines[grant->key] <= m_now ? 1 : 0;
                addLine("start", grant->key, grant->assignment.name);
            } else {
                const auto &rejection = std::get<Rejection>(it);
                m_rejected[rejection.key] = rejection.failure;
                addLine("reject", rejection.key, toText(rejection.failure));
            }
        }
    }

    void addLine(std::string_view what, RequestKey key, std::string_view detail)
    {
        const auto ms
                = std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch());
        m_transcript << ms.count() << " ms " << what << " " << key << " " << detail << "\n";
    }

    PoolDispatcher m_dispatcher;
    TimePoint m_now{1s};
    std::map<RequestKey, std::pair<Assignment, TimePoint>> m_running;
    std::map<RequestKey, Failure> m_rejected;
    std::map<RequestKey, TimePoint> m_deadlines;
    std::size_t m_lateStarts = 0;
    std::ostringstream m_transcript;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Dispatch)

// Guards against unintended changes of the order of grants and rejections during a burst, the drain
// of an instance and the addition of a warming one.
BOOST_AUTO_TEST_CASE(SessionOfABurstAndADrain)
{
    Session session;
    session.install({record("a"), record("b"), record("c")}, 2);
    for (RequestKey key = 1; key <= 6; ++key)
        session.submit(key, 300ms);
    session.advance(50ms, 40ms);
    for (RequestKey key = 10; key < 40; ++key)
        session.submit(key, key % 3 == 0 ? 120ms : 200ms);
    session.advance(100ms, 40ms);
    session.install({record("a"), record("b", 1, InstancePhase::Leaving), record("c")}, 2);
    session.advance(200ms, 40ms);
    session.install({record("a"), record("c"), record("d", 2, InstancePhase::Warming)}, 2);
    for (RequestKey key = 50; key < 56; ++key)
        session.submit(key, 300ms);
    session.advance(200ms, 40ms);
    support::checkGolden("burst-and-drain.txt", session.transcript());
}

// Guards against serving waiting requests in order of arrival, so that those with earlier deadlines
// miss them.
BOOST_AUTO_TEST_CASE(ServesTheEarliestDeadlineFirst)
{
    Session session;
    session.install({record("a")}, 1);
    session.submit(1, 500ms);
    session.submit(2, 900ms);
    session.submit(3, 400ms);
    session.finish(1, AttemptResult::Success);
    BOOST_TEST(session.running(3));
    BOOST_TEST(!session.running(2));
}

// Guards against a queue that grows until every response misses its deadline.
BOOST_AUTO_TEST_CASE(ShedsRequestsThatWouldMissTheirDeadline)
{
    Session session;
    session.install({record("a")}, 1);
    session.submit(1, 1s);
    session.advance(110ms, 100ms);
    for (RequestKey key = 10; key < 60; ++key)
        session.submit(key, 500ms);
    BOOST_TEST((session.rejected(59) == Failure::Shed));
    BOOST_TEST(session.dispatcher().queued() <= 5U);
    session.advance(1s, 100ms);
    BOOST_TEST(session.lateStarts() == 0U);
}

// Guards against an unbounded queue while no service time has been measured yet.
BOOST_AUTO_TEST_CASE(RejectsBeyondTheQueueCapacity)
{
    AdmissionPolicy policy;
    policy.queueCapacity = 2;
    Session session(policy);
    session.install({record("a")}, 1);
    for (RequestKey key = 1; key <= 4; ++key)
        session.submit(key, 1s);
    BOOST_TEST(session.dispatcher().queued() == 2U);
    BOOST_TEST((session.rejected(4) == Failure::Shed));
}

// Guards against new requests to an instance that the view lists as leaving.
BOOST_AUTO_TEST_CASE(SendsNothingToALeavingInstance)
{
    Session session;
    session.install({record("a"), record("b")}, 1);
    session.submit(1, 1s);
    session.submit(2, 1s);
    session.submit(3, 1s);
    session.install({record("a"), record("b", 1, InstancePhase::Leaving)}, 1);
    const RequestKey onB = session.backendOf(1) == "b" ? 1 : 2;
    session.finish(onB, AttemptResult::Success);
    BOOST_TEST(!session.running(3));
    BOOST_TEST(session.dispatcher().backends().inFlightOn("b") == 0);
}

// Guards against reporting an instance as drained while an old epoch has requests in flight.
BOOST_AUTO_TEST_CASE(CountsWorkOfEveryEpochOfAnInstance)
{
    Session session;
    session.install({record("a", 1)}, 1);
    session.submit(1, 1s);
    session.install({record("a", 2)}, 1);
    BOOST_TEST(session.dispatcher().backends().inFlightOn("a") == 1);
    session.finish(1, AttemptResult::Success);
    BOOST_TEST(session.dispatcher().backends().inFlightOn("a") == 0);
}

// Guards against requests that wait until their deadline although no backend server is left.
BOOST_AUTO_TEST_CASE(RejectsWaitingRequestsWhenNoBackendServerIsLeft)
{
    Session session;
    session.install({record("a")}, 1);
    session.submit(1, 1s);
    session.submit(2, 1s);
    session.install({}, 1);
    BOOST_TEST((session.rejected(2) == Failure::NoBackend));
    session.submit(3, 1s);
    BOOST_TEST((session.rejected(3) == Failure::NoBackend));
}

// Guards against ejecting a healthy backend server because of one unresponsive connection.
BOOST_AUTO_TEST_CASE(ProbesOverANewConnectionBeforeEjecting)
{
    Session session;
    session.install({record("a"), record("b"), record("c")}, 1);
    for (RequestKey key = 1; key <= 3; ++key)
        session.submit(key, 1s);
    session.finish(1, AttemptResult::Silent);
    session.submit(4, 1s);
    BOOST_TEST(session.isProbe(4));
    session.finish(4, AttemptResult::Success, true);
    session.submit(5, 1s);
    BOOST_TEST(!session.isProbe(5));
    BOOST_TEST(session.transcript().find("eject") == std::string::npos);
}

// Guards against sending more requests to a hanging backend server.
BOOST_AUTO_TEST_CASE(EjectsWhenTheNewConnectionIsSilentToo)
{
    Session session;
    session.install({record("a"), record("b"), record("c")}, 1);
    for (RequestKey key = 1; key <= 3; ++key)
        session.submit(key, 1s);
    session.finish(1, AttemptResult::Silent);
    session.submit(4, 1s);
    session.finish(4, AttemptResult::Silent, true);
    session.submit(5, 1s);
    BOOST_TEST(!session.running(5));
    BOOST_TEST(session.transcript().find("eject") != std::string::npos);
}

// Guards against sending non-repeatable requests to a backend server that is being probed.
BOOST_AUTO_TEST_CASE(ProbesOnlyWithRepeatableRequests)
{
    Session session;
    session.install({record("a")}, 1);
    session.submit(1, 1s);
    session.finish(1, AttemptResult::Silent);
    session.submit(2, 1s, false);
    BOOST_TEST(!session.running(2));
}

// Guards against ejecting so many backend servers that the remaining ones are overloaded.
BOOST_AUTO_TEST_CASE(EjectsAtMostAThirdOfAPool)
{
    Session session;
    std::vector<InstanceRecord> records;
    for (const char *name : {"a", "b", "c", "d", "e", "f", "g"})
        records.push_back(record(name));
    session.install(records, 8);
    for (RequestKey key = 1; key <= 400; ++key) {
        session.submit(key, 10s);
        if (session.running(key))
            session.finish(key, AttemptResult::Failed);
    }
    std::size_t ejections = 0;
    const std::string text = session.transcript();
    for (auto at = text.find("eject"); at != std::string::npos; at = text.find("eject", at + 1))
        ++ejections;
    BOOST_TEST(ejections == 2U);
}

// Guards against sending a new instance its full share of requests before it is warm.
BOOST_AUTO_TEST_CASE(RampsUpAWarmingInstance)
{
    Session session;
    session.install({record("a"), record("b", 2, InstancePhase::Warming)}, 8);
    for (RequestKey key = 1; key <= 16; ++key)
        session.submit(key, 20s);
    BOOST_TEST(session.runningCount() == 9U);
    session.advance(11s, 10s);
    for (RequestKey key = 21; key <= 36; ++key)
        session.submit(key, 20s);
    BOOST_TEST(session.runningCount() == 16U);
}

// Guards against shedding requests in a pool of only new instances although slots are free.
BOOST_AUTO_TEST_CASE(UsesAllSlotsWhenEveryInstanceIsWarming)
{
    Session session;
    session.install({record("a", 2, InstancePhase::Warming)}, 8);
    for (RequestKey key = 1; key <= 8; ++key)
        session.submit(key, 20s);
    BOOST_TEST(session.runningCount() == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
