#pragma once

#include "dragonflysill/base/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflysill {

/** The registration of an instance in the store, written by its control process. */
struct Member
{
    std::string name;
    std::string region;
    std::string zone; ///< Availability zone.
    std::string peerAddress; ///< Address on which its control process accepts peer connections.
    std::string operatorAddress; ///< HTTP interface of its control process for operators.
    std::string entryAddress; ///< Address on which its entry process accepts callers.
    std::string adminAddress; ///< Metrics, health and timeline of its entry process.
    std::int64_t incarnation = 0; ///< Increases with every start or registration.

    bool operator==(const Member &) const = default;
};

/** Returns the JSON text that the store holds for a member. */
std::string encodeMember(const Member &member);

/** Decodes a stored member; Corrupt if the text is not a member. */
Result<Member> decodeMember(std::string_view text);

} // namespace dragonflysill
