#pragma once

#include "dragonflysill/machines/fleetrunner.h"

#include <chrono>
#include <cstdint>

namespace dragonflysill {

/** The inputs of a fleet pass whose change requires a new pass. */
struct PassTrigger
{
    std::int64_t revision = 0; ///< Revision of the view.
    Acknowledgements acknowledgements;
    ByName<PlatformState> platform;

    bool operator==(const PassTrigger &) const = default;
};

/**
 * Skips fleet passes in which nothing can change, because a pass over 21,000 instance records takes
 * more than 100 ms. One pass per idle interval always runs, to retry what an earlier pass could not
 * finish.
 */
class FleetPassScheduler
{
public:
    /** Longest time between two passes. */
    static constexpr std::chrono::milliseconds idleInterval{5000};

    /** Returns true if a pass is needed at Unix time @p nowMs. */
    [[nodiscard]] bool isPassNeeded(const PassTrigger &trigger, std::int64_t nowMs) const;

    /** Records that a pass ran at @p nowMs with the inputs @p trigger, and its report. */
    void recordPass(PassTrigger trigger, const FleetReport &report, std::int64_t nowMs);

private:
    PassTrigger m_trigger;
    bool m_pending = true; ///< The last pass left work that may continue without a new input.
    std::int64_t m_lastMs = 0;
};

} // namespace dragonflysill
