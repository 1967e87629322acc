#include "protocolmodel.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <string>

using namespace dragonflysill::test;

namespace {

/** Schedules that every test run plays; DRAGONFLYSILL_MODEL_SEEDS plays more by hand. */
constexpr std::uint64_t usualSchedules = 20000;

std::uint64_t fromEnvironment(const char *name, std::uint64_t standard)
{
    const char *text = std::getenv(name);
    return text == nullptr ? standard : std::stoull(text);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Protocol)

// The promises of the task protocol hold on every schedule of the adversary.
BOOST_AUTO_TEST_CASE(NoScheduleBreaksAPromise)
{
    const auto first = fromEnvironment("DRAGONFLYSILL_MODEL_FIRST", 1);
    const auto count = fromEnvironment("DRAGONFLYSILL_MODEL_SEEDS", usualSchedules);
    for (auto seed = first; seed < first + count; ++seed) {
        ProtocolModel model(seed);
        const auto violation = model.run();
        BOOST_REQUIRE_MESSAGE(violation.empty(), "seed " << seed << ": " << violation << "\n"
                                                         << model.trace());
    }
}

BOOST_AUTO_TEST_SUITE_END()
