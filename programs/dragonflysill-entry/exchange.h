#pragma once

#include "connectionpool.h"
#include "deadlineguard.h"

#include "dragonflysill/links/attempt.h"

#include <httplib.h>

namespace dragonflysill {

/** How one attempt over a backend connection ended. */
struct ExchangeEnd
{
    AttemptResult result = AttemptResult::Failed;
    bool byteSent = true; ///< True if a byte of the request may have left this process.
    bool complete = false; ///< True if `response` is the complete response.
    bool freshConnection = false;
    httplib::Response response;
};

/** Sends requests to backend servers, one at a time per connection. Thread-safe. */
class Exchange
{
public:
    Exchange(ConnectionPool &connections, DeadlineGuard &guard);

    /**
     * Makes one attempt.
     * @param request the request to send; the library adds headers to it
     * @param assignment the chosen backend server
     * @param until when the attempt is given up and its connection closed
     */
    ExchangeEnd run(httplib::Request &request, const Assignment &assignment, TimePoint until);

private:
    static void classifyResponse(ExchangeEnd &end);
    static void classifyError(ExchangeEnd &end, httplib::Error error, bool timedOut);

    ConnectionPool &m_connections;
    DeadlineGuard &m_guard;
};

} // namespace dragonflysill
