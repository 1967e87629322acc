#pragma once

#include "dragonflysill/zones/memberreport.h"
#include "dragonflysill/zones/view.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/** Progress of an accepted ticket until all members apply it and its moves are complete. */
struct Rollout
{
    std::int64_t ticket = 0; ///< Number of the ticket.
    std::int64_t revision = 0; ///< The store's revision that contains the ticket.
    std::int64_t acceptedMs = 0; ///< Unix time of the acceptance.
    std::optional<std::int64_t> inEffectMs; ///< When every member had applied the revision.
    std::optional<std::int64_t> completeMs; ///< When its moves were complete as well.
    std::vector<std::string> waitingMembers; ///< Members that have not applied the revision.
    std::vector<std::string> waitingInstances; ///< Instances that do not serve in their pool yet.

    bool operator==(const Rollout &) const = default;
};

/**
 * Measures the roll-out time of tickets from views and member reports. Only pools that no later
 * ticket has changed count as moves of a ticket. Not thread-safe.
 */
class RolloutTracker
{
public:
    /** Number of roll-outs that are kept for operators; each takes about 100 bytes. */
    static constexpr std::size_t rolloutLimit{1000};

    /** Starts measuring a ticket; a ticket that is already known is ignored. */
    void accepted(std::int64_t ticket, std::int64_t revision, std::int64_t acceptedMs);

    /**
     * Updates all open roll-outs.
     * @param view the newest view of this process
     * @param reports the last reports of the members
     * @param self name of this member; without a report of it, the revision of @p view counts
     * @param nowMs Unix time
     * @return the roll-outs that this call completed
     */
    std::vector<Rollout> update(const View &view, std::span<const MemberReport> reports,
                                std::string_view self, std::int64_t nowMs);

    /** Returns the roll-out of a ticket, or nothing if this process did not accept it. */
    [[nodiscard]] std::optional<Rollout> find(std::int64_t ticket) const;

    /** Returns all known roll-outs, oldest ticket first. */
    [[nodiscard]] std::vector<Rollout> all() const;

    /** Returns the number of roll-outs that are not complete. */
    [[nodiscard]] std::size_t openCount() const;

private:
    std::deque<Rollout> m_rollouts;
};

/** Encodes a roll-out as JSON text, the format of the operators' interface. */
std::string encodeRollout(const Rollout &rollout);

/** Decodes a roll-out; Corrupt if the text is not one. */
Result<Rollout> decodeRollout(std::string_view text);

} // namespace dragonflysill
