#include "protocolmodel.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace dragonflysill::test;

namespace {

/** Number of seeds in a test run; DRAGONFLYSILL_MODEL_SEEDS overrides it for manual runs. */
constexpr std::uint64_t defaultSeedCount = 20000;

} // namespace

BOOST_AUTO_TEST_SUITE(Protocol)

// The guarantees of the task protocol must hold under all injected faults.
BOOST_AUTO_TEST_CASE(GuaranteesHoldForEverySeed)
{
    const auto first = readEnvironment("DRAGONFLYSILL_MODEL_FIRST", 1);
    const auto count = readEnvironment("DRAGONFLYSILL_MODEL_SEEDS", defaultSeedCount);
    for (auto seed = first; seed < first + count; ++seed) {
        ProtocolModel model(seed);
        const auto violation = model.run();
        BOOST_REQUIRE_MESSAGE(violation.empty(), "seed " << seed << ": " << violation << "\n"
                                                         << model.trace());
    }
}

BOOST_AUTO_TEST_SUITE_END()
