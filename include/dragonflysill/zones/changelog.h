#pragma once

#include "dragonflysill/base/keyupdate.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace dragonflysill {

/**
 * Keeps the newest changes of the view, from which a delta for a process that is slightly behind is
 * made. Not thread-safe; the owner guards it.
 */
class ChangeLog
{
public:
    /** About 1 MB of changes; at 36,000 changes a day that is more than an hour. */
    static constexpr std::size_t defaultBytes = std::size_t{1024} * 1024;

    explicit ChangeLog(std::size_t bytes = defaultBytes)
        : m_limit(bytes)
    {
    }

    /** Appends changes that lead from one revision to a higher one. */
    void append(std::int64_t from, std::int64_t to, std::vector<KeyUpdate> updates);

    /** Returns the changes after a revision, or nothing if the log does not reach back so far. */
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
