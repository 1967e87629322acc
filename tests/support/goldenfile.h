#pragma once

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <string_view>

namespace dragonflysill::support {

/** Returns the content of a file below the library's golden directory; empty if it is missing. */
inline std::string readGolden(const std::string &name)
{
    std::ifstream file(std::string(DRAGONFLYSILL_GOLDEN_DIR) + "/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/**
 * Checks a session transcript against a golden file and reports the first line that differs.
 * With DRAGONFLYSILL_UPDATE_GOLDEN=1 in the environment the file is rewritten and the check fails,
 * so that an update can never pass for a test run.
 * @param name the file below the library's golden directory
 * @param actual the transcript of this run
 */
inline void checkGolden(const std::string &name, const std::string &actual)
{
    if (std::getenv("DRAGONFLYSILL_UPDATE_GOLDEN") != nullptr) {
        std::ofstream(std::string(DRAGONFLYSILL_GOLDEN_DIR) + "/" + name) << actual;
        BOOST_TEST_ERROR("golden file " << name << " rewritten; run again without the variable");
        return;
    }
    std::istringstream expectedLines(readGolden(name));
    std::istringstream actualLines(actual);
    std::string expectedLine;
    std::string actualLine;
    for (int n = 1;; ++n) {
        const bool moreExpected = static_cast<bool>(std::getline(expectedLines, expectedLine));
        const bool moreActual = static_cast<bool>(std::getline(actualLines, actualLine));
        if (!moreExpected && !moreActual)
            break;
        if (moreExpected && moreActual && expectedLine == actualLine)
            continue;
        BOOST_TEST_ERROR("golden file "
                         << name << ", line " << n
                         << "\n  expected: " << (moreExpected ? expectedLine : "<end of file>")
                         << "\n  actual:   " << (moreActual ? actualLine : "<end of session>"));
        return;
    }
    BOOST_TEST(!actual.empty(), "golden session " << name << " must not be empty");
}

} // namespace dragonflysill::support
