#pragma once

#include "dragonflysill/machines/fleetrunner.h"

#include <chrono>
#include <cstdint>

namespace dragonflysill {

/** What a fleet pass depends on besides time. */
struct PassTrigger
{
    std::int64_t revision = 0; ///< Of the view.
    Acknowledgements acknowledgements;
    ByName<PlatformState> platform;

    bool operator==(const PassTrigger &) const = default;
};

/**
 * Decides whether a fleet pass is needed. At 21,000 instance records a pass takes over 100 ms, so
 * passes in which nothing can change are left out, except for one per idle interval, which repeats
 * what an earlier pass could not finish.
 */
class FleetPassScheduler
{
public:
    static constexpr std::chrono::milliseconds idleInterval{5000};

    /** Returns true if a pass is needed at Unix time @p nowMs. */
    [[nodiscard]] bool isPassNeeded(const PassTrigger &trigger, std::int64_t nowMs) const;

    /** Notes a pass that ran with @p trigger and what it reported. */
    void recordPass(PassTrigger trigger, const FleetReport &report, std::int64_t nowMs);

private:
    PassTrigger m_trigger;
    bool m_pending = true; ///< True if the last pass left something that time can change.
    std::int64_t m_lastMs = 0;
};

} // namespace dragonflysill
