#pragma once

#include "dragonflysill/links/outcome.h"

#include <httplib.h>

#include <cstddef>
#include <optional>
#include <string>

namespace dragonflysill {

/** Largest request body in bytes; larger ones are rejected with status 413. */
inline constexpr std::size_t requestBodyLimit = 8UL * 1024 * 1024;

/**
 * Hides headers that the HTTP library would process itself: it decompresses bodies, parses
 * multipart bodies, cuts responses to the requested range and compresses them, all of which would
 * change the message. forwardedRequest() restores the headers.
 * @param request the received request
 */
void hideRewrittenHeaders(httplib::Request &request);

/**
 * Checks for requests that the HTTP library accepts but a proxy must not forward.
 * @return the failure, or nothing if the request can be forwarded
 */
std::optional<Failure> checkRequest(const httplib::Request &request);

/** Returns true if the request has a body that the library does not read from the connection. */
bool hasUnreadBody(const httplib::Request &request);

/**
 * Returns the request to send to a backend server, without hop-by-hop headers and the headers that
 * are set for each attempt.
 */
httplib::Request forwardedRequest(const httplib::Request &request);

/** Copies a backend server's response, without hop-by-hop headers. */
void copyResponse(httplib::Response &&from, const std::string &method, httplib::Response &to);

/** Fills in the response for a failure. */
void setFailure(httplib::Response &response, Failure failure);

} // namespace dragonflysill
