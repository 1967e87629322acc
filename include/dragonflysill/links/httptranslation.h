#pragma once

#include "dragonflysill/links/outcome.h"

#include <httplib.h>

#include <cstddef>
#include <optional>
#include <string>

namespace dragonflysill {

/** Largest request body in bytes; larger ones get 413. */
inline constexpr std::size_t requestBodyLimit = 8UL * 1024 * 1024;

/**
 * Hides headers on which the HTTP library would act by itself: it decompresses bodies, splits
 * multipart bodies, slices responses by range and compresses them, all of which would change the
 * message. forwardedRequest() restores them.
 * @param request the received request
 */
void hideRewrittenHeaders(httplib::Request &request);

/**
 * Checks what the HTTP library accepts but a proxy must not forward.
 * @return the failure, or nothing if the request can be forwarded
 */
std::optional<Failure> checkRequest(const httplib::Request &request);

/** Returns true if the library leaves the request's body unread in the connection. */
bool hasUnreadBody(const httplib::Request &request);

/**
 * Returns the request to send to a backend server, without hop-by-hop headers. Headers of the
 * attempt can be added.
 */
httplib::Request forwardedRequest(const httplib::Request &request);

/** Copies a backend server's response, without hop-by-hop headers. */
void copyResponse(httplib::Response &&from, const std::string &method, httplib::Response &to);

/** Sets a response that the entry process makes itself. */
void setFailure(httplib::Response &response, Failure failure);

} // namespace dragonflysill
