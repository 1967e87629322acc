#include "dragonflysill/jobs/endedjobs.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace dragonflysill;
using namespace std::chrono_literals;

namespace {

constexpr Duration retention = 150s;
/** Three keys of each job in a transaction of 32 entries, like ScheduleOwner. */
constexpr std::size_t batchSize = 9;
constexpr Duration tick = 50ms;
const TimePoint begin{1000s};

std::string jobName(int number)
{
    return "job-" + std::to_string(number);
}

} // namespace

BOOST_AUTO_TEST_SUITE(JobRemoval)

// Guards against a store that fills with ended jobs, until nodes need more than their memory to
// read it and end at each start: at the rate of the sheets, and at ten times that.
BOOST_AUTO_TEST_CASE(RemovalsKeepUpWithArrivals)
{
    for (const double arrivalsPerS : {19.0, 150.0}) {
        EndedJobs jobs(retention);
        double arrivals = 0;
        int added = 0;
        for (Duration passed{0}; passed < 1h; passed += tick) {
            const auto now = begin + passed;
            for (arrivals += arrivalsPerS * toSeconds(tick); arrivals >= 1; --arrivals)
                jobs.add(jobName(added++), now);
            for (const auto &it : jobs.takeBatch(batchSize, now))
                jobs.forget(it);
            jobs.settleBatch();
        }
        const auto kept = arrivalsPerS * toSeconds(retention);
        BOOST_TEST(static_cast<double>(jobs.size()) <= 1.02 * kept);
        BOOST_TEST(static_cast<double>(jobs.size()) >= kept);
    }
}

// Guards against a job that callers may still ask for and is gone.
BOOST_AUTO_TEST_CASE(JobsAreKeptForTheRetention)
{
    EndedJobs jobs(retention);
    jobs.add("a", begin);
    jobs.add("b", begin + 1s);
    jobs.add("a", begin + 2s);
    BOOST_TEST(jobs.takeBatch(batchSize, begin + retention - 1ms).empty());
    BOOST_TEST((jobs.takeBatch(batchSize, begin + retention) == std::vector<std::string>{"a"}));
}

// Guards against a job that stays in the store because the write that removes it failed, and
// against a second write while the first one is in flight.
BOOST_AUTO_TEST_CASE(BatchThatWasNotRemovedIsDueAgain)
{
    EndedJobs jobs(retention);
    jobs.add("a", begin);
    const auto now = begin + retention;
    BOOST_TEST(jobs.takeBatch(batchSize, now).size() == 1U);
    BOOST_TEST(jobs.takeBatch(batchSize, now + 1s).empty());
    jobs.settleBatch();
    BOOST_TEST(jobs.takeBatch(batchSize, now + 1s).size() == 1U);
    jobs.settleBatch();
    jobs.forget("a");
    BOOST_TEST(jobs.takeBatch(batchSize, now + 2s).empty());
    BOOST_TEST(jobs.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
