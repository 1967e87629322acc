#pragma once

#include "dragonflysill/base/time.h"
#include "dragonflysill/links/attempt.h"

namespace dragonflysill {

/** Which requests a backend server receives, depending on its recent results. */
enum class HealthState {
    Normal, ///< Requests up to its limit.
    Probing, ///< One request at a time, on a new connection.
    Ejected, ///< No requests until the ejection ends.
};

/** What the owner of a BackendHealth has to do after a result. */
enum class HealthChange { None, EjectionRequested, Restored };

/**
 * Tracks the health of one backend server. A missing response may be caused by the connection
 * alone, so it only changes the state to Probing; ejection is requested if a new connection gets no
 * response either. Several consecutive failures request ejection directly. The owner decides
 * whether to eject, because it knows how many other backend servers are ejected.
 */
class BackendHealth
{
public:
    /** Consecutive failures that request an ejection; single errors are common during restarts. */
    static constexpr int ejectionThreshold = 5;
    static constexpr std::chrono::seconds firstEjectionTime{1};
    static constexpr std::chrono::seconds maxEjectionTime{30};

    /**
     * Records the result of an attempt.
     * @param freshConnection true if the attempt opened a new connection
     */
    HealthChange recordResult(AttemptResult result, bool freshConnection);

    /** Starts an ejection; each consecutive one lasts twice as long, up to maxEjectionTime. */
    void eject(TimePoint now);

    /** Returns the state; after the end of an ejection it changes to Probing. */
    HealthState state(TimePoint now);

private:
    HealthChange recordSuccess();
    HealthChange recordSilence(bool freshConnection);
    HealthChange recordFailure();

    HealthState m_state = HealthState::Normal;
    TimePoint m_ejectedUntil{};
    int m_consecutiveFailures = 0;
    int m_consecutiveEjections = 0;
};

} // namespace dragonflysill
