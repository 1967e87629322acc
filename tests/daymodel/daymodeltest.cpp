#include "dragonflysill/daymodel/daymodel.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace dragonflysill::daymodel;

namespace {

constexpr std::uint64_t seeds = 3;

DayResult meanResult(const DayShape &shape, DayPattern pattern, DayPolicies policies)
{
    DayResult sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto it = simulateDay(shape, pattern, policies, seed);
        sum.jobs += it.jobs;
        sum.inTime += it.inTime;
        sum.falselyFailed += it.falselyFailed;
        sum.duplicateStarts += it.duplicateStarts;
        sum.credit += it.credit / static_cast<double>(seeds);
        sum.instanceSeconds += it.instanceSeconds / static_cast<double>(seeds);
    }
    return sum;
}

void compareWithBaselines(DayPattern pattern)
{
    // If both policies complete all jobs in time, their credit differs only by rounding.
    constexpr double tolerance = 0.002;
    for (const auto &shape : {tuboSul(), petalCluster()}) {
        BOOST_TEST_CONTEXT(shape.name << ", " << patternName(pattern))
        {
            const auto product = meanResult(shape, pattern, {true, true});
            BOOST_TEST(product.credit + tolerance
                       >= meanResult(shape, pattern, {false, true}).credit);
            BOOST_TEST(product.credit + tolerance
                       >= meanResult(shape, pattern, {false, false}).credit);
            const auto fixed = meanResult(shape, pattern, {true, false});
            BOOST_TEST(product.credit + tolerance >= fixed.credit);
            BOOST_TEST(product.instanceSeconds < fixed.instanceSeconds);
            BOOST_TEST(product.duplicateStarts == 0);
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(ModelledDays)

BOOST_AUTO_TEST_CASE(RotatingDemandIsServedAtLeastAsWellAsByTheBaselines)
{
    compareWithBaselines(DayPattern::RotatingDemand);
}

BOOST_AUTO_TEST_CASE(GreyWorkersCostNoMoreThanWithTheBaselines)
{
    compareWithBaselines(DayPattern::GreyWorkers);
}

// Guards against placement that prefers fuller workers and thereby keeps slow workers full.
BOOST_AUTO_TEST_CASE(SlowWorkersCostNoMoreThanWithTheBaselines)
{
    compareWithBaselines(DayPattern::SlowWorkers);
}

BOOST_AUTO_TEST_CASE(LargeBurstsAreServedAtLeastAsWellAsByTheBaselines)
{
    compareWithBaselines(DayPattern::LargeBurst);
}

BOOST_AUTO_TEST_CASE(FailingJobsCostNoMoreThanWithTheBaselines)
{
    compareWithBaselines(DayPattern::FailingJobs);
}

// Guards against workers being classified as slow because their jobs declared too short run times,
// as it happened at a site.
BOOST_AUTO_TEST_CASE(LowEstimatesCostNoMoreThanWithTheBaselines)
{
    compareWithBaselines(DayPattern::LowEstimates);
}

BOOST_AUTO_TEST_CASE(SameSeedGivesTheSameDay)
{
    const auto first = simulateDay(tuboSul(), DayPattern::GreyWorkers, {}, 4);
    const auto second = simulateDay(tuboSul(), DayPattern::GreyWorkers, {}, 4);
    BOOST_TEST(first.credit == second.credit);
    BOOST_TEST(first.moves == second.moves);
    BOOST_TEST(first.wastedCoreSeconds == second.wastedCoreSeconds);
}

BOOST_AUTO_TEST_SUITE_END()
