#pragma once

#include "dragonflysill/base/time.h"
#include "dragonflysill/jobs/worker.h"

#include <cstdint>
#include <string>

namespace dragonflysill {

/** An incarnation of a worker that an owner has heard of, for the log. */
struct WorkerRestart
{
    std::string worker;
    std::int64_t startedMs = 0; ///< Its start time in Unix milliseconds.
    std::int64_t earlierStartedMs = 0; ///< That of the one before; 0 if this owner knew none.
    WorkerClock clock = 0; ///< Its clock when it answered.
    WorkerClock holdSent = 0; ///< End of the last hold on the clock of the one before; 0 for none.
    Duration sinceHold{0}; ///< Time since that hold was sent.
    Duration held{0}; ///< Time from now for which it counts as held.
};

} // namespace dragonflysill
