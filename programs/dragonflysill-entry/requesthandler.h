#pragma once

#include "dispatchhub.h"
#include "entrymetrics.h"
#include "exchange.h"

#include <httplib.h>

#include <atomic>
#include <string>

namespace dragonflysill {

/** Serves one HTTP request: finds its route, makes attempts, and forms the response. */
class RequestHandler
{
public:
    /**
     * @param name name of this entry process, part of the request IDs that it creates
     * @param hub, exchange, metrics belong to the caller and must outlive the handler
     */
    RequestHandler(std::string name, DispatchHub &hub, Exchange &exchange, EntryMetrics &metrics);

    /** Serves a request; blocks until the response is complete or the deadline passed. */
    void serve(const httplib::Request &request, httplib::Response &response);

    /** Sets the response to a request that is not forwarded. */
    void fail(const std::string &requestId, Failure failure, httplib::Response &response);

    /** Returns the caller's request ID, or a new one. */
    std::string requestIdOf(const httplib::Request &request);

private:
    struct Call;

    std::optional<Failure> prepare(const httplib::Request &request, Call &call);
    void run(Call &call, httplib::Response &response);
    bool attempt(Call &call, const GrantedAttempt &granted);
    bool again(Call &call, const ExchangeEnd &end);
    AttemptEnd judge(const Call &call, const GrantedAttempt &granted, const ExchangeEnd &end) const;
    void answer(Call &call, httplib::Response &response);

    const std::string m_name;
    DispatchHub &m_hub;
    Exchange &m_exchange;
    EntryMetrics &m_metrics;
    const std::string m_idPrefix;
    std::atomic<RequestKey> m_nextKey = 1;
};

} // namespace dragonflysill
