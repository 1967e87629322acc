#pragma once

#include "dragonflysill/net/connectionbudget.h"

#include <array>
#include <cstdint>
#include <vector>

namespace dragonflysill {

/**
 * Logs when connections begin to be closed because of a limit, and when that has stopped: one line
 * for each change of a share, not for each connection.
 */
class ConnectionWatch
{
public:
    explicit ConnectionWatch(const ConnectionBudget &budget);

    /** Looks for connections that were closed since the last call. */
    void check(TimePoint now);

private:
    using Counts = std::array<std::uint64_t, closeCauseCount>;

    struct State
    {
        ConnectionBudget::NamedShare share;
        Counts counts{}; ///< At the last check.
        Counts atBegin{}; ///< When connections began to be closed.
        TimePoint lastClosed{};
        bool limited = false;
    };

    static void checkShare(State &state, TimePoint now);

    std::vector<State> m_states;
};

} // namespace dragonflysill
