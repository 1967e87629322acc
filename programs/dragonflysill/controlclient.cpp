#include "controlclient.h"

#include <httplib.h>

#include <algorithm>
#include <array>
#include <functional>
#include <utility>

namespace dragonflysill {

namespace internal {

namespace {

/** What one control process made of a call. */
struct Reply
{
    enum class Fate {
        Answered, ///< The document is its answer.
        NotSent, ///< No connection was opened, so the call had no effect.
        Lost, ///< The call was sent, but no answer came.
        Garbled, ///< An answer came that is not one of the operators' interface.
    };
    Fate fate = Fate::Lost;
    nlohmann::json document;
};

Reply readReply(const httplib::Result &result)
{
    if (!result) {
        const bool notSent = result.error() == httplib::Error::Connection
                             || result.error() == httplib::Error::ConnectionTimeout
                             || result.error() == httplib::Error::BindIPAddress;
        return {notSent ? Reply::Fate::NotSent : Reply::Fate::Lost, {}};
    }
    auto document = nlohmann::json::parse(result->body, nullptr, false);
    const bool isObject = document.is_object();
    const bool hasError = isObject && document.contains("error") && document["error"].is_object()
                          && document["error"].contains("kind")
                          && document["error"]["kind"].is_string();
    if (!isObject || (result->status != 200 && !hasError))
        return {Reply::Fate::Garbled, {}};
    return {Reply::Fate::Answered, std::move(document)};
}

httplib::Client clientOf(const Endpoint &endpoint, const ControlClientLimits &limits)
{
    httplib::Client client(endpoint.host, endpoint.port);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(limits.connect);
    client.set_read_timeout(limits.read);
    return client;
}

/** Returns true if another control process may do better: this one wrote nothing. */
bool worthAnother(std::string_view kind)
{
    constexpr std::array<std::string_view, 3> kinds{"store-unavailable", "lease-lost",
                                                    "store-regressed"};
    return std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
}

std::string nameOf(const Endpoint &endpoint)
{
    return endpoint.host + ":" + std::to_string(endpoint.port);
}

/** Makes calls without effect at one control process after the other until one answers. */
ControlAnswer readAny(const std::vector<Endpoint> &endpoints, const ControlClientLimits &limits,
                      const std::function<httplib::Result(httplib::Client &)> &call)
{
    std::string tried;
    bool garbled = false;
    ControlAnswer last;
    for (const auto &it : endpoints) {
        auto client = clientOf(it, limits);
        Reply reply = readReply(call(client));
        tried += (tried.empty() ? "" : ", ") + nameOf(it);
        garbled = garbled || reply.fate == Reply::Fate::Garbled;
        if (reply.fate != Reply::Fate::Answered)
            continue;
        last.document = std::move(reply.document);
        if (!worthAnother(last.errorKind()))
            return last;
    }
    if (last.document.is_null())
        last.document = errorDocument(Error(garbled ? ErrorKind::Corrupt : ErrorKind::Unreachable,
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

ControlClient::ControlClient(std::vector<Endpoint> endpoints, ControlClientLimits limits)
    : m_endpoints(std::move(endpoints))
    , m_limits(limits)
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
    return readAny(m_endpoints, m_limits,
                   [&](httplib::Client &client) { return client.Get(path); });
}

ControlAnswer ControlClient::validate(const std::string &ticket) const
{
    return readAny(m_endpoints, m_limits, [&](httplib::Client &client) {
        return client.Post("/v1/tickets/validate", ticket, "application/json");
    });
}

ControlAnswer ControlClient::apply(const std::string &ticket) const
{
    std::string lostAt;
    std::string tried;
    ControlAnswer last;
    for (const auto &it : m_endpoints) {
        auto client = clientOf(it, m_limits);
        Reply reply = readReply(client.Post("/v1/tickets", ticket, "application/json"));
        tried += (tried.empty() ? "" : ", ") + nameOf(it);
        if (reply.fate == Reply::Fate::NotSent)
            continue;
        ControlAnswer answer{std::move(reply.document)};
        const std::string kind = answer.errorKind();
        if (reply.fate != Reply::Fate::Answered || kind == "outcome-unknown") {
            lostAt += (lostAt.empty() ? "" : ", ") + nameOf(it);
            continue;
        }
        if (kind.empty())
            return answer;
        last = std::move(answer);
        if (!worthAnother(kind))
            break;
    }
    if (lostAt.empty() && last.document.is_null())
        last.document
                = errorDocument(Error(ErrorKind::Unreachable, "no control process at " + tried));
    if (lostAt.empty())
        return last;
    // The lost call may still be accepted later, so a refusal by another process is no proof.
    ControlAnswer unknown{errorDocument(Error(ErrorKind::OutcomeUnknown, "sent to " + lostAt))};
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
    constexpr std::chrono::milliseconds oneProcessLimit{1000};
    auto client = clientOf(*endpoint, {oneProcessLimit, oneProcessLimit});
    const auto result = client.Get(path);
    if (!result || result->status != 200)
        return std::nullopt;
    return result->body;
}

} // namespace dragonflysill
