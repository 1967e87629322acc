#pragma once

#include "dragonflysill/base/time.h"

namespace dragonflysill::test {

/**
 * Shifts clocks of the test program, as a suspension of the machine and a set time of day do. The
 * clock that does not count suspension is left as it is, and with it the timers of event loops.
 */
class ClockShift
{
public:
    ClockShift() = default;
    ~ClockShift() { set({}, {}); }
    ClockShift(const ClockShift &) = delete;
    ClockShift &operator=(const ClockShift &) = delete;

    /**
     * @param suspended added to the clock that counts suspension, and to the time of day
     * @param timeOfDay added to the time of day
     */
    void set(Duration suspended, Duration timeOfDay);
};

} // namespace dragonflysill::test
