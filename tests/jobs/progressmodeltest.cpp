#include "progressmodel.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace dragonflysill::test;

namespace {

/** Number of seeds in a test run; DRAGONFLYSILL_MODEL_SEEDS overrides it for manual runs. */
constexpr std::uint64_t defaultSeedCount = 40;

void checkSeeds(ProgressModel::Mode mode)
{
    const auto first = readEnvironment("DRAGONFLYSILL_MODEL_FIRST", 1);
    const auto count = readEnvironment("DRAGONFLYSILL_MODEL_SEEDS", defaultSeedCount);
    const bool traced = readEnvironment("DRAGONFLYSILL_MODEL_TRACE", 0) != 0;
    std::int64_t waits = 0;
    for (auto seed = first; seed < first + count; ++seed) {
        ProgressModel model(seed, mode);
        const auto violation = model.run();
        waits += model.observedWaits();
        BOOST_CHECK_MESSAGE(violation.empty(),
                            "seed " << seed << ": " << violation << (traced ? model.trace() : ""));
    }
    // A model in which nothing ever waits checks nothing.
    BOOST_TEST(waits > 0);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Progress)

// Guards against tasks that could run and do not, although most of their pool is free.
BOOST_AUTO_TEST_CASE(RunnableTasksRunOnceFaultsAreOver)
{
    checkSeeds(ProgressModel::Mode::OnePool);
}

// The same while instances are moved between pools that shrink to what they need.
BOOST_AUTO_TEST_CASE(RunnableTasksRunInBalancedPools)
{
    checkSeeds(ProgressModel::Mode::Balanced);
}

// Guards against ceilings that starve a team although it uses less than half of its own.
BOOST_AUTO_TEST_CASE(RunnableTasksOfTeamsBelowTheirCeilingsRun)
{
    checkSeeds(ProgressModel::Mode::Teams);
}

BOOST_AUTO_TEST_SUITE_END()
