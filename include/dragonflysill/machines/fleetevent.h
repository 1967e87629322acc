#pragma once

#include <string>

namespace dragonflysill {

/** A change that a fleet pass made, as reported to the timeline and the metrics. */
struct FleetEvent
{
    enum class Kind {
        OwnerChanged,
        PhaseChanged,
        MoveStarted,
        MoveFinished,
        EntryRemoved,
        WaveStarted,
        WavePaused,
        WaveResumed,
        WaveFinished,
        TaskPlaced,
        TaskRefused,
        WorkerQuarantined,
        LeaseLost,
    };
    Kind kind = Kind::PhaseChanged;
    std::string subject; ///< Name of the changed object, for example an instance or a wave.
    std::string detail;

    bool operator==(const FleetEvent &) const = default;
};

} // namespace dragonflysill
