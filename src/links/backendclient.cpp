#include "dragonflysill/links/backendclient.h"

#include "dragonflysill/links/backendstream.h"
#include "dragonflysill/links/headers.h"

#include <algorithm>
#include <charconv>

namespace dragonflysill {

namespace internal {

// A connect within one region takes about 1 ms; a longer wait means that the peer is gone.
constexpr std::chrono::milliseconds longestConnect{500};

/** Returns the idle limit that "Keep-Alive: timeout=N" leaves, at most the default. */
Duration idleLimitOf(const httplib::Response &response)
{
    constexpr std::string_view name = "timeout=";
    const std::string value = response.get_header_value("Keep-Alive");
    const auto start = value.find(name);
    int seconds = 0;
    if (start == std::string_view::npos)
        return ConnectionPool::defaultIdleLimit;
    const std::string_view digits = std::string_view(value).substr(start + name.size());
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    // One second less, so that the backend server does not close it while a request is on its way.
    const std::chrono::seconds stated{std::max(0, seconds - 1)};
    return std::min<Duration>(stated, ConnectionPool::defaultIdleLimit);
}

AttemptResult resultOfLoss(SocketStatus status, bool fresh)
{
    if (status == SocketStatus::TimedOut)
        return AttemptResult::Silent;
    // The backend server may close a kept-alive connection at any time.
    return fresh ? AttemptResult::Failed : AttemptResult::Abandoned;
}

} // namespace internal

ExchangeEnd BackendClient::run(httplib::Request &request, const Assignment &assignment,
                               TimePoint until)
{
    ExchangeEnd end;
    ConnectionPointer connection = idleConnection(assignment);
    end.freshConnection = !connection;
    if (!connection)
        connection = newConnection(assignment.address, until);
    if (!connection) {
        end.result = AttemptResult::ConnectFailed;
        return end;
    }
    BackendStream stream(connection->socket, until);
    end.complete = connection->protocol.exchange(stream, request, end.response);
    end.byteSent = stream.byteSent();
    if (!end.complete) {
        const bool fresh = end.freshConnection || stream.byteReceived();
        end.result = internal::resultOfLoss(stream.status(), fresh);
        return end;
    }
    classifyResponse(end);
    if (!stream.hasExcess() && connection->protocol.keepsConnection()) {
        connection->idleLimit = internal::idleLimitOf(end.response);
        m_connections.putBack(std::move(connection), steadyNow());
    }
    return end;
}

ConnectionPointer BackendClient::idleConnection(const Assignment &assignment)
{
    if (assignment.checking)
        return nullptr;
    while (ConnectionPointer connection = m_connections.take(assignment.address, steadyNow())) {
        if (connection->socket.idle())
            return connection;
    }
    return nullptr;
}

ConnectionPointer BackendClient::newConnection(const std::string &address, TimePoint until)
{
    auto connection = std::make_unique<BackendConnection>();
    connection->address = address;
    const TimePoint limit = std::min(until, steadyNow() + internal::longestConnect);
    const bool connected = connection->socket.connect(address, limit) == SocketStatus::Ok;
    return connected ? std::move(connection) : nullptr;
}

void BackendClient::classifyResponse(ExchangeEnd &end)
{
    constexpr int serverError = 500;
    constexpr int unavailable = 503;
    end.result
            = end.response.status >= serverError ? AttemptResult::Failed : AttemptResult::Success;
    const bool refused
            = end.response.get_header_value(headernames::refused) == headernames::beforeStart;
    if (end.response.status == unavailable && refused)
        end.result = AttemptResult::Refused;
}

} // namespace dragonflysill
