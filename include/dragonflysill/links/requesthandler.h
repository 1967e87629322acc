#pragma once

#include "dragonflysill/links/backendclient.h"
#include "dragonflysill/links/claimwriter.h"
#include "dragonflysill/links/entrymetrics.h"
#include "dragonflysill/links/requestdispatcher.h"

#include <httplib.h>

#include <atomic>
#include <string>

namespace dragonflysill {

/** Serves HTTP requests: finds the route, claims the key, makes attempts, fills the response. */
class RequestHandler
{
public:
    /**
     * @param name name of this entry process, part of the request IDs that it creates
     * @param dispatcher, backendClient, metrics belong to the caller and must outlive the handler
     * @param claims writes at-most-once claims; if null, requests that need one are refused
     */
    RequestHandler(std::string name, RequestDispatcher &dispatcher, BackendClient &backendClient,
                   EntryMetrics &metrics, ClaimWriter *claims);

    /** Serves a request; blocks until the response is complete or the deadline has passed. */
    void serve(const httplib::Request &request, httplib::Response &response);

    /** Sets the response to a request that is not forwarded. */
    void fail(const std::string &requestId, Failure failure, httplib::Response &response);

    /** Returns the caller's request ID, or a new one. */
    std::string requestIdOf(const httplib::Request &request);

private:
    struct RequestContext;

    std::optional<Failure> prepare(const httplib::Request &request, RequestContext &context);
    bool claim(const httplib::Request &request, RequestContext &context,
               httplib::Response &response);
    void run(RequestContext &context);
    bool attempt(RequestContext &context, const GrantedAttempt &granted);
    bool prepareRetry(RequestContext &context, const ExchangeResult &exchange);
    static void addAttemptHeaders(RequestContext &context, const GrantedAttempt &granted);
    static Failure failureOf(const ExchangeResult &exchange, bool late);
    static AttemptReport makeReport(const RequestContext &context, const GrantedAttempt &granted,
                                    const ExchangeResult &exchange, TimePoint now);
    static Failure reportedFailure(const RequestContext &context);
    void formResponse(RequestContext &context, httplib::Response &response);

    const std::string m_name;
    RequestDispatcher &m_dispatcher;
    BackendClient &m_backendClient;
    EntryMetrics &m_metrics;
    ClaimWriter *const m_claims;
    const std::string m_idPrefix;
    std::atomic<RequestKey> m_nextKey = 1;
};

} // namespace dragonflysill
