#pragma once

#include "dragonflysill/store/storetypes.h"

#include <mutex>
#include <optional>
#include <string>

namespace dragonflysill {

/**
 * The registration under which a control process writes. A process that was paused until its lease
 * expired still holds an old create revision, so the comparison fails and its write changes
 * nothing. Thread-safe.
 */
class Fence
{
public:
    /** Sets the member key and its create revision after a registration. */
    void set(std::string key, std::int64_t createRevision);

    /** Forgets the registration; compare() returns nothing until the next set(). */
    void clear();

    /** Returns the comparison that every write must contain, or nothing without a registration. */
    [[nodiscard]] std::optional<Compare> compare() const;

private:
    mutable std::mutex m_mutex;
    std::string m_key;
    std::int64_t m_createRevision = 0;
};

} // namespace dragonflysill
