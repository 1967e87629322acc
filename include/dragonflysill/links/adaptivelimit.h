#pragma once

#include "dragonflysill/base/time.h"

namespace dragonflysill {

/**
 * Limits the requests that this entry process keeps in flight on one backend server whose slots are
 * shared with other entry processes. While requests are waiting, a granted slot stays in use, so
 * the limit is the number of requests that the backend server last accepted at once. After a pause
 * one more request is tried; the pause doubles with each consecutive refusal. This way the entry
 * processes share the slots without communicating. Additive increase with a limit of at least 1
 * caused 3.3 refusals per success when 6 entry processes shared 8 slots at twice their capacity.
 */
class AdaptiveLimit
{
public:
    static constexpr std::chrono::milliseconds minPause{1};
    static constexpr std::chrono::milliseconds maxPause{500};

    /**
     * @param initial the limit until the first trial or refusal
     * @param maximum the backend server's number of slots
     */
    AdaptiveLimit(int initial, int maximum);

    /**
     * Records that a request was sent.
     * @param inFlight requests in flight on the backend server, this one included
     * @return true if the request is a trial of a higher limit
     */
    bool requestSent(int inFlight, TimePoint now);

    /** Records a complete response to a trial and resets the pause to the minimum. */
    void trialSucceeded();

    /**
     * Records that the backend server refused a request before starting it.
     * @param inFlight requests that were in flight, the refused one included
     * @param pause expected time until one of the backend server's slots becomes free
     */
    void requestRefused(int inFlight, Duration pause, TimePoint now);

    /** Changes the maximum, for example after a ticket changed the number of slots. */
    void setMaximum(int maximum);

    /** Returns the current limit; it includes the trial request if one is due. */
    [[nodiscard]] int value(TimePoint now) const;

private:
    int m_limit;
    int m_maximum;
    int m_refusals = 0; ///< Consecutive refusals.
    Duration m_pause = minPause;
    TimePoint m_nextTrial{};
};

} // namespace dragonflysill
