#pragma once

#include "dragonflysill/base/time.h"

namespace dragonflysill {

/**
 * The number of requests that this entry process keeps in flight on one backend server whose slots
 * other entry processes use too. A slot that was granted stays in use while requests wait, so the
 * limit is the number that was last accepted. One request more is tried after a pause, which
 * doubles with each consecutive refusal; the entry processes thereby share the slots without
 * communicating. An earlier rule, additive increase with a limit of at least 1, caused 3.3 refusals
 * per success when 6 entry processes shared 8 slots at twice their capacity.
 */
class AdaptiveLimit
{
public:
    static constexpr std::chrono::milliseconds shortestPause{1};
    static constexpr std::chrono::milliseconds longestPause{500};

    /**
     * @param initial the limit before any feedback
     * @param maximum the backend server's slots
     */
    AdaptiveLimit(int initial, int maximum);

    /**
     * Notes that a request was sent as the @p inFlight th one at once.
     * @return true if the request is a trial of a higher limit
     */
    bool started(int inFlight, TimePoint now);

    /** Notes a complete response to a trial, after which further trials need no long pause. */
    void trialSucceeded();

    /**
     * Notes a refusal before start.
     * @param inFlight requests that were in flight, the refused one included
     * @param pause the usual time until one of the backend server's slots becomes free
     */
    void refused(int inFlight, Duration pause, TimePoint now);

    /** Changes the maximum, for example after a ticket. */
    void setMaximum(int maximum);

    /** Returns how many requests may be in flight now. */
    [[nodiscard]] int value(TimePoint now) const;

private:
    int m_limit;
    int m_maximum;
    int m_refusals = 0; ///< Consecutive ones.
    Duration m_pause = shortestPause;
    TimePoint m_nextTry{};
};

} // namespace dragonflysill
