#pragma once

#include "dragonflysill/links/requestdispatcher.h"

#include <cstddef>
#include <optional>
#include <string>

namespace dragonflysill {

/** The settings of an entry process. */
struct EntrySettings
{
    std::string name;
    std::string region = "region";
    std::string zone = "zone";
    std::string listen;
    std::string adminListen;
    std::string control; ///< Peer address of the control process; empty with a view file.
    std::string store; ///< Store address for at-most-once claims; empty for none.
    std::string viewFile;
    std::string policy = "least-of-two";
    std::string logLevel = "info";
    std::size_t workers = 512;
    std::size_t queue = 1000;
    int stopGraceMs = 1000;
    std::uint64_t seed = 1;

    /** Parses flags and environment; returns an exit code if the program shall not run. */
    std::optional<int> parse(int argc, const char *const *argv);

    /** Returns the dispatch settings that belong to the chosen policy. */
    [[nodiscard]] DispatchSettings dispatch() const;
};

} // namespace dragonflysill
