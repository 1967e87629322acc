#pragma once

#include "dragonflysill/machines/fleetinputs.h"
#include "dragonflysill/machines/waveprogress.h"

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace dragonflysill {

/** A drain or reboot request to the platform for one instance. */
struct PlatformRequest
{
    enum class Kind { Drain, Reboot };
    Kind kind = Kind::Drain;
    std::string instance;

    bool operator==(const PlatformRequest &) const = default;
};

/**
 * Determines the platform requests for instances in maintenance. An instance is drained until the
 * platform's list shows it as leaving and the wave has stored that, then rebooted until the list
 * shows it as live. A drained instance stays leaving until its reboot, so that every control
 * process can observe that state. A request is repeated only after its effect should be visible in
 * the list. A new owner waits before its first reboot request, because the previous owner may have
 * sent one.
 */
class RebootPlanner
{
public:
    /**
     * Time before a request is repeated. It exceeds the lag of the list and the duration of a
     * reboot: if the platform restarts a running reboot on each request, a reboot that takes longer
     * than this interval never finishes.
     */
    static constexpr std::chrono::milliseconds repeatInterval{900'000};
    /**
     * Time that a new owner waits before its first reboot request. It exceeds the lag of the list,
     * so a reboot that finished before is visible by then.
     */
    static constexpr std::chrono::milliseconds takeoverWait{15'000};

    /** Returns the requests that are due and records them as sent. */
    std::vector<PlatformRequest> decide(const FleetInputs &inputs,
                                        const ByName<WaveProgress> &waves,
                                        const std::set<std::string, std::less<>> &ownedPools);

    /** Discards a request that the platform did not execute, so that it is sent again at once. */
    void requestFailed(const PlatformRequest &request);

private:
    /** The last requests for one instance. */
    struct SentRequests
    {
        std::int64_t epoch = 0;
        std::int64_t drainMs = 0; ///< Unix time of the last drain request; 0 if none was sent.
        std::int64_t rebootMs = 0; ///< Same for reboots; a new owner sets it to start takeoverWait.
    };

    void decideInstance(const FleetInputs &inputs, const std::string &name, bool drained,
                        std::vector<PlatformRequest> &requests);

    ByName<SentRequests> m_sent;
};

} // namespace dragonflysill
