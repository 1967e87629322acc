#include "clockshift.h"

#include <sys/syscall.h>
#include <unistd.h>

#include <ctime>

namespace {

dragonflysill::Duration addedToBootTime{0};
dragonflysill::Duration addedToTimeOfDay{0};

} // namespace

/** Replaces the function of the C library in the test program. */
extern "C" int clock_gettime(clockid_t clock, timespec *time) noexcept
{
    const auto result = static_cast<int>(::syscall(SYS_clock_gettime, clock, time));
    auto added = dragonflysill::Duration{0};
    if (clock == CLOCK_BOOTTIME)
        added = addedToBootTime;
    else if (clock == CLOCK_REALTIME)
        added = addedToTimeOfDay;
    if (result != 0 || added.count() == 0)
        return result;
    constexpr std::int64_t perSecond = 1'000'000'000;
    const auto sum = time->tv_sec * perSecond + time->tv_nsec + added.count();
    time->tv_sec = sum / perSecond;
    time->tv_nsec = sum % perSecond;
    return result;
}

namespace dragonflysill::test {

void ClockShift::set(Duration suspended, Duration timeOfDay)
{
    addedToBootTime = suspended;
    addedToTimeOfDay = suspended + timeOfDay;
}

} // namespace dragonflysill::test
