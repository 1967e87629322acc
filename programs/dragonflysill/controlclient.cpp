#include "controlclient.h"

#include <httplib.h>

#include <algorithm>
#include <array>
#include <functional>
#include <utility>

namespace dragonflysill {

namespace internal {

namespace {

/** The result of a call to one control process. */
struct CallResult
{
    enum class Status {
        Answered, ///< The document is the answer.
        NotSent, ///< No connection was established, so the call had no effect.
        Lost, ///< The call was sent, but no answer was received.
        Invalid, ///< The answer does not have the format of the operators' interface.
    };
    Status status = Status::Lost;
    nlohmann::json document;
};

CallResult readResult(const httplib::Result &result)
{
    if (!result) {
        const bool notSent = result.error() == httplib::Error::Connection
                             || result.error() == httplib::Error::ConnectionTimeout
                             || result.error() == httplib::Error::BindIPAddress;
        return {notSent ? CallResult::Status::NotSent : CallResult::Status::Lost, {}};
    }
    auto document = nlohmann::json::parse(result->body, nullptr, false);
    const bool isObject = document.is_object();
    const bool hasError = isObject && document.contains("error") && document["error"].is_object()
                          && document["error"].contains("kind")
                          && document["error"]["kind"].is_string();
    if (!isObject || (result->status != 200 && !hasError))
        return {CallResult::Status::Invalid, {}};
    return {CallResult::Status::Answered, std::move(document)};
}

httplib::Client makeClient(const Endpoint &endpoint, const ControlClientTimeouts &timeouts)
{
    httplib::Client client(endpoint.host, endpoint.port);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(timeouts.connect);
    client.set_read_timeout(timeouts.read);
    return client;
}

/** Returns true if the next control process should be tried, since this one wrote nothing. */
bool shouldTryNext(std::string_view kind)
{
    constexpr std::array<std::string_view, 3> kinds{"store-unavailable", "lease-lost",
                                                    "store-regressed"};
    return std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
}

std::string endpointText(const Endpoint &endpoint)
{
    return endpoint.host + ":" + std::to_string(endpoint.port);
}

/** Tries a call that changes nothing at one control process after the other until one answers. */
ControlAnswer callFirstAvailable(const std::vector<Endpoint> &endpoints,
                                 const ControlClientTimeouts &timeouts,
                                 const std::function<httplib::Result(httplib::Client &)> &call)
{
    std::string tried;
    bool hasInvalidAnswer = false;
    ControlAnswer last;
    for (const auto &it : endpoints) {
        auto client = makeClient(it, timeouts);
        CallResult callResult = readResult(call(client));
        tried += (tried.empty() ? "" : ", ") + endpointText(it);
        hasInvalidAnswer = hasInvalidAnswer || callResult.status == CallResult::Status::Invalid;
        if (callResult.status != CallResult::Status::Answered)
            continue;
        last.document = std::move(callResult.document);
        if (!shouldTryNext(last.errorKind()))
            return last;
    }
    if (last.document.is_null())
        last.document = errorDocument(
                Error(hasInvalidAnswer ? ErrorKind::Corrupt : ErrorKind::Unreachable,
                      "no usable answer from control process " + tried));
    return last;
}

} // namespace

} // namespace internal

using namespace internal;

std::string ControlAnswer::errorKind() const
{
    if (!document.is_object() || !document.contains("error"))
        return {};
    return document["error"].value("kind", std::string("unknown"));
}

nlohmann::json errorDocument(const Error &error)
{
    return {{"error", {{"kind", errorName(error.code)}, {"message", error.text()}}}};
}

ControlClient::ControlClient(std::vector<Endpoint> endpoints, ControlClientTimeouts timeouts)
    : m_endpoints(std::move(endpoints))
    , m_timeouts(timeouts)
{
}

Result<std::vector<Endpoint>> ControlClient::parseEndpoints(std::string_view text)
{
    std::vector<Endpoint> endpoints;
    while (!text.empty()) {
        const auto comma = text.find(',');
        const std::string_view element = text.substr(0, comma);
        const auto endpoint = Endpoint::parse(element);
        if (!endpoint || endpoint->port == 0)
            return Error(ErrorKind::SettingsInvalid,
                         "'" + std::string(element) + "' is not IP:PORT");
        endpoints.push_back(*endpoint);
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    }
    if (endpoints.empty())
        return Error(ErrorKind::SettingsInvalid, "--control names no control process");
    return endpoints;
}

ControlAnswer ControlClient::get(const std::string &path) const
{
    return callFirstAvailable(m_endpoints, m_timeouts,
                              [&](httplib::Client &client) { return client.Get(path); });
}

ControlAnswer ControlClient::validate(const std::string &ticket) const
{
    return callFirstAvailable(m_endpoints, m_timeouts, [&](httplib::Client &client) {
        return client.Post("/v1/tickets/validate", ticket, "application/json");
    });
}

ControlAnswer ControlClient::apply(const std::string &ticket) const
{
    std::string unknownAt;
    std::string tried;
    ControlAnswer last;
    for (const auto &it : m_endpoints) {
        auto client = makeClient(it, m_timeouts);
        CallResult callResult = readResult(client.Post("/v1/tickets", ticket, "application/json"));
        tried += (tried.empty() ? "" : ", ") + endpointText(it);
        if (callResult.status == CallResult::Status::NotSent)
            continue;
        ControlAnswer answer{std::move(callResult.document)};
        const std::string kind = answer.errorKind();
        if (callResult.status != CallResult::Status::Answered || kind == "outcome-unknown") {
            unknownAt += (unknownAt.empty() ? "" : ", ") + endpointText(it);
            continue;
        }
        if (kind.empty())
            return answer;
        last = std::move(answer);
        if (!shouldTryNext(kind))
            break;
    }
    if (unknownAt.empty() && last.document.is_null())
        last.document
                = errorDocument(Error(ErrorKind::Unreachable, "no control process at " + tried));
    if (unknownAt.empty())
        return last;
    // The ticket of the lost call may still be accepted later, so a refusal by another process does
    // not prove that it was refused.
    ControlAnswer unknown{errorDocument(Error(ErrorKind::OutcomeUnknown, "sent to " + unknownAt))};
    if (!last.document.is_null())
        unknown.document["error"]["later_answer"] = last.document["error"];
    return unknown;
}

std::optional<std::string> ControlClient::fetch(const std::string &address,
                                                const std::string &path) const
{
    const auto endpoint = Endpoint::parse(address);
    if (!endpoint)
        return std::nullopt;
    constexpr std::chrono::milliseconds fetchTimeout{1000};
    auto client = makeClient(*endpoint, {fetchTimeout, fetchTimeout});
    const auto result = client.Get(path);
    if (!result || result->status != 200)
        return std::nullopt;
    return result->body;
}

} // namespace dragonflysill
