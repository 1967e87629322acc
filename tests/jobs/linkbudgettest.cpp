#include "dragonflysill/jobs/linkbudget.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <deque>

using namespace dragonflysill;
using namespace std::chrono_literals;

namespace {

constexpr int decisionLimit = 24;

/**
 * The link of an owner of the schedule in a turn: more tasks wait than it can start. A start sends
 * an order at once; holds and writes of progress follow when the task ends.
 */
class LinkInATurn
{
public:
    LinkInATurn(double bytesPerSecond, double startsPerSecond, bool limited)
        : m_bytesPerSecond(bytesPerSecond)
        , m_startsPerSecond(startsPerSecond)
        , m_limited(limited)
    {
    }

    void run(Duration length)
    {
        for (const auto end = m_now + length; m_now < end; m_now += step)
            advance();
    }

    /** Longest time that a byte, such as of a renewal of the lease, waited for the link. */
    [[nodiscard]] Duration longestWait() const { return m_longestWait; }
    [[nodiscard]] int starts() const { return m_starts; }

private:
    static constexpr Duration step = 10ms;
    static constexpr Duration taskTime = 640ms;
    static constexpr double orderBytes = 150;
    static constexpr double followingBytes = 200;
    static constexpr double otherBytesPerSecond = 20000;

    void advance()
    {
        const auto due = static_cast<int>(m_startsPerSecond * toSeconds(step));
        const int starts = m_limited ? m_budget.starts(std::min(due, decisionLimit)) : due;
        m_budget.started(starts);
        m_starts += starts;
        m_ends.push_back(starts);
        int ended = 0;
        if (m_ends.size() > static_cast<std::size_t>(taskTime / step)) {
            ended = m_ends.front();
            m_ends.pop_front();
        }
        m_queued += starts * orderBytes + ended * followingBytes
                    + otherBytesPerSecond * toSeconds(step);
        const double sent = std::min(m_queued, m_bytesPerSecond * toSeconds(step));
        m_queued -= sent;
        m_sent += sent;
        m_longestWait = std::max(
                m_longestWait, std::chrono::duration_cast<Duration>(
                                       std::chrono::duration<double>(m_queued / m_bytesPerSecond)));
        if (++m_steps % 5 == 0)
            m_budget.record(static_cast<std::uint64_t>(m_sent), 0, m_now);
    }

    double m_bytesPerSecond;
    double m_startsPerSecond;
    bool m_limited;
    LinkBudget m_budget{m_bytesPerSecond};
    TimePoint m_now{1s};
    int m_steps = 0;
    int m_starts = 0;
    std::deque<int> m_ends;
    double m_queued = 0;
    double m_sent = 0;
    Duration m_longestWait{0};
};

constexpr double twoMegabits = 250000;
constexpr double hundredMegabits = 12500000;

} // namespace

BOOST_AUTO_TEST_SUITE(BudgetOfTheLink)

BOOST_AUTO_TEST_CASE(UnknownBandwidthSetsNoLimit)
{
    LinkBudget budget(0);
    budget.record(1000000, 1000000, TimePoint(1s));
    BOOST_TEST(budget.starts(decisionLimit) == decisionLimit);
}

// Guards against an owner on a slow link whose holds and lease renewals wait behind the orders of a
// turn until the holds of running tasks expire and another node takes over.
BOOST_AUTO_TEST_CASE(TurnOnASlowLinkDoesNotDelayTheLease)
{
    LinkInATurn unlimited(twoMegabits, 1400, false);
    unlimited.run(6s);
    BOOST_TEST((unlimited.longestWait() > Duration(1500ms)));
    LinkInATurn limited(twoMegabits, 1400, true);
    limited.run(6s);
    // The lease is renewed every 300 ms.
    BOOST_TEST((limited.longestWait() < Duration(300ms)));
}

BOOST_AUTO_TEST_CASE(SlowLinkIsUsed)
{
    LinkInATurn link(twoMegabits, 1400, true);
    link.run(6s);
    // Half of the bandwidth in starts of 350 bytes.
    BOOST_TEST(link.starts() >= 6 * twoMegabits / 2 / 350);
}

BOOST_AUTO_TEST_CASE(FastLinkSetsNoLimit)
{
    LinkInATurn link(hundredMegabits, 1400, true);
    link.run(6s);
    BOOST_TEST(link.starts() >= 6 * 1400);
}

BOOST_AUTO_TEST_CASE(OtherTrafficTakesTheBudget)
{
    LinkBudget budget(twoMegabits);
    budget.record(0, 0, TimePoint(1s));
    budget.record(0, 100000, TimePoint(1100ms));
    BOOST_TEST(budget.starts(decisionLimit) == 0);
    budget.record(0, 100000, TimePoint(1200ms));
    budget.record(0, 100000, TimePoint(2000ms));
    budget.record(0, 100000, TimePoint(2100ms));
    budget.record(0, 100000, TimePoint(2200ms));
    budget.record(0, 100000, TimePoint(2300ms));
    budget.record(0, 100000, TimePoint(2400ms));
    BOOST_TEST(budget.starts(decisionLimit) > 0);
}

BOOST_AUTO_TEST_SUITE_END()
