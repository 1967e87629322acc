#pragma once

#include "dragonflysill/base/time.h"

#include <optional>

namespace dragonflysill {

/**
 * Judges from the answers to calls whether the store can be reached. One answer ends all doubt;
 * refused calls and calls without an answer begin it.
 */
class StoreContact
{
public:
    /** @param patience time without an answer to calls after which the store counts as lost */
    explicit StoreContact(Duration patience)
        : m_patience(patience)
    {
    }

    /** A call was sent that the store answers without delay. */
    void sent(TimePoint now);

    /** The store served a call counted by sent(). */
    void answered(TimePoint now);

    /** A call counted by sent() was refused or got no answer. */
    void failed() { --m_outstanding; }

    /** The store served a call that it may delay. */
    void heard(TimePoint now);

    /** Returns whether calls have gone unserved for longer than the patience. */
    [[nodiscard]] bool lost(TimePoint now) const
    {
        return m_unservedSince && now - *m_unservedSince >= m_patience;
    }

private:
    Duration m_patience;
    int m_outstanding = 0;
    std::optional<TimePoint> m_unservedSince; ///< First call after the last answer.
};

} // namespace dragonflysill
