#include "dragonflysill/telemetry/settings.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <optional>

using namespace dragonflysill;

namespace {

/** Parses a command line with one argument. */
std::optional<int> parse(const char *argument)
{
    int port = 0;
    Settings settings("program", "Does something.", "1.0");
    settings.add("port", port, "a port")->check(CLI::Range(0, 65535));
    const std::array<const char *, 2> arguments{"program", argument};
    return settings.parse(arguments.size(), arguments.data());
}

} // namespace

BOOST_AUTO_TEST_SUITE(CommandLine)

// Scripts tell a wrong command line by this code, whatever the library's code for the error is.
BOOST_AUTO_TEST_CASE(UnusableCommandLineHasOneExitCode)
{
    BOOST_TEST(*parse("--unknown") == Settings::exitUsage);
    BOOST_TEST(*parse("--port=70000") == Settings::exitUsage);
    BOOST_TEST(*parse("--port=text") == Settings::exitUsage);
}

BOOST_AUTO_TEST_CASE(UsableCommandLineLetsTheProgramRun)
{
    BOOST_TEST(!parse("--port=80").has_value());
    BOOST_TEST(*parse("--help") == 0);
    BOOST_TEST(*parse("--version") == 0);
    BOOST_TEST(*parse("--check-settings") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
