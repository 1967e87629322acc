#pragma once

#include "dragonflysill/base/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflysill {

/** The registration of an entry instance in the store, written by its control process. */
struct Member
{
    std::string name;
    std::string region;
    std::string zone; ///< Availability zone.
    std::string peerAddress; ///< Where its control process accepts frames.
    std::string operatorAddress; ///< Operators' HTTP interface of its control process.
    std::string entryAddress; ///< Where its entry accepts callers.
    std::string adminAddress; ///< Metrics, health and timeline of its entry.
    std::int64_t incarnation = 0; ///< Grows with every start of the control process.

    bool operator==(const Member &) const = default;
};

/** Returns the JSON text that the store holds for a member. */
std::string encodeMember(const Member &member);

/** Decodes a stored member; Corrupt if the text is not a member. */
Result<Member> decodeMember(std::string_view text);

} // namespace dragonflysill
