#include "dragonflysill/links/httptranslation.h"

#include "dragonflysill/links/headers.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <string_view>
#include <utility>
#include <vector>

namespace dragonflysill {

namespace internal {

// No real header name starts with '~', so comparisons end at the first character.
constexpr std::string_view hiddenPrefix = "~Dragonflysill-";
constexpr std::array<std::string_view, 4> rewrittenHeaders{"Content-Type", "Content-Encoding",
                                                           "Accept-Encoding", "Range"};
// The HTTP library adds these to every received request.
constexpr std::array<std::string_view, 4> libraryHeaders{"REMOTE_ADDR", "REMOTE_PORT", "LOCAL_ADDR",
                                                         "LOCAL_PORT"};
constexpr std::size_t maxIdentifierLength = 256;

bool libraryReadsBody(const std::string &method)
{
    return method == "POST" || method == "PUT" || method == "PATCH" || method == "DELETE";
}

bool isForwardable(const std::string &method)
{
    return libraryReadsBody(method) || method == "GET" || method == "HEAD" || method == "OPTIONS";
}

bool isSetByEntry(std::string_view name)
{
    return sameHeaderName(name, headernames::pool) || sameHeaderName(name, headernames::epoch)
           || sameHeaderName(name, headernames::deadline)
           || sameHeaderName(name, headernames::requestId)
           || sameHeaderName(name, "Content-Length");
}

bool isHidden(std::string_view name)
{
    return sameHeaderName(name.substr(0, hiddenPrefix.size()), hiddenPrefix);
}

bool isFraming(std::string_view name)
{
    return sameHeaderName(name, "Content-Length") || sameHeaderName(name, "Transfer-Encoding");
}

bool isRewritten(std::string_view name)
{
    return std::any_of(rewrittenHeaders.begin(), rewrittenHeaders.end(),
                       [name](std::string_view it) { return sameHeaderName(it, name); });
}

bool isAddedByLibrary(std::string_view name)
{
    return std::find(libraryHeaders.begin(), libraryHeaders.end(), name) != libraryHeaders.end();
}

bool isReplacedInResponse(std::string_view name, const std::string &method)
{
    const bool length = sameHeaderName(name, "Content-Length") && method != "HEAD";
    return length || sameHeaderName(name, headernames::outcome)
           || sameHeaderName(name, headernames::requestId)
           || sameHeaderName(name, headernames::refused);
}

} // namespace internal

void hideRewrittenHeaders(httplib::Request &request)
{
    bool framed = false;
    std::vector<httplib::Headers::node_type> hidden;
    for (auto it = request.headers.begin(); it != request.headers.end();) {
        const auto current = it++;
        framed = framed || internal::isFraming(current->first);
        // Otherwise a caller could send any header unchecked, for example a second Content-Length.
        if (internal::isHidden(current->first))
            request.headers.erase(current);
        else if (internal::isRewritten(current->first))
            hidden.push_back(request.headers.extract(current));
    }
    for (auto &it : hidden) {
        it.key().insert(0, internal::hiddenPrefix);
        request.headers.insert(std::move(it));
    }
    request.ranges.clear();
    if (!framed && internal::libraryReadsBody(request.method))
        request.headers.emplace("Content-Length",
                                "0"); // Else the library reads until the timeout.
}

std::optional<Failure> checkRequest(const httplib::Request &request)
{
    if (!internal::isForwardable(request.method) || hasUnreadBody(request))
        return Failure::BadRequest;
    // The library would read and discard an oversized body before responding.
    const std::string length = request.get_header_value("Content-Length");
    if (std::strtoull(length.c_str(), nullptr, 10) > requestBodyLimit)
        return Failure::TooLarge;
    for (const auto &it : request.headers) {
        if (!isSafeHeaderValue(it.second) || !isSafeHeaderValue(it.first))
            return Failure::BadRequest;
    }
    for (const char *name : {headernames::requestId, headernames::idempotencyKey}) {
        if (request.get_header_value(name).size() > internal::maxIdentifierLength)
            return Failure::BadRequest;
    }
    return std::nullopt;
}

bool hasUnreadBody(const httplib::Request &request)
{
    if (internal::libraryReadsBody(request.method))
        return false;
    const std::string length = request.get_header_value("Content-Length");
    return request.has_header("Transfer-Encoding") || (!length.empty() && length != "0");
}

httplib::Request forwardedRequest(const httplib::Request &request)
{
    httplib::Request forwarded;
    forwarded.method = request.method;
    forwarded.path = request.target;
    forwarded.body = request.body;
    const std::string connection = request.get_header_value("Connection");
    for (const auto &it : request.headers) {
        std::string_view name = it.first;
        if (isHopByHop(name, connection) || internal::isSetByEntry(name)
            || internal::isAddedByLibrary(name))
            continue;
        if (internal::isHidden(name))
            name.remove_prefix(internal::hiddenPrefix.size());
        // The source is sorted, so most names belong at the end.
        forwarded.headers.emplace_hint(forwarded.headers.end(), name, it.second);
    }
    return forwarded;
}

void copyResponse(httplib::Response &&from, const std::string &method, httplib::Response &to)
{
    const std::string connection = from.get_header_value("Connection");
    to.status = from.status;
    for (auto &it : from.headers) {
        if (!isHopByHop(it.first, connection) && !internal::isReplacedInResponse(it.first, method))
            to.headers.emplace_hint(to.headers.end(), it.first, std::move(it.second));
    }
    to.body = std::move(from.body);
}

void setFailure(httplib::Response &response, Failure failure)
{
    const FailureResponse description = describe(failure);
    response.status = description.status;
    response.set_header(headernames::outcome, std::string(toText(description.outcome)));
    if (description.retryAfter)
        response.set_header("Retry-After", "1");
    response.set_content(std::string(description.text) + "\n", "text/plain");
}

} // namespace dragonflysill
