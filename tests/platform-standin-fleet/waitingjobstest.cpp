#include "waitingjobs.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace dragonflysill;
using namespace dragonflysill::platform;
using namespace std::chrono_literals;

namespace {

const std::string job = "0123456789abcdef";

/** An accepted job, which is observed at times that the test sets. */
struct WaitingFixture
{
    WaitingJobs jobs;
    TimePoint start{1h};

    WaitingFixture() { jobs.accepted(job, "pool"); }

    /** Observes the job in intervals of 50 ms. */
    void observe(Duration from, Duration to, bool canRun)
    {
        for (auto time = from; time <= to; time += 50ms)
            jobs.observe(start + time,
                         [canRun](const std::string &, const std::string &) { return canRun; });
    }

    [[nodiscard]] bool overdue(Duration at) const
    {
        return jobs.overdue(job, start + at).has_value();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Waiting, WaitingFixture)

// Guards against an accepted job that nothing starts.
BOOST_AUTO_TEST_CASE(JobThatCouldRunIsOverdueAfterTheBound)
{
    observe(0s, 3s, true);
    BOOST_TEST(!overdue(2999ms));
    const auto waiting = jobs.overdue(job, start + 3s);
    BOOST_REQUIRE(waiting.has_value());
    BOOST_TEST(waiting->first == "pool");
    BOOST_TEST((waiting->second == 3s));
}

BOOST_AUTO_TEST_CASE(TimeBeforeTheFirstObservationDoesNotCount)
{
    BOOST_TEST(!overdue(10s));
    observe(10s, 12950ms, true);
    BOOST_TEST(!overdue(12950ms));
    BOOST_TEST(overdue(13s));
}

BOOST_AUTO_TEST_CASE(WaitBeginsAnewWhenTheJobCouldNotRunInBetween)
{
    observe(0s, 2s, true);
    observe(2050ms, 2050ms, false);
    observe(2100ms, 5s, true);
    BOOST_TEST(!overdue(5s));
    BOOST_TEST(overdue(5100ms));
}

// Guards against missing a run that crashes its worker between two observations.
BOOST_AUTO_TEST_CASE(WaitBeginsAnewWithAStart)
{
    observe(0s, 2s, true);
    jobs.started(job);
    jobs.started("fedcba9876543210");
    observe(2050ms, 5s, true);
    BOOST_TEST(!overdue(5s));
    BOOST_TEST(overdue(5050ms));
}

BOOST_AUTO_TEST_CASE(EndedAndUnknownJobsAreNotOverdue)
{
    observe(0s, 4s, true);
    BOOST_TEST(!jobs.overdue("fedcba9876543210", start + 4s).has_value());
    jobs.ended(job);
    BOOST_TEST(!overdue(4s));
}

BOOST_AUTO_TEST_CASE(RoomIsTwiceTheTaskAndLessThanHalfInUse)
{
    PoolCapacity pool;
    BOOST_TEST(!pool.hasRoomFor(1));
    pool.addWorker(8, 3);
    BOOST_TEST(pool.hasRoomFor(1));
    BOOST_TEST(pool.hasRoomFor(2));
    BOOST_TEST(!pool.hasRoomFor(3));
    pool.addWorker(8, 5);
    BOOST_TEST(!pool.hasRoomFor(1));
    pool.addWorker(8, 7);
    pool.addWorker(8, 0);
    BOOST_TEST(pool.hasRoomFor(1));
}

// Guards against capacity that one overfull worker seems to take from the others.
BOOST_AUTO_TEST_CASE(WorkerWithLessCapacityThanItUsesHasNoRoom)
{
    PoolCapacity pool;
    pool.addWorker(0, 4);
    pool.addWorker(2, 0);
    BOOST_TEST(pool.free == 2);
    BOOST_TEST(!pool.hasRoomFor(1));
    pool.addWorker(8, 0);
    BOOST_TEST(pool.hasRoomFor(1));
}

BOOST_AUTO_TEST_SUITE_END()
