#include "dragonflysill/links/requesthandler.h"

#include "dragonflysill/links/httptranslation.h"

#include "dragonflysill/links/headers.h"

#include <algorithm>
#include <charconv>
#include <random>
#include <thread>

namespace dragonflysill {

namespace internal {

// The deadline applies at the caller, which is 1 ms away in each direction; the rest of the margin
// is for scheduling delays.
constexpr std::chrono::milliseconds deliveryMargin{10};
constexpr int marginDivisor = 10;

/** Returns the time that this process has for the request: the deadline minus the margin. */
Duration timeBudget(std::chrono::milliseconds deadline)
{
    return deadline - std::min<Duration>(deliveryMargin, Duration(deadline) / marginDivisor);
}

/** Parses a positive number of milliseconds, up to a day; returns nothing for any other text. */
std::optional<std::chrono::milliseconds> parseMilliseconds(const std::string &text)
{
    std::int64_t value = 0;
    const auto end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    constexpr std::int64_t longest = 24LL * 3600 * 1000;
    if (result.ec != std::errc() || result.ptr != end || value <= 0 || value > longest)
        return std::nullopt;
    return std::chrono::milliseconds(value);
}

/** Returns a request ID prefix that is unique to this start of the process. */
std::string makeIdPrefix(const std::string &name)
{
    std::random_device device;
    return name + "-" + std::to_string(device()) + "-";
}

} // namespace internal

/** The state of one request between its arrival and its response. */
struct RequestHandler::RequestContext
{
    std::string requestId;
    std::shared_ptr<const RouteTable> routes; ///< Keeps match valid.
    RouteMatch match;
    DispatchRequest dispatch;
    const httplib::Request *request = nullptr; ///< Belongs to the server.
    httplib::Request outgoing; ///< The request as sent to the backend server.
    int retries = 0;
    int refusals = 0;
    std::optional<ClaimDecision> claim; ///< Set if the request holds its idempotency key.
    bool mayHaveRun = false; ///< True if a backend server may have run the request.
    std::optional<Failure> failure; ///< Set if there is no response to forward.
    httplib::Response response;
};

RequestHandler::RequestHandler(std::string name, RequestDispatcher &dispatcher,
                               BackendClient &backendClient, EntryMetrics &metrics,
                               ClaimWriter *claims)
    : m_name(std::move(name))
    , m_dispatcher(dispatcher)
    , m_backendClient(backendClient)
    , m_metrics(metrics)
    , m_claims(claims)
    , m_idPrefix(internal::makeIdPrefix(m_name))
{
}

std::string RequestHandler::requestIdOf(const httplib::Request &request)
{
    std::string id = request.get_header_value(headernames::requestId);
    if (id.empty())
        id = m_idPrefix + std::to_string(m_nextKey++);
    return id;
}

void RequestHandler::fail(const std::string &requestId, Failure failure,
                          httplib::Response &response)
{
    setFailure(response, failure);
    response.set_header(headernames::requestId, requestId);
    m_metrics.countFailure(failure);
    m_metrics.countOutcome(describe(failure).outcome);
}

void RequestHandler::serve(const httplib::Request &request, httplib::Response &response)
{
    RequestContext context;
    context.requestId = requestIdOf(request);
    if (const auto failure = prepare(request, context)) {
        fail(context.requestId, *failure, response);
        return;
    }
    m_dispatcher.requestArrived();
    if (!claim(request, context, response))
        return;
    run(context);
    formResponse(context, response);
}

std::optional<Failure> RequestHandler::prepare(const httplib::Request &request,
                                               RequestContext &context)
{
    context.routes = m_dispatcher.routes();
    if (!context.routes)
        return Failure::NotReady;
    context.match = context.routes->find(request.path);
    if (!context.match)
        return Failure::NoRoute;
    auto deadline = context.match.route->deadline;
    if (request.has_header(headernames::deadline)) {
        const auto value
                = internal::parseMilliseconds(request.get_header_value(headernames::deadline));
        if (!value)
            return Failure::BadRequest;
        deadline = std::min(deadline, *value);
    }
    PendingRequest &pending = context.dispatch.pending;
    pending.key = m_nextKey++;
    pending.deadline = steadyNow() + internal::timeBudget(deadline);
    pending.repeatable = context.match.route->repeatable;
    context.dispatch.pool = context.match.service->pool;
    context.dispatch.service = context.match.service->name;
    context.request = &request;
    context.outgoing = forwardedRequest(request);
    context.outgoing.set_header(headernames::requestId, context.requestId);
    context.outgoing.headers.emplace(headernames::pool, context.dispatch.pool);
    return std::nullopt;
}

bool RequestHandler::claim(const httplib::Request &request, RequestContext &context,
                           httplib::Response &response)
{
    if (context.match.route->repeatable)
        return true;
    const std::string key = request.get_header_value(headernames::idempotencyKey);
    if (key.empty())
        return true;
    ClaimDecision decision;
    decision.refusal = ClaimRefusal::StoreUnavailable;
    if (m_claims != nullptr)
        decision = m_claims->claim(context.dispatch.service, key, context.requestId,
                                   context.dispatch.pending.deadline);
    if (decision.kind == ClaimDecision::Kind::Granted) {
        context.claim = std::move(decision);
        return true;
    }
    Failure failure = Failure::DuplicateKey;
    if (decision.kind == ClaimDecision::Kind::Refused)
        failure = decision.refusal == ClaimRefusal::DeadlineExceeded ? Failure::QueueDeadline
                                                                     : Failure::ClaimUnavailable;
    fail(context.requestId, failure, response);
    if (!decision.duplicateOf.empty())
        response.set_header(headernames::duplicateOf, decision.duplicateOf);
    return false;
}

void RequestHandler::run(RequestContext &context)
{
    for (;;) {
        auto grant = m_dispatcher.acquire(context.dispatch);
        if (const auto *failure = std::get_if<Failure>(&grant)) {
            context.failure = *failure;
            break;
        }
        if (!attempt(context, std::get<GrantedAttempt>(grant)))
            break;
    }
}

void RequestHandler::addAttemptHeaders(RequestContext &context, const GrantedAttempt &granted)
{
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(
            context.dispatch.pending.deadline - granted.grantedAt);
    httplib::Headers &headers = context.outgoing.headers;
    headers.erase(headernames::deadline);
    headers.erase(headernames::epoch);
    headers.emplace(headernames::deadline, std::to_string(remaining.count()));
    headers.emplace(headernames::epoch, std::to_string(granted.assignment.epoch));
}

bool RequestHandler::attempt(RequestContext &context, const GrantedAttempt &granted)
{
    const Assignment &assignment = granted.assignment;
    addAttemptHeaders(context, granted);
    ExchangeResult exchange = m_backendClient.run(context.outgoing, assignment, granted.until);
    const TimePoint now = steadyNow();
    const AttemptReport report = makeReport(context, granted, exchange, now);
    m_dispatcher.release(context.dispatch, assignment, report);
    m_metrics.countAttempt(report.result);
    context.dispatch.pending.excludedBackend = assignment.backend;
    const bool late = now >= context.dispatch.pending.deadline;
    const bool refused = exchange.result == AttemptResult::Refused;
    if (exchange.complete && !late && !refused) {
        context.response = std::move(exchange.response);
        context.failure.reset();
        return exchange.result == AttemptResult::Failed && prepareRetry(context, exchange);
    }
    context.failure = failureOf(exchange, late);
    context.mayHaveRun = context.mayHaveRun || (exchange.byteSent && !refused);
    return !late && prepareRetry(context, exchange);
}

Failure RequestHandler::failureOf(const ExchangeResult &exchange, bool late)
{
    if (exchange.result == AttemptResult::Refused)
        return Failure::Refused;
    if (!exchange.byteSent)
        return late ? Failure::QueueDeadline : Failure::NoBackend;
    return late ? Failure::ResponseDeadline : Failure::ConnectionLost;
}

AttemptReport RequestHandler::makeReport(const RequestContext &context,
                                         const GrantedAttempt &granted,
                                         const ExchangeResult &exchange, TimePoint now)
{
    AttemptReport report;
    report.result = exchange.result;
    report.freshConnection = exchange.freshConnection;
    report.duration = now - granted.grantedAt;
    const bool late = now >= context.dispatch.pending.deadline;
    const bool tooShort = report.duration < granted.silenceLimit;
    // If the caller's deadline was too short, the missing response is no fault of the backend
    // server.
    if (report.result == AttemptResult::Silent && late && tooShort)
        report.result = AttemptResult::Abandoned;
    return report;
}

bool RequestHandler::prepareRetry(RequestContext &context, const ExchangeResult &exchange)
{
    AttemptHistory history;
    history.result = exchange.result;
    history.byteSent = exchange.byteSent;
    history.repeatable = context.match.route->repeatable;
    history.retries = context.retries;
    context.refusals += exchange.result == AttemptResult::Refused ? 1 : 0;
    history.refusals = context.refusals;
    history.remaining = context.dispatch.pending.deadline - steadyNow();
    const auto delay = m_dispatcher.nextAttempt(history);
    if (!delay)
        return false;
    if (exchange.result != AttemptResult::Refused) {
        ++context.retries;
        m_metrics.countRetry();
    }
    if (*delay > Duration(0))
        std::this_thread::sleep_for(*delay);
    return true;
}

Failure RequestHandler::reportedFailure(const RequestContext &context)
{
    // The outcome is not "not run" if a backend server may have run an earlier attempt.
    if (context.mayHaveRun && describe(*context.failure).outcome == Outcome::NotRun)
        return *context.failure == Failure::QueueDeadline ? Failure::ResponseDeadline
                                                          : Failure::ConnectionLost;
    return *context.failure;
}

void RequestHandler::formResponse(RequestContext &context, httplib::Response &response)
{
    if (context.failure) {
        const Failure failure = reportedFailure(context);
        if (context.claim && describe(failure).outcome == Outcome::NotRun)
            m_claims->abandon(*context.claim);
        fail(context.requestId, failure, response);
        return;
    }
    copyResponse(std::move(context.response), context.request->method, response);
    response.headers.emplace(headernames::outcome, toText(Outcome::Answered));
    response.headers.emplace(headernames::requestId, context.requestId);
    m_metrics.countOutcome(Outcome::Answered);
}

} // namespace dragonflysill
