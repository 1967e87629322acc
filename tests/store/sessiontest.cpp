#include "dragonflysill/base/tokenbucket.h"
#include "dragonflysill/standin/memorystore.h"
#include "dragonflysill/store/confirmedwrite.h"
#include "support/goldenfile.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <chrono>
#include <sstream>
#include <string>

using namespace dragonflysill;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seed = 20261204;

/** Writes confirmed writes on a fake clock down, with every pause. */
class WriteSession
{
public:
    void write(const std::string &value, Duration limit = 5s)
    {
        const Transaction create{
                {{"ticket", CompareTarget::CreateRevision, CompareRelation::Equal, 0, {}}},
                {PutOperation{"ticket", value, 0}},
                {}};
        const auto before = m_store.calls().total();
        ConfirmLimits limits;
        limits.deadline = m_now + limit;
        limits.clock = [this] { return m_now; };
        limits.sleep = [this](Duration time) {
            m_now += time;
            m_text << "  waits "
                   << std::chrono::duration_cast<std::chrono::microseconds>(time).count()
                   << " us\n";
        };
        constexpr std::array names{"written", "refused", "unavailable", "unknown", "invalid"};
        const WriteResult result
                = commitConfirmed(m_store, create, {"ticket", value}, limits, m_backoff);
        m_text << "write " << value << ": " << names.at(static_cast<std::size_t>(result)) << " in "
               << m_store.calls().total() - before << " calls\n";
        m_backoff.reset();
    }

    void fault(const std::string &text, const StoreFaults &faults)
    {
        m_text << text << '\n';
        m_store.setFaults(faults);
    }

    MemoryStore &store() { return m_store; }
    [[nodiscard]] std::string text() const { return m_text.str(); }

private:
    TimePoint m_now{};
    MemoryStore m_store{[this] { return m_now; }};
    Backoff m_backoff{seed};
    std::ostringstream m_text;
};

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformSessions)

// Guards against a write that is reported wrongly after its answer, or its request, was lost.
BOOST_AUTO_TEST_CASE(ConfirmedWrites)
{
    WriteSession session;
    session.fault("the store is down", {.down = true});
    session.write("a");
    session.fault("three requests are lost", {.loseRequests = 3});
    session.write("a");
    session.write("b");
    const StoreEngine withA = session.store().snapshot();
    session.store().restore(StoreEngine());
    session.fault("an answer is lost", {.loseAnswers = 1});
    session.write("c");
    session.store().restore(StoreEngine());
    session.fault("answers are garbage", {.corruptAnswers = 3});
    session.write("d");
    session.store().restore(StoreEngine());
    session.fault("every request is lost", {.loseRequests = 1000});
    session.write("e", 1s);
    session.store().restore(withA);
    session.fault("a request is lost and another write wins", {.loseRequests = 1});
    session.write("f");
    support::checkGolden("confirmed-writes.txt", session.text());
}

BOOST_AUTO_TEST_SUITE_END()
