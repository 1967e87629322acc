#include "exchange.h"

#include "dragonflysill/links/headers.h"

#include <algorithm>

namespace dragonflysill {

namespace internal {

// A connect within one region takes about 1 ms; a longer wait means that the peer is gone.
constexpr std::chrono::milliseconds longestConnect{500};

void setTimeouts(httplib::Client &client, Duration remaining)
{
    // The library waits in whole microseconds, and zero would mean no wait at all.
    const auto wait = std::max(std::chrono::duration_cast<std::chrono::microseconds>(remaining),
                               std::chrono::microseconds(1000));
    client.set_read_timeout(wait);
    client.set_write_timeout(wait);
    client.set_connection_timeout(std::min<std::chrono::microseconds>(wait, longestConnect));
}

/** Shortens the idle limit to what the backend server states in "Keep-Alive: timeout=N". */
void applyKeepAlive(BackendConnection &connection, const httplib::Response &response)
{
    constexpr std::string_view name = "timeout=";
    const std::string value = response.get_header_value("Keep-Alive");
    const auto start = value.find(name);
    if (start == std::string::npos)
        return;
    const long seconds = std::strtol(value.c_str() + start + name.size(), nullptr, 10);
    const std::chrono::seconds stated{std::clamp(seconds - 1, 0L, 3600L)};
    connection.idleLimit = std::min<Duration>(stated, ConnectionPool::defaultIdleLimit);
}

} // namespace internal

Exchange::Exchange(ConnectionPool &connections, DeadlineGuard &guard)
    : m_connections(connections)
    , m_guard(guard)
{
}

ExchangeEnd Exchange::run(httplib::Request &request, const Assignment &assignment, TimePoint until)
{
    ExchangeEnd end;
    auto connection = m_connections.take(assignment.address, assignment.checking);
    end.freshConnection = !connection->reused;
    internal::setTimeouts(connection->client, until - steadyNow());
    httplib::Error error = httplib::Error::Success;
    {
        const auto watch = m_guard.watch(connection->client, until);
        end.complete = connection->client.send(request, end.response, error);
    }
    const TimePoint now = steadyNow();
    if (!end.complete) {
        classifyError(end, error, now >= until);
        return end;
    }
    classifyResponse(end);
    if (now < until) {
        internal::applyKeepAlive(*connection, end.response);
        m_connections.putBack(std::move(connection), now);
    }
    return end;
}

void Exchange::classifyResponse(ExchangeEnd &end)
{
    constexpr int serverError = 500;
    constexpr int unavailable = 503;
    end.result
            = end.response.status >= serverError ? AttemptResult::Failed : AttemptResult::Success;
    const std::string refused = end.response.get_header_value(headernames::refused);
    if (end.response.status == unavailable && refused == headernames::beforeStart)
        end.result = AttemptResult::Refused;
}

void Exchange::classifyError(ExchangeEnd &end, httplib::Error error, bool timedOut)
{
    const bool connecting = error == httplib::Error::Connection
                            || error == httplib::Error::ConnectionTimeout
                            || error == httplib::Error::BindIPAddress;
    end.byteSent = !connecting;
    if (connecting)
        end.result = AttemptResult::ConnectFailed;
    else if (timedOut)
        end.result = AttemptResult::Silent;
    else // The backend server may close a kept-alive connection at any time.
        end.result = end.freshConnection ? AttemptResult::Failed : AttemptResult::Abandoned;
}

} // namespace dragonflysill
