#pragma once

#include "dragonflysill/base/time.h"
#include "dragonflysill/links/attempt.h"

namespace dragonflysill {

/** What a backend server may receive according to its recent results. */
enum class HealthState {
    Normal, ///< Work up to its limit.
    Checking, ///< One request at a time, on a new connection.
    Ejected, ///< Nothing until the ejection ends.
};

/** What the owner of a BackendHealth must do after a result. */
enum class HealthChange { None, WantsEjection, Restored };

/**
 * Judges one backend server. A connection without a response says nothing about the backend server:
 * it moves to Checking, and only if a new connection also fails, ejection is requested. Several
 * consecutive failures request ejection directly. Whether an ejection is granted is decided by the
 * owner, who knows how many others are ejected.
 */
class BackendHealth
{
public:
    /** Consecutive failures that request an ejection; a single error is common during restarts. */
    static constexpr int failureLimit = 5;
    static constexpr std::chrono::seconds firstEjection{1};
    static constexpr std::chrono::seconds longestEjection{30};

    /** Notes a result of an attempt. */
    HealthChange note(AttemptResult result, bool freshConnection);

    /** Ejects; each consecutive ejection lasts twice as long. */
    void eject(TimePoint now);

    /** Returns the state; an ejection that has ended becomes Checking. */
    HealthState state(TimePoint now);

private:
    HealthChange noteSuccess();
    HealthChange noteSilence(bool freshConnection);
    HealthChange noteFailure();

    HealthState m_state = HealthState::Normal;
    TimePoint m_ejectedUntil{};
    int m_consecutiveFailures = 0;
    int m_consecutiveEjections = 0;
};

} // namespace dragonflysill
