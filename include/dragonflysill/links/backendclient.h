#pragma once

#include "dragonflysill/links/attempt.h"
#include "dragonflysill/links/connectionpool.h"

#include <httplib.h>

#include <string>

namespace dragonflysill {

/** The result of sending a request to a backend server once. */
struct ExchangeResult
{
    AttemptResult result = AttemptResult::Failed;
    bool byteSent = false; ///< True if a byte of the request may have left this process.
    bool complete = false; ///< True if the response was received completely.
    bool freshConnection = false;
    httplib::Response response;
};

/** Sends requests to backend servers, one at a time per connection. Thread-safe. */
class BackendClient
{
public:
    explicit BackendClient(ConnectionPool &connections)
        : m_connections(connections)
    {
    }

    /**
     * Sends a request once and waits for the response. Keeps the connection open for reuse only if
     * the response is complete.
     * @param request the request to send; the HTTP library adds headers that it lacks
     * @param assignment the chosen backend server
     * @param until time at which the attempt times out
     */
    ExchangeResult run(httplib::Request &request, const Assignment &assignment, TimePoint until);

private:
    ConnectionPointer takeIdleConnection(const Assignment &assignment);
    static ConnectionPointer openConnection(const std::string &address, TimePoint until);
    static void classifyResponse(ExchangeResult &exchange);

    ConnectionPool &m_connections;
};

} // namespace dragonflysill
