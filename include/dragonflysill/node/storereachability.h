#pragma once

#include "dragonflysill/base/time.h"

#include <optional>

namespace dragonflysill {

/**
 * Determines from the results of calls whether the store is reachable. The store counts as
 * unreachable once calls have been refused or unanswered for longer than a timeout; a single served
 * call makes it reachable again.
 */
class StoreReachability
{
public:
    /** @param timeout time without a served call after which the store counts as unreachable */
    explicit StoreReachability(Duration timeout)
        : m_timeout(timeout)
    {
    }

    /** Records that a call was sent which the store answers without delay. */
    void callSent(TimePoint now);

    /** Records that the store served a call counted by callSent(). */
    void callServed(TimePoint now);

    /** Records that a call counted by callSent() was refused or got no response. */
    void callFailed() { --m_outstanding; }

    /** Records a response that callSent() does not count: of a long poll, or after the timeout. */
    void responseReceived(TimePoint now);

    /** Returns whether calls have gone unserved for at least the timeout. */
    [[nodiscard]] bool unreachable(TimePoint now) const
    {
        return m_unservedSince && now - *m_unservedSince >= m_timeout;
    }

private:
    Duration m_timeout;
    int m_outstanding = 0;
    std::optional<TimePoint> m_unservedSince; ///< First unserved call after the last response.
};

} // namespace dragonflysill
