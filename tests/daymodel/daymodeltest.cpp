#include "dragonflysill/daymodel/daymodel.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace dragonflysill::daymodel;

namespace {

constexpr std::uint64_t seeds = 3;

DayResult mean(const DayShape &shape, DayPattern pattern, DayPolicies policies)
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

void compare(DayPattern pattern)
{
    // Days on which both serve everything in time differ by rounding only.
    constexpr double equal = 0.002;
    for (const auto &shape : {tuboSul(), petalCluster()}) {
        BOOST_TEST_CONTEXT(shape.name << ", " << patternName(pattern))
        {
            const auto product = mean(shape, pattern, {true, true});
            BOOST_TEST(product.credit + equal >= mean(shape, pattern, {false, true}).credit);
            BOOST_TEST(product.credit + equal >= mean(shape, pattern, {false, false}).credit);
            const auto fixed = mean(shape, pattern, {true, false});
            BOOST_TEST(product.credit + equal >= fixed.credit);
            BOOST_TEST(product.instanceSeconds < fixed.instanceSeconds);
            BOOST_TEST(product.duplicateStarts == 0);
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(ModelledDays)

BOOST_AUTO_TEST_CASE(TurnsOfDemandAreServedAtLeastAsWellAsByTheBaselines)
{
    compare(DayPattern::Turns);
}

BOOST_AUTO_TEST_CASE(GreyWorkersCostNoMoreThanWithTheBaselines)
{
    compare(DayPattern::GreyWorkers);
}

// Seen in the model: fuller workers first kept slow ones full.
BOOST_AUTO_TEST_CASE(SlowWorkersCostNoMoreThanWithTheBaselines)
{
    compare(DayPattern::SlowWorkers);
}

BOOST_AUTO_TEST_CASE(LargeBurstsAreServedAtLeastAsWellAsByTheBaselines)
{
    compare(DayPattern::LargeBurst);
}

BOOST_AUTO_TEST_CASE(HopelessJobsCostNoMoreThanWithTheBaselines)
{
    compare(DayPattern::HopelessJobs);
}

// Seen on a site: runs that took longer than declared made their workers look slow.
BOOST_AUTO_TEST_CASE(LowEstimatesCostNoMoreThanWithTheBaselines)
{
    compare(DayPattern::LowEstimates);
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
