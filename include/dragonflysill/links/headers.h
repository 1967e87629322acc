#pragma once

#include <string>
#include <string_view>

namespace dragonflysill {

namespace headernames {

inline constexpr const char *outcome = "Dragonflysill-Outcome";
inline constexpr const char *requestId = "Dragonflysill-Request-Id";
inline constexpr const char *deadline = "Dragonflysill-Deadline-Ms";
inline constexpr const char *pool = "Dragonflysill-Pool";
inline constexpr const char *epoch = "Dragonflysill-Epoch";
inline constexpr const char *refused = "Dragonflysill-Refused";
inline constexpr const char *duplicateOf = "Dragonflysill-Duplicate-Of";
inline constexpr const char *idempotencyKey = "Idempotency-Key";
/** Value of the refused header that confirms that the request was not started. */
inline constexpr std::string_view beforeStart = "before-start";

} // namespace headernames

/**
 * Returns true if a header belongs to one connection and must not be forwarded (RFC 9110, 7.6.1).
 * @param name the header's name
 * @param connection the value of the message's Connection header, which names further ones
 */
bool isHopByHop(std::string_view name, std::string_view connection);

/** Returns true if two header names are equal, ignoring case. */
bool sameHeaderName(std::string_view a, std::string_view b);

/** Returns true if a header value contains no CR, LF or NUL, which could end the header. */
bool isSafeHeaderValue(std::string_view value);

} // namespace dragonflysill
