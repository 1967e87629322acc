#pragma once

#include "dragonflysill/wire/message.h"

#include <cstdint>
#include <vector>

namespace dragonflysill {

/** What the receiver of a ViewDelta does with it. */
enum class DeltaOutcome {
    Ignore, ///< Nothing newer, or further parts follow.
    Request, ///< Changes in between are missing; ask for everything after the own revision.
    Apply, ///< Apply `updates` as changes.
    Replace, ///< Replace the state by `updates`.
};

/** Collects the ViewDelta messages of one connection. Not thread-safe. */
class DeltaAssembler
{
public:
    /**
     * Adds a received message.
     * @param delta the message
     * @param mine the receiver's revision
     * @return what to do; updates() holds the updates for Apply and Replace
     */
    DeltaOutcome add(const ViewDelta &delta, std::int64_t mine);

    /** Returns the updates of the last Apply or Replace. */
    [[nodiscard]] const std::vector<KeyUpdate> &updates() const { return m_updates; }

private:
    std::vector<KeyUpdate> m_parts;
    std::int64_t m_partsRevision = 0;
    std::vector<KeyUpdate> m_updates;
};

} // namespace dragonflysill
