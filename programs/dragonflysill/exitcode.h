#pragma once

#include <string_view>

namespace dragonflysill {

/** The exit codes of the command line. Scripts depend on them, so their values must not change. */
enum ExitCode {
    ExitOk = 0,
    ExitRefused = 1, ///< Refused, conflicting or not found; nothing was changed.
    ExitUsage = 2, ///< The command line or the input file is unusable.
    ExitUnreachable = 3, ///< No control process or no store was reached; nothing was changed.
    ExitUnknown = 4, ///< The ticket may or may not have been accepted; apply it again.
    ExitUnusable = 5, ///< An answer or the stored state cannot be used.
};

/** Returns the exit code for an error kind of the operators' interface. */
ExitCode exitCodeOf(std::string_view kind);

} // namespace dragonflysill
