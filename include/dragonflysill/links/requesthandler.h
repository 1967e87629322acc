#pragma once

#include "dragonflysill/links/backendclient.h"
#include "dragonflysill/links/claimwriter.h"
#include "dragonflysill/links/entrymetrics.h"
#include "dragonflysill/links/requestdispatcher.h"

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
     * @param claims at-most-once claims; without one (null), requests that need a claim are refused
     */
    RequestHandler(std::string name, RequestDispatcher &hub, BackendClient &exchange,
                   EntryMetrics &metrics, ClaimWriter *claims);

    /** Serves a request; blocks until the response is complete or the deadline passed. */
    void serve(const httplib::Request &request, httplib::Response &response);

    /** Sets the response to a request that is not forwarded. */
    void fail(const std::string &requestId, Failure failure, httplib::Response &response);

    /** Returns the caller's request ID, or a new one. */
    std::string requestIdOf(const httplib::Request &request);

private:
    struct Call;

    std::optional<Failure> prepare(const httplib::Request &request, Call &call);
    bool claim(const httplib::Request &request, Call &call, httplib::Response &response);
    void run(Call &call);
    bool attempt(Call &call, const GrantedAttempt &granted);
    bool again(Call &call, const ExchangeEnd &end);
    static void addAttemptHeaders(Call &call, const GrantedAttempt &granted);
    static Failure failureOf(const ExchangeEnd &end, bool late);
    static AttemptReport judge(const Call &call, const GrantedAttempt &granted,
                               const ExchangeEnd &end, TimePoint now);
    static Failure finalFailure(const Call &call);
    void answer(Call &call, httplib::Response &response);

    const std::string m_name;
    RequestDispatcher &m_hub;
    BackendClient &m_exchange;
    EntryMetrics &m_metrics;
    ClaimWriter *const m_claims;
    const std::string m_idPrefix;
    std::atomic<RequestKey> m_nextKey = 1;
};

} // namespace dragonflysill
