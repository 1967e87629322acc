#pragma once

#include "dragonflysill/base/hybridclock.h"

#include <string>
#include <string_view>

namespace dragonflysill {

/** The kinds of event on the timeline. */
enum class EventKind {
    ProcessStarted,
    ProcessStopping,
    ReadyChanged,
    TicketAccepted,
    TicketRefused,
    ViewInstalled,
    StoreReachable,
    StoreUnreachable,
    StoreRegressed,
    MemberJoined,
    MemberFailed,
    MemberLeft,
    RelayChanged,
    PoolOwnerChanged,
    InstancePhaseChanged,
    InstanceDrained,
    MoveStarted,
    MoveFinished,
    WaveStarted,
    WavePaused,
    WaveResumed,
    WaveFinished,
    TaskPlaced,
    TaskRefused,
    WorkerQuarantined,
    BackendEjected,
    BackendRestored,
    ConnectionSilent,
    SheddingStarted,
    SheddingStopped,
    LeaseLost,
};

/** Returns the fixed text of an event kind, for example "view-installed". */
std::string_view toText(EventKind kind);

/** One entry of the timeline. */
struct Event
{
    HybridTime time;
    std::string process; ///< Name of the process that recorded the event.
    EventKind kind = EventKind::ProcessStarted;
    std::string subject; ///< What the event is about, for example an instance's name.
    std::string detail; ///< Readable detail; may be empty.

    bool operator==(const Event &) const = default;
};

} // namespace dragonflysill
