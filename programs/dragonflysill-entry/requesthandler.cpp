#include "requesthandler.h"

#include "httptranslation.h"

#include "dragonflysill/links/headers.h"

#include <algorithm>
#include <charconv>
#include <random>
#include <thread>

namespace dragonflysill {

namespace internal {

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

void replaceHeader(httplib::Request &request, const char *name, const std::string &value)
{
    request.headers.erase(name);
    request.headers.emplace(name, value);
}

} // namespace internal

/** The state of one request between its arrival and its response. */
struct RequestHandler::Call
{
    std::string requestId;
    std::shared_ptr<const RouteTable> routes; ///< Keeps `match` valid.
    RouteMatch match;
    DispatchRequest dispatch;
    httplib::Request forwarded;
    int retries = 0;
    int refusals = 0;
    bool mayHaveRun = false; ///< True once an attempt left the outcome open.
    std::optional<Failure> failure; ///< Reason if there is no response to pass on.
    httplib::Response response;
};

RequestHandler::RequestHandler(std::string name, DispatchHub &hub, Exchange &exchange,
                               EntryMetrics &metrics)
    : m_name(std::move(name))
    , m_hub(hub)
    , m_exchange(exchange)
    , m_metrics(metrics)
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
    run(call, response);
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
    pending.deadline = steadyNow() + deadline;
    pending.repeatable = call.match.route->repeatable;
    call.dispatch.pool = call.match.service->pool;
    call.dispatch.service = call.match.service->name;
    call.forwarded = forwardedRequest(request);
    call.forwarded.headers.emplace(headernames::requestId, call.requestId);
    return std::nullopt;
}

void RequestHandler::run(Call &call, httplib::Response &response)
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
    answer(call, response);
}

bool RequestHandler::attempt(Call &call, const GrantedAttempt &granted)
{
    const Assignment &assignment = granted.assignment;
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(
            call.dispatch.pending.deadline - granted.grantedAt);
    internal::replaceHeader(call.forwarded, headernames::deadline,
                            std::to_string(remaining.count()));
    internal::replaceHeader(call.forwarded, headernames::pool, std::string(call.dispatch.pool));
    internal::replaceHeader(call.forwarded, headernames::epoch, std::to_string(assignment.epoch));
    ExchangeEnd end = m_exchange.run(call.forwarded, assignment, granted.until);
    const AttemptEnd judged = judge(call, granted, end);
    m_hub.release(call.dispatch, assignment, judged);
    m_metrics.countAttempt(judged.result);
    call.dispatch.pending.exclude = assignment.backend;
    const bool late = steadyNow() >= call.dispatch.pending.deadline;
    if (end.complete && !late && end.result != AttemptResult::Refused) {
        call.response = std::move(end.response);
        call.failure.reset();
        return end.result == AttemptResult::Failed && again(call, end);
    }
    if (end.result == AttemptResult::Refused)
        call.failure = Failure::Refused;
    else if (!end.byteSent)
        call.failure = Failure::NoBackend;
    else
        call.failure = late ? Failure::ResponseDeadline : Failure::ConnectionLost;
    if (end.byteSent && end.result != AttemptResult::Refused)
        call.mayHaveRun = true;
    return !late && again(call, end);
}

AttemptEnd RequestHandler::judge(const Call &call, const GrantedAttempt &granted,
                                 const ExchangeEnd &end) const
{
    AttemptEnd judged;
    judged.result = end.result;
    judged.freshConnection = end.freshConnection;
    judged.took = steadyNow() - granted.grantedAt;
    const bool late = steadyNow() >= call.dispatch.pending.deadline;
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

void RequestHandler::answer(Call &call, httplib::Response &response)
{
    if (call.failure) {
        Failure failure = *call.failure;
        // "Not run" would be false if an earlier attempt may have run.
        if (call.mayHaveRun && describe(failure).outcome == Outcome::NotRun)
            failure = failure == Failure::QueueDeadline ? Failure::ResponseDeadline
                                                        : Failure::ConnectionLost;
        fail(call.requestId, failure, response);
        return;
    }
    copyResponse(std::move(call.response), call.forwarded.method, response);
    response.set_header(headernames::outcome, std::string(toText(Outcome::Answered)));
    response.set_header(headernames::requestId, call.requestId);
    m_metrics.countOutcome(Outcome::Answered);
}

} // namespace dragonflysill
