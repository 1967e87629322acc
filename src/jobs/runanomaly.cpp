#include "dragonflysill/jobs/runanomaly.h"

namespace dragonflysill {

std::string_view runAnomalyName(RunAnomalyKind kind)
{
    switch (kind) {
    case RunAnomalyKind::Refused:
        return "refused";
    case RunAnomalyKind::HoldExpired:
        return "hold-expired";
    case RunAnomalyKind::NotListed:
        return "not-listed";
    case RunAnomalyKind::EarlierIncarnation:
        return "earlier-incarnation";
    case RunAnomalyKind::WorkerEnded:
        return "worker-ended";
    case RunAnomalyKind::Unknown:
        return "unknown";
    case RunAnomalyKind::OtherRun:
        break;
    }
    return "other-run";
}

} // namespace dragonflysill
