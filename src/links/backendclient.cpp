#include "dragonflysill/links/backendclient.h"

#include "dragonflysill/links/backendstream.h"
#include "dragonflysill/links/headers.h"

#include <algorithm>
#include <charconv>

namespace dragonflysill {

namespace internal {

// A connect within one region takes about 1 ms, so after this the peer counts as unreachable.
constexpr std::chrono::milliseconds connectTimeout{500};

/** Returns the idle timeout from "Keep-Alive: timeout=N", limited to the default. */
Duration idleTimeoutOf(const httplib::Response &response)
{
    constexpr std::string_view name = "timeout=";
    const std::string value = response.get_header_value("Keep-Alive");
    const auto start = value.find(name);
    int seconds = 0;
    if (start == std::string_view::npos)
        return ConnectionPool::defaultIdleTimeout;
    const std::string_view digits = std::string_view(value).substr(start + name.size());
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    // One second less, so that the backend server does not close the connection during a request.
    const std::chrono::seconds advertised{std::max(0, seconds - 1)};
    return std::min<Duration>(advertised, ConnectionPool::defaultIdleTimeout);
}

AttemptResult classifyIncomplete(SocketStatus status, bool fresh)
{
    if (status == SocketStatus::TimedOut)
        return AttemptResult::Silent;
    // A backend server may close a reused connection at any time; this is no failure.
    return fresh ? AttemptResult::Failed : AttemptResult::Abandoned;
}

} // namespace internal

ExchangeResult BackendClient::run(httplib::Request &request, const Assignment &assignment,
                                  TimePoint until)
{
    ExchangeResult exchange;
    ConnectionPointer connection = takeIdleConnection(assignment);
    exchange.freshConnection = !connection;
    if (!connection)
        connection = openConnection(assignment.address, until);
    if (!connection) {
        exchange.result = AttemptResult::ConnectFailed;
        return exchange;
    }
    BackendStream stream(connection->socket, until);
    exchange.complete = connection->protocol.exchange(stream, request, exchange.response);
    exchange.byteSent = stream.byteSent();
    if (!exchange.complete) {
        const bool fresh = exchange.freshConnection || stream.byteReceived();
        exchange.result = internal::classifyIncomplete(stream.status(), fresh);
        return exchange;
    }
    classifyResponse(exchange);
    if (!stream.hasUnreadBytes() && connection->protocol.canReuseConnection()) {
        connection->idleTimeout = internal::idleTimeoutOf(exchange.response);
        m_connections.putBack(std::move(connection), steadyNow());
    }
    return exchange;
}

ConnectionPointer BackendClient::takeIdleConnection(const Assignment &assignment)
{
    if (assignment.isProbe)
        return nullptr;
    while (ConnectionPointer connection = m_connections.take(assignment.address, steadyNow())) {
        if (connection->socket.isIdle())
            return connection;
    }
    return nullptr;
}

ConnectionPointer BackendClient::openConnection(const std::string &address, TimePoint until)
{
    auto connection = std::make_unique<BackendConnection>();
    connection->address = address;
    const TimePoint limit = std::min(until, steadyNow() + internal::connectTimeout);
    const bool connected = connection->socket.connect(address, limit) == SocketStatus::Ok;
    return connected ? std::move(connection) : nullptr;
}

void BackendClient::classifyResponse(ExchangeResult &exchange)
{
    constexpr int serverError = 500;
    constexpr int unavailable = 503;
    exchange.result = exchange.response.status >= serverError ? AttemptResult::Failed
                                                              : AttemptResult::Success;
    const bool refused
            = exchange.response.get_header_value(headernames::refused) == headernames::beforeStart;
    if (exchange.response.status == unavailable && refused)
        exchange.result = AttemptResult::Refused;
}

} // namespace dragonflysill
