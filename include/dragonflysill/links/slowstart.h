#pragma once

#include "dragonflysill/base/time.h"

#include <optional>

namespace dragonflysill {

/** Raises the load share of a new or restored backend server linearly from a tenth to all. */
class SlowStart
{
public:
    /** Time from the start of the ramp to the full share. */
    static constexpr std::chrono::seconds rampTime{10};

    /** Starts the ramp. */
    void start(TimePoint now) { m_started = now; }

    /** Returns the share of the limit that may be used, from 0.1 to 1. */
    [[nodiscard]] double share(TimePoint now) const;

private:
    std::optional<TimePoint> m_started;
};

} // namespace dragonflysill
