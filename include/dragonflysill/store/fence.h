#pragma once

#include "dragonflysill/store/storetypes.h"

#include <mutex>
#include <optional>
#include <string>

namespace dragonflysill {

/**
 * A fencing token: the registration under which a control process writes. If a process was paused
 * until its lease expired, it still holds the old create revision; the comparison then fails and
 * the write changes nothing. Thread-safe.
 */
class Fence
{
public:
    /** Sets the member key and its create revision; called after each registration. */
    void set(std::string key, std::int64_t createRevision);

    /** Removes the registration; compare() returns nothing until the next set(). */
    void clear();

    /** Returns the comparison that every write must include, or nothing without a registration. */
    [[nodiscard]] std::optional<Compare> compare() const;

private:
    mutable std::mutex m_mutex;
    std::string m_key;
    std::int64_t m_createRevision = 0;
};

} // namespace dragonflysill
