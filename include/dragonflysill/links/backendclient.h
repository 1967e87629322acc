#pragma once

#include "dragonflysill/links/attempt.h"
#include "dragonflysill/links/connectionpool.h"

#include <httplib.h>

#include <string>

namespace dragonflysill {

/** How one attempt over a backend connection ended. */
struct ExchangeEnd
{
    AttemptResult result = AttemptResult::Failed;
    bool byteSent = false; ///< True if a byte of the request may have left this process.
    bool complete = false; ///< True if `response` is the complete response.
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
     * Makes one attempt. The connection is closed unless the response is complete.
     * @param request the request to send; the HTTP library adds headers that it lacks
     * @param assignment the chosen backend server
     * @param until when the attempt is given up
     */
    ExchangeEnd run(httplib::Request &request, const Assignment &assignment, TimePoint until);

private:
    ConnectionPointer idleConnection(const Assignment &assignment);
    static ConnectionPointer newConnection(const std::string &address, TimePoint until);
    static void classifyResponse(ExchangeEnd &end);

    ConnectionPool &m_connections;
};

} // namespace dragonflysill
