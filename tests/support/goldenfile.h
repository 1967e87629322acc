#pragma once

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <string_view>

namespace dragonflysill::support {

/** Returns the content of a file in the golden directory of the library; empty if it is missing. */
inline std::string readGolden(const std::string &name)
{
    std::ifstream file(std::string(DRAGONFLYSILL_GOLDEN_DIR) + "/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/**
 * Compares the output of a test with a golden file and reports the first line that differs. If
 * DRAGONFLYSILL_UPDATE_GOLDEN is set in the environment, rewrites the file instead and fails, so
 * that an update is never mistaken for a passing test.
 * @param name the path of the file in the golden directory of the library
 * @param actual the output of this run
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
                         << "\n  actual:   " << (moreActual ? actualLine : "<end of output>"));
        return;
    }
    BOOST_TEST(!actual.empty(),
               "the output compared with golden file " << name << " must not be empty");
}

} // namespace dragonflysill::support
