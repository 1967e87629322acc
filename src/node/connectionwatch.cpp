#include "dragonflysill/node/connectionwatch.h"

#include "dragonflysill/telemetry/log.h"

#include <chrono>
#include <string>
#include <utility>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** Time without a closed connection after which a share counts as recovered. */
constexpr Duration recoveryTime = 10s;

} // namespace internal

ConnectionWatch::ConnectionWatch(const ConnectionBudget &budget)
{
    for (auto &it : budget.shares())
        m_states.push_back({std::move(it), {}, {}, {}, false});
}

void ConnectionWatch::check(TimePoint now)
{
    for (auto &it : m_states)
        checkShare(it, now);
}

void ConnectionWatch::checkShare(State &state, TimePoint now)
{
    Counts counts{};
    for (std::size_t n = 0; n < counts.size(); ++n) {
        // Ordinary callers leave idle connections behind.
        if (const auto cause = static_cast<CloseCause>(n); cause != CloseCause::IdleTimeout)
            counts.at(n) = state.share.share->closed(cause);
    }
    const bool begins = counts != state.counts && !state.limited;
    const bool ends = counts == state.counts && state.limited
                      && now - state.lastClosed >= internal::recoveryTime;
    if (counts != state.counts)
        state.lastClosed = now;
    if (begins)
        state.atBegin = state.counts;
    state.counts = counts;
    if (!begins && !ends)
        return;
    state.limited = begins;
    std::string closed;
    for (std::size_t n = 0; n < counts.size(); ++n) {
        const auto count = counts.at(n) - state.atBegin.at(n);
        if (count > 0)
            closed += (closed.empty() ? "" : ", ") + std::to_string(count) + ' '
                      + std::string(closeCauseName(static_cast<CloseCause>(n)));
    }
    const auto &share = *state.share.share;
    const std::vector<LogField> fields{{"share", state.share.name},
                                       {"held_bytes", std::to_string(share.heldBytes())},
                                       {"connections", std::to_string(share.connections())},
                                       {"closed", closed}};
    logInfo(begins ? "connections-limited" : "connections-recovered", fields);
}

} // namespace dragonflysill
