#include "dragonflysill/base/time.h"

namespace dragonflysill {

TimePoint steadyNow()
{
    return TimePoint{std::chrono::steady_clock::now().time_since_epoch()};
}

std::int64_t unixMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace dragonflysill
