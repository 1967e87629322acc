#include "httptranslation.h"

#include "dragonflysill/links/headers.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace dragonflysill {

namespace internal {

constexpr std::string_view hiddenPrefix = "Dragonflysill-Hidden-";
constexpr std::array<const char *, 4> rewrittenHeaders{"Content-Type", "Content-Encoding",
                                                       "Accept-Encoding", "Range"};
// The HTTP library adds these to every received request.
constexpr std::array<std::string_view, 4> addedHeaders{"REMOTE_ADDR", "REMOTE_PORT", "LOCAL_ADDR",
                                                       "LOCAL_PORT"};
constexpr std::size_t longestIdentifier = 256;

bool readsBody(const std::string &method)
{
    return method == "POST" || method == "PUT" || method == "PATCH" || method == "DELETE";
}

bool isForwardable(const std::string &method)
{
    return readsBody(method) || method == "GET" || method == "HEAD" || method == "OPTIONS";
}

bool isOwn(std::string_view name)
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

bool isAdded(std::string_view name)
{
    return std::find(addedHeaders.begin(), addedHeaders.end(), name) != addedHeaders.end();
}

bool isReplaced(std::string_view name, const std::string &method)
{
    const bool length = sameHeaderName(name, "Content-Length") && method != "HEAD";
    return length || sameHeaderName(name, headernames::outcome)
           || sameHeaderName(name, headernames::requestId)
           || sameHeaderName(name, headernames::refused);
}

} // namespace internal

void hideRewrittenHeaders(httplib::Request &request)
{
    // A caller could otherwise pass any header, for example a second Content-Length, unchecked.
    std::erase_if(request.headers, [](const auto &it) { return internal::isHidden(it.first); });
    for (const char *name : internal::rewrittenHeaders) {
        const auto range = request.headers.equal_range(name);
        if (range.first == range.second)
            continue;
        const std::string value = range.first->second;
        request.headers.erase(range.first, range.second);
        request.headers.emplace(std::string(internal::hiddenPrefix) + name, value);
    }
    request.ranges.clear();
    const bool framed
            = request.has_header("Content-Length") || request.has_header("Transfer-Encoding");
    if (!framed && internal::readsBody(request.method))
        request.headers.emplace("Content-Length",
                                "0"); // Else the library reads until it times out.
}

std::optional<Failure> checkRequest(const httplib::Request &request)
{
    if (!internal::isForwardable(request.method) || hasUnreadBody(request))
        return Failure::BadRequest;
    for (const auto &it : request.headers) {
        if (!isSafeHeaderValue(it.second) || !isSafeHeaderValue(it.first))
            return Failure::BadRequest;
    }
    for (const char *name : {headernames::requestId, headernames::idempotencyKey}) {
        if (request.get_header_value(name).size() > internal::longestIdentifier)
            return Failure::BadRequest;
    }
    return std::nullopt;
}

bool hasUnreadBody(const httplib::Request &request)
{
    if (internal::readsBody(request.method))
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
        if (isHopByHop(name, connection) || internal::isOwn(name) || internal::isAdded(name))
            continue;
        if (internal::isHidden(name))
            name.remove_prefix(internal::hiddenPrefix.size());
        forwarded.headers.emplace(name, it.second);
    }
    return forwarded;
}

void copyResponse(httplib::Response &&from, const std::string &method, httplib::Response &to)
{
    const std::string connection = from.get_header_value("Connection");
    to.status = from.status;
    for (const auto &it : from.headers) {
        if (!isHopByHop(it.first, connection) && !internal::isReplaced(it.first, method))
            to.set_header(it.first, it.second);
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

void closeAfterResponse(httplib::Response &response)
{
    const std::string text = std::move(response.body);
    response.body.clear();
    response.headers.erase("Content-Type");
    response.set_header("Connection", "close");
    // The library closes a connection only after a failed write, so the provider reports a failure
    // once the whole text is written. Without a length, the end of the connection ends the body.
    response.set_content_provider("text/plain", [text](std::size_t, httplib::DataSink &sink) {
        sink.write(text.data(), text.size());
        return false;
    });
}

} // namespace dragonflysill
