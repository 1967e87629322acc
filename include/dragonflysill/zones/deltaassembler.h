#pragma once

#include "dragonflysill/wire/message.h"

#include <cstdint>
#include <vector>

namespace dragonflysill {

/** The action that a received ViewDelta requires. */
enum class DeltaOutcome {
    Ignore, ///< The message contains nothing newer, or further parts follow.
    Request, ///< Changes are missing; request all changes after the own revision.
    Apply, ///< Apply `updates` as changes.
    Replace, ///< Replace the state by `updates`.
};

/**
 * Assembles the ViewDelta messages of one connection into changes or a full state. Not thread-safe.
 */
class DeltaAssembler
{
public:
    /**
     * Adds a received message.
     * @param delta the message
     * @param ownRevision the revision of the receiver's view
     * @return the required action; for Apply and Replace, updates() returns the updates
     */
    DeltaOutcome add(const ViewDelta &delta, std::int64_t ownRevision);

    /** Returns the updates of the last Apply or Replace. */
    [[nodiscard]] const std::vector<KeyUpdate> &updates() const { return m_updates; }

private:
    std::vector<KeyUpdate> m_parts;
    std::int64_t m_partsRevision = 0;
    std::vector<KeyUpdate> m_updates;
};

} // namespace dragonflysill
