#pragma once

#include "dragonflysill/base/keyupdate.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace dragonflysill {

/**
 * Keeps the most recent changes of the view within a size limit, so that a process that is slightly
 * behind can be sent a delta instead of the full state. Not thread-safe.
 */
class ChangeLog
{
public:
    /** Size limit in bytes; 1 MiB holds more than an hour of changes at 36,000 changes a day. */
    static constexpr std::size_t defaultBytes = std::size_t{1024} * 1024;

    explicit ChangeLog(std::size_t bytes = defaultBytes)
        : m_limit(bytes)
    {
    }

    /**
     * Appends the changes between two revisions. If @p from is not the revision of the last entry,
     * the older entries are dropped, because a delta across the gap would be incomplete.
     */
    void append(std::int64_t from, std::int64_t to, std::vector<KeyUpdate> updates);

    /** Returns the changes after a revision, or nothing if the log does not go back to it. */
    [[nodiscard]] std::optional<std::vector<KeyUpdate>> after(std::int64_t revision) const;

private:
    struct Change
    {
        std::int64_t from;
        std::int64_t to;
        std::vector<KeyUpdate> updates;
        std::size_t bytes;
    };

    std::size_t m_limit;
    std::size_t m_bytes = 0;
    std::deque<Change> m_changes;
};

} // namespace dragonflysill
