#include "dragonflysill/links/requesthandler.h"

#include "dragonflysill/links/httptranslation.h"

#include "dragonflysill/links/headers.h"

#include <algorithm>
#include <charconv>
#include <random>
#include <thread>

namespace dragonflysill {

namespace internal {

// The deadline counts at the caller, 1 ms away in each direction; the rest is for scheduling.
constexpr std::chrono::milliseconds deliveryMargin{10};
constexpr int largestMarginDivisor = 10;

/** Returns the time that remains for the request in this process. */
Duration timeAtEntry(std::chrono::milliseconds deadline)
{
    return deadline - std::min<Duration>(deliveryMargin, Duration(deadline) / largestMarginDivisor);
}

/** Parses a positive number of milliseconds; nothing for any other text. */
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

/** Returns a prefix that differs between processes and between restarts of one process. */
std::string makeIdPrefix(const std::string &name)
{
    std::random_device device;
    return name + "-" + std::to_string(device()) + "-";
}

} // namespace internal

/** The state of one request between its arrival and its response. */
struct RequestHandler::Call
{
    std::string requestId;
    std::shared_ptr<const RouteTable> routes; ///< Keeps `match` valid.
    RouteMatch match;
    DispatchRequest dispatch;
    const httplib::Request *request = nullptr; ///< Belongs to the server.
    httplib::Request outgoing; ///< What is sent to the backend server.
    int retries = 0;
    int refusals = 0;
    std::optional<ClaimDecision> claim; ///< Set if the request holds its idempotency key.
    bool mayHaveRun = false; ///< True once an attempt left the outcome open.
    std::optional<Failure> failure; ///< Reason if there is no response to pass on.
    httplib::Response response;
};

RequestHandler::RequestHandler(std::string name, RequestDispatcher &hub, BackendClient &exchange,
                               EntryMetrics &metrics, ClaimWriter *claims)
    : m_name(std::move(name))
    , m_hub(hub)
    , m_exchange(exchange)
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
    Call call;
    call.requestId = requestIdOf(request);
    if (const auto failure = prepare(request, call)) {
        fail(call.requestId, *failure, response);
        return;
    }
    m_hub.requestArrived();
    if (!claim(request, call, response))
        return;
    run(call);
    answer(call, response);
}

std::optional<Failure> RequestHandler::prepare(const httplib::Request &request, Call &call)
{
    call.routes = m_hub.routes();
    if (!call.routes)
        return Failure::NotReady;
    call.match = call.routes->find(request.path);
    if (!call.match)
        return Failure::NoRoute;
    auto deadline = call.match.route->deadline;
    if (request.has_header(headernames::deadline)) {
        const auto value
                = internal::parseMilliseconds(request.get_header_value(headernames::deadline));
        if (!value)
            return Failure::BadRequest;
        deadline = std::min(deadline, *value);
    }
    PendingRequest &pending = call.dispatch.pending;
    pending.key = m_nextKey++;
    pending.deadline = steadyNow() + internal::timeAtEntry(deadline);
    pending.repeatable = call.match.route->repeatable;
    call.dispatch.pool = call.match.service->pool;
    call.dispatch.service = call.match.service->name;
    call.request = &request;
    call.outgoing = forwardedRequest(request);
    call.outgoing.set_header(headernames::requestId, call.requestId);
    call.outgoing.headers.emplace(headernames::pool, call.dispatch.pool);
    return std::nullopt;
}

bool RequestHandler::claim(const httplib::Request &request, Call &call, httplib::Response &response)
{
    if (call.match.route->repeatable)
        return true;
    const std::string key = request.get_header_value(headernames::idempotencyKey);
    if (key.empty())
        return true;
    ClaimDecision decision;
    decision.refusal = ClaimRefusal::StoreUnavailable;
    if (m_claims != nullptr)
        decision = m_claims->claim(call.dispatch.service, key, call.requestId,
                                   call.dispatch.pending.deadline);
    if (decision.kind == ClaimDecision::Kind::Granted) {
        call.claim = std::move(decision);
        return true;
    }
    Failure failure = Failure::DuplicateKey;
    if (decision.kind == ClaimDecision::Kind::Refused)
        failure = decision.refusal == ClaimRefusal::DeadlineExceeded ? Failure::QueueDeadline
                                                                     : Failure::ClaimUnavailable;
    fail(call.requestId, failure, response);
    if (!decision.duplicateOf.empty())
        response.set_header(headernames::duplicateOf, decision.duplicateOf);
    return false;
}

