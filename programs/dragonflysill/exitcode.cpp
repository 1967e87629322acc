#include "exitcode.h"

#include <utility>

namespace dragonflysill {

ExitCode exitCodeOf(std::string_view kind)
{
    static constexpr std::pair<std::string_view, ExitCode> codes[] = {
            {"invalid-input", ExitRefused},
            {"validation-failed", ExitRefused},
            {"conflict", ExitRefused},
            {"id-reused", ExitRefused},
            {"limit-exceeded", ExitRefused},
            {"not-found", ExitRefused},
            {"store-unavailable", ExitUnreachable},
            {"lease-lost", ExitUnreachable},
            {"unreachable", ExitUnreachable},
            {"outcome-unknown", ExitUnknown},
    };
    for (const auto &it : codes) {
        if (it.first == kind)
            return it.second;
    }
    return ExitUnusable;
}

} // namespace dragonflysill
