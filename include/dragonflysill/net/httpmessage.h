#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dragonflysill {

/** A header field; names are compared without regard to case. */
using HttpHeader = std::pair<std::string, std::string>;

/** An HTTP/1.1 request as the event loop's client sends it and its server receives it. */
struct HttpRequest
{
    std::string method; ///< In capitals, for example "GET".
    std::string target; ///< Path and query, percent-encoded.
    std::string body;
    std::vector<HttpHeader> headers; ///< Without the framing fields, which the library adds.

    /** Returns the value of a header field, empty if it is missing. */
    [[nodiscard]] std::string_view header(std::string_view name) const;
};

/** An HTTP/1.1 response. */
struct HttpResponse
{
    int status = 0;
    std::string body;
    std::vector<HttpHeader> headers;
};

/** Returns the text with all but unreserved characters (RFC 3986) percent-encoded. */
std::string percentEncode(std::string_view text);

} // namespace dragonflysill