void RequestHandler::run(Call &call)
{
    for (;;) {
        auto grant = m_hub.acquire(call.dispatch);
        if (const auto *failure = std::get_if<Failure>(&grant)) {
            call.failure = *failure;
            break;
        }
        if (!attempt(call, std::get<GrantedAttempt>(grant)))
            break;
    }
}

void RequestHandler::addAttemptHeaders(Call &call, const GrantedAttempt &granted)
{
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(
            call.dispatch.pending.deadline - granted.grantedAt);
    httplib::Headers &headers = call.outgoing.headers;
    headers.erase(headernames::deadline);
    headers.erase(headernames::epoch);
    headers.emplace(headernames::deadline, std::to_string(remaining.count()));
    headers.emplace(headernames::epoch, std::to_string(granted.assignment.epoch));
}

bool RequestHandler::attempt(Call &call, const GrantedAttempt &granted)
{
    const Assignment &assignment = granted.assignment;
    addAttemptHeaders(call, granted);
    ExchangeEnd end = m_exchange.run(call.outgoing, assignment, granted.until);
    const TimePoint now = steadyNow();
    const AttemptReport judged = judge(call, granted, end, now);
    m_hub.release(call.dispatch, assignment, judged);
    m_metrics.countAttempt(judged.result);
    call.dispatch.pending.exclude = assignment.backend;
    const bool late = now >= call.dispatch.pending.deadline;
    const bool refused = end.result == AttemptResult::Refused;
    if (end.complete && !late && !refused) {
        call.response = std::move(end.response);
        call.failure.reset();
        return end.result == AttemptResult::Failed && again(call, end);
    }
    call.failure = failureOf(end, late);
    call.mayHaveRun = call.mayHaveRun || (end.byteSent && !refused);
    return !late && again(call, end);
}

Failure RequestHandler::failureOf(const ExchangeEnd &end, bool late)
{
    if (end.result == AttemptResult::Refused)
        return Failure::Refused;
    if (!end.byteSent)
        return late ? Failure::QueueDeadline : Failure::NoBackend;
    return late ? Failure::ResponseDeadline : Failure::ConnectionLost;
}

AttemptReport RequestHandler::judge(const Call &call, const GrantedAttempt &granted,
                                    const ExchangeEnd &end, TimePoint now)
{
    AttemptReport judged;
    judged.result = end.result;
    judged.freshConnection = end.freshConnection;
    judged.took = now - granted.grantedAt;
    const bool late = now >= call.dispatch.pending.deadline;
    const bool tooShort = judged.took < granted.silenceLimit;
    // A deadline that the caller set very short says nothing about the backend server.
    if (judged.result == AttemptResult::Silent && late && tooShort)
        judged.result = AttemptResult::Abandoned;
    return judged;
}

bool RequestHandler::again(Call &call, const ExchangeEnd &end)
{
    AttemptHistory history;
    history.result = end.result;
    history.byteSent = end.byteSent;
    history.repeatable = call.match.route->repeatable;
    history.retries = call.retries;
    call.refusals += end.result == AttemptResult::Refused ? 1 : 0;
    history.refusals = call.refusals;
    history.remaining = call.dispatch.pending.deadline - steadyNow();
    const auto delay = m_hub.nextAttempt(history);
    if (!delay)
        return false;
    if (end.result != AttemptResult::Refused) {
        ++call.retries;
        m_metrics.countRetry();
    }
    if (*delay > Duration(0))
        std::this_thread::sleep_for(*delay);
    return true;
}

Failure RequestHandler::finalFailure(const Call &call)
{
    // "Not run" would be false if an earlier attempt may have run.
    if (call.mayHaveRun && describe(*call.failure).outcome == Outcome::NotRun)
        return *call.failure == Failure::QueueDeadline ? Failure::ResponseDeadline
                                                       : Failure::ConnectionLost;
    return *call.failure;
}

void RequestHandler::answer(Call &call, httplib::Response &response)
{
    if (call.failure) {
        const Failure failure = finalFailure(call);
        if (call.claim && describe(failure).outcome == Outcome::NotRun)
            m_claims->abandon(*call.claim);
        fail(call.requestId, failure, response);
        return;
    }
    copyResponse(std::move(call.response), call.request->method, response);
    response.headers.emplace(headernames::outcome, toText(Outcome::Answered));
    response.headers.emplace(headernames::requestId, call.requestId);
    m_metrics.countOutcome(Outcome::Answered);
}

} // namespace dragonflysill
