#pragma once

#include "dragonflysill/base/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dragonflysill {

/** Name and value of a header field; names are case-insensitive. */
using HttpHeader = std::pair<std::string, std::string>;

/** HTTP/1.1 request that HttpClient sends or HttpServer receives. */
struct HttpRequest
{
    std::string method; ///< In upper case, for example "GET".
    std::string target; ///< Path and query, percent-encoded.
    std::string body;
    /** Without the framing fields, which are added when it is sent. */
    std::vector<HttpHeader> headers;

    /** Returns the value of a header field; empty if it is missing. */
    [[nodiscard]] std::string_view header(std::string_view name) const;
};

/** The connection of a call, when its request was written. */
struct HttpConnectionUse
{
    Duration age{0}; ///< Since the connection was set up.
    std::uint64_t answers = 0; ///< Responses that it had brought before.
    Duration responseTime{0}; ///< From then until the response.
};

/** An HTTP/1.1 response. */
struct HttpResponse
{
    int status = 0;
    std::string body;
    std::vector<HttpHeader> headers;
    HttpConnectionUse connection = {}; ///< Set by HttpClient.
    /** This is the answer to IntendedPeer::question, and the request was not sent. */
    bool answersQuestion = false;
};

/** Percent-encodes all characters except slashes and the unreserved ones of RFC 3986. */
std::string percentEncode(std::string_view text);

/** Decodes percentEncode(); a percent sign without two digits stays as it is. */
std::string percentDecode(std::string_view text);

} // namespace dragonflysill
