#pragma once

#include "dragonflysill/base/time.h"

#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dragonflysill {

/**
 * The times at which workers get their next hold request. A worker has at most one request in
 * flight. Finding the due workers takes time only for those that are due.
 */
class HoldSchedule
{
public:
    struct DueHold
    {
        std::string worker;
        TimePoint dueAt{};
    };

    /** Adds a worker whose first request is due immediately; ignores a known worker. */
    void add(const std::string &worker, TimePoint now);

    /** Returns the workers whose request is due, most overdue first, as in flight from now on. */
    std::vector<DueHold> takeDue(TimePoint now);

    /** Records the answer to a worker's request, or its timeout, and the time of the next one. */
    void answered(const std::string &worker, TimePoint next);

    /** Makes a worker's request due at @p at at the latest, unless one is in flight. */
    void bringForward(const std::string &worker, TimePoint at);

    /** Removes a worker; add() makes it known again. */
    void remove(const std::string &worker);

private:
    struct State
    {
        TimePoint next{};
        bool inFlight = false;
    };

    void schedule(const std::string &worker, State &state, TimePoint at);

    std::unordered_map<std::string, State> m_states;
    std::set<std::pair<TimePoint, std::string>> m_waiting; ///< Workers without request in flight.
};

} // namespace dragonflysill
