#pragma once

#include <string>

namespace dragonflysill {

/** A change that a pass of the fleet decisions made, for timeline and metrics. */
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
    std::string subject;
    std::string detail;

    bool operator==(const FleetEvent &) const = default;
};

} // namespace dragonflysill
