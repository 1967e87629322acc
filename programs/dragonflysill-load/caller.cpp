#include "caller.h"

#include <nlohmann/json.hpp>

#include <limits>

namespace dragonflysill {

namespace internal {

constexpr std::size_t noTarget = std::numeric_limits<std::size_t>::max();
constexpr std::chrono::milliseconds connectTimeout{500};
// A request counts as interrupted if there is no response this long after its deadline.
constexpr std::chrono::milliseconds responseGrace{3000};

std::string makeBody(const PlannedRequest &request)
{
    if (request.kind->method == "GET")
        return {};
    std::string body = "request " + request.requestId + " ";
    const auto bodyBytes = static_cast<std::size_t>(request.kind->bodyBytes);
    if (body.size() < bodyBytes)
        body.append(bodyBytes - body.size(), 'x');
    return body;
}

bool matchesRequest(const PlannedRequest &request, const std::string &text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    return json.is_object() && json.value("request_id", std::string()) == request.requestId
           && json.value("path", std::string()) == request.kind->path
           && json.value("body", std::string()) == makeBody(request);
}

bool wasNotSent(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
}

} // namespace internal

Caller::Caller(CallerSettings settings, Targets &targets)
    : m_settings(settings)
    , m_targets(targets)
    , m_lastTarget(internal::noTarget)
{
}

Attempt Caller::send(const PlannedRequest &request)
{
    Attempt attempt;
    attempt.requestId = request.requestId;
    attempt.key = request.key;
    attempt.arrival = request.arrival;
    attempt.outcome = CallerOutcome::Unreached;
    std::size_t avoid = request.useOtherTarget ? m_lastTarget : internal::noTarget;
    for (std::size_t tries = 0; tries < m_targets.size(); ++tries) {
        const std::size_t target = m_targets.pick(avoid);
        m_lastTarget = target;
        httplib::Request message = makeRequest(request);
        httplib::Response response;
        httplib::Error error = httplib::Error::Success;
        const TimePoint start = steadyNow();
        if (client(target).send(message, response, error)) {
            attempt.late = steadyNow() - start > m_settings.deadline;
            classifyResponse(attempt, request, response);
            return attempt;
        }
        m_clients.erase(target);
        if (!internal::wasNotSent(error)) {
            attempt.outcome = CallerOutcome::Interrupted;
            return attempt;
        }
        m_targets.markDown(target);
        avoid = target;
    }
    return attempt;
}

httplib::Client &Caller::client(std::size_t target)
{
    auto &cached = m_clients[target];
    if (!cached) {
        cached = std::make_unique<httplib::Client>("http://" + m_targets.address(target));
        cached->set_keep_alive(true);
        cached->set_tcp_nodelay(true);
        cached->set_connection_timeout(internal::connectTimeout);
        cached->set_read_timeout(m_settings.deadline + internal::responseGrace);
    }
    return *cached;
}

httplib::Request Caller::makeRequest(const PlannedRequest &request) const
{
    httplib::Request message;
    message.method = request.kind->method;
    message.path = request.kind->path;
    message.body = internal::makeBody(request);
    message.set_header("Dragonflysill-Request-Id", request.requestId);
    if (m_settings.sendDeadline)
        message.set_header("Dragonflysill-Deadline-Ms",
                           std::to_string(m_settings.deadline.count()));
    if (!request.key.empty())
        message.set_header("Idempotency-Key", request.key);
    return message;
}

void Caller::classifyResponse(Attempt &attempt, const PlannedRequest &request,
                              const httplib::Response &response) const
{
    attempt.status = response.status;
    const std::string outcome = response.get_header_value("Dragonflysill-Outcome");
    if (outcome == "not-run") {
        attempt.outcome = CallerOutcome::NotRun;
        return;
    }
    if (outcome == "unknown") {
        attempt.outcome = CallerOutcome::Unknown;
        return;
    }
    attempt.outcome = CallerOutcome::Answered;
    // Only a 200 echoes the request; the body of an error response cannot be checked.
    if (response.status == 200)
        attempt.correct = internal::matchesRequest(request, response.body);
}

} // namespace dragonflysill
