#include "dragonflysill/links/exchange.h"

#include "dragonflysill/links/headers.h"

#include <algorithm>
#include <charconv>

namespace dragonflysill {

namespace internal {

// A connect within one region takes about 1 ms; a longer wait means that the peer is gone.
constexpr std::chrono::milliseconds longestConnect{500};

/** Returns the idle limit that "Keep-Alive: timeout=N" leaves, at most the default. */
Duration idleLimitOf(const BackendResponse &response)
{
    constexpr std::string_view name = "timeout=";
    const std::string_view value = response.header("Keep-Alive");
    const auto start = value.find(name);
    int seconds = 0;
    if (start == std::string_view::npos)
        return ConnectionPool::defaultIdleLimit;
    const std::string_view digits = value.substr(start + name.size());
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

ExchangeEnd Exchange::run(const OutgoingRequest &request, const Assignment &assignment,
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
    ResponseParser parser(request.headMethod);
    const SocketStatus status = transfer(*connection, request, parser, end, until);
    end.complete = parser.state() == ResponseParser::State::Complete;
    end.response = std::move(parser.response());
    if (!end.complete) {
        end.result = internal::resultOfLoss(status, end.freshConnection || parser.started());
        return end;
    }
    classifyResponse(end);
    if (parser.reusable()) {
        connection->idleLimit = internal::idleLimitOf(end.response);
        m_connections.putBack(std::move(connection), steadyNow());
    }
    return end;
}

ConnectionPointer Exchange::idleConnection(const Assignment &assignment)
{
    if (assignment.checking)
        return nullptr;
    while (ConnectionPointer connection = m_connections.take(assignment.address, steadyNow())) {
        if (connection->socket.idle())
            return connection;
    }
    return nullptr;
}

ConnectionPointer Exchange::newConnection(const std::string &address, TimePoint until)
{
    auto connection = std::make_unique<BackendConnection>();
    connection->address = address;
    const TimePoint limit = std::min(until, steadyNow() + internal::longestConnect);
    const bool connected = connection->socket.connect(address, limit) == SocketStatus::Ok;
    return connected ? std::move(connection) : nullptr;
}

SocketStatus Exchange::transfer(BackendConnection &connection, const OutgoingRequest &request,
                                ResponseParser &parser, ExchangeEnd &end, TimePoint until)
{
    std::size_t sent = 0;
    const auto status = connection.socket.send(request.head, request.body, sent, until);
    end.byteSent = sent > 0;
    if (status != SocketStatus::Ok)
        return status;
    while (parser.state() == ResponseParser::State::Reading) {
        std::string_view bytes;
        const auto received = connection.socket.receive(bytes, until);
        if (received == SocketStatus::Closed)
            parser.finish();
        if (received != SocketStatus::Ok)
            return received;
        parser.feed(bytes);
    }
    return SocketStatus::Ok;
}

void Exchange::classifyResponse(ExchangeEnd &end)
{
    constexpr int serverError = 500;
    constexpr int unavailable = 503;
    end.result
            = end.response.status >= serverError ? AttemptResult::Failed : AttemptResult::Success;
    const bool refused = end.response.header(headernames::refused) == headernames::beforeStart;
    if (end.response.status == unavailable && refused)
        end.result = AttemptResult::Refused;
}

} // namespace dragonflysill
