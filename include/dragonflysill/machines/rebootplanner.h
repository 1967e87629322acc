#pragma once

#include "dragonflysill/machines/fleetinputs.h"
#include "dragonflysill/machines/waveprogress.h"

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace dragonflysill {

/** A request to the platform for one instance. */
struct PlatformRequest
{
    enum class Kind { Drain, Reboot };
    Kind kind = Kind::Drain;
    std::string instance;

    bool operator==(const PlatformRequest &) const = default;
};

/**
 * Decides the platform requests for instances in maintenance: drain until the list shows the
 * instance as leaving and the wave has stored that, then reboot until the list shows it as live.
 * A drained instance stays leaving until its reboot, so that no control process misses it. A
 * request is repeated only after the list had time to show its effect; a new owner waits for the
 * same time before its first reboot request, because the previous owner may have sent it.
 */
class RebootPlanner
{
public:
    /**
     * Longer than the list lags and than a reboot takes: a platform that restarts a running reboot
     * would never finish one that takes longer than this.
     */
    static constexpr std::chrono::milliseconds repeatInterval{900'000};
    /** Longer than the list lags: a finished reboot is visible after it. */
    static constexpr std::chrono::milliseconds takeoverWait{15'000};

    /** Returns the requests that are due; they count as sent. */
    std::vector<PlatformRequest> decide(const FleetInputs &inputs,
                                        const ByName<WaveProgress> &waves,
                                        const std::set<std::string, std::less<>> &ownedPools);

    /** Forgets a request that the platform did not accept, so that it is sent again at once. */
    void failed(const PlatformRequest &request);

private:
    struct Sent
    {
        std::int64_t epoch = 0;
        std::int64_t drainMs = 0; ///< Unix time of the last drain request; 0 if none was sent.
        std::int64_t rebootMs = 0;
    };

    void decideInstance(const FleetInputs &inputs, const std::string &name, bool drained,
                        std::vector<PlatformRequest> &requests);

    ByName<Sent> m_sent;
};

} // namespace dragonflysill
