#pragma once

#include "dragonflysill/base/time.h"

#include <optional>

namespace dragonflysill {

/** Raises the share of work of a new or restored backend server from a tenth to all of it. */
class SlowStart
{
public:
    /** Time from the first request until the full share. */
    static constexpr std::chrono::seconds rampTime{10};

    /** Starts the ramp. */
    void start(TimePoint now) { m_started = now; }

    /** Returns the share of the limit that may be used, from 0.1 to 1. */
    [[nodiscard]] double share(TimePoint now) const;

private:
    std::optional<TimePoint> m_started;
};

} // namespace dragonflysill
