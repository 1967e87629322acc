#pragma once

#include "dragonflysill/base/time.h"

namespace dragonflysill {

/**
 * Timeout for calls that adapts to the measured response time. It stays short while responses are
 * fast, so that a lost response costs little time, and grows with the response time.
 */
class AdaptiveTimeout
{
public:
    AdaptiveTimeout(Duration minimum, Duration maximum)
        : m_minimum(minimum)
        , m_maximum(maximum)
        , m_current(minimum)
    {
    }

    /** Returns the timeout for the next call. */
    [[nodiscard]] Duration current() const { return m_current; }

    /**
     * Records a response, whether it came before or after the timeout.
     * @param elapsed time between the call and its response
     */
    void recordResponse(Duration elapsed, TimePoint now);

    /** Records that a call sent at @p sentAt timed out. */
    void recordTimeout(TimePoint sentAt);

private:
    Duration m_minimum;
    Duration m_maximum;
    Duration m_current;
    TimePoint m_lastResponseAt{};
};

} // namespace dragonflysill
