#include "operatorapi.h"

#include "dragonflysill/base/time.h"
#include "dragonflysill/telemetry/log.h"
#include "dragonflysill/telemetry/settings.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <future>
#include <optional>
#include <utility>

namespace dragonflysill {

namespace internal {

namespace {

using std::chrono::milliseconds;

// A round trip to a peer takes about 1 ms; longer timeouts would only delay the response about the
// other peers.
constexpr milliseconds peerConnectTimeout{500};
constexpr milliseconds peerReadTimeout{1000};

/**
 * Larger bodies are rejected without reading them. Bodies between ticketSizeLimitBytes and this are
 * read, so that the error response can state their size.
 */
constexpr std::size_t bodyLimitBytes{2 * ticketSizeLimitBytes};

constexpr milliseconds bodyReadTimeout{5000};
constexpr std::size_t serverThreads{8};
constexpr std::size_t maxConcurrentPeerCalls{16};

// Roll-outs usually complete within seconds and are polled often at first. Moves that wait for an
// operator may take hours, so that older roll-outs are polled less often.
constexpr milliseconds recentRolloutPollInterval{50};
constexpr milliseconds olderRolloutPollInterval{1000};
constexpr std::int64_t recentRolloutAgeMs{60'000};

/**
 * Sleeps before a repeated store call: 20 ms, doubled with each attempt up to 640 ms, so that
 * control processes in conflict with each other spread out.
 */
void sleepBeforeAttempt(int attempt)
{
    constexpr milliseconds firstPause{20};
    constexpr int maxShift{5};
    std::this_thread::sleep_for(firstPause * (1 << std::min(attempt - 1, maxShift)));
}

int httpStatus(const Error &error)
{
    static const std::pair<ErrorKind, int> statuses[] = {
            {ErrorKind::InvalidInput, 400},     {ErrorKind::ValidationFailed, 422},
            {ErrorKind::NotFound, 404},         {ErrorKind::Conflict, 409},
            {ErrorKind::IdReused, 409},         {ErrorKind::LimitExceeded, 413},
            {ErrorKind::StoreUnavailable, 503}, {ErrorKind::LeaseLost, 503},
            {ErrorKind::StoreRegressed, 503},   {ErrorKind::OutcomeUnknown, 504},
    };
    for (const auto &it : statuses) {
        if (error.is(it.first))
            return it.second;
    }
    return 502;
}

std::string serialize(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void sendJson(httplib::Response &response, const nlohmann::json &json)
{
    response.set_content(serialize(json), "application/json");
}

void sendError(httplib::Response &response, const Error &error)
{
    response.status = httpStatus(error);
    sendJson(response, outcomeToJson(TicketRefusal{error, {}, {}}));
}

std::optional<std::int64_t> parseNumber(const std::string &text)
{
    std::int64_t value = 0;
    const char *end = text.data() + text.size();
    const auto [parsed, ec] = std::from_chars(text.data(), end, value);
    if (text.empty() || ec != std::errc() || parsed != end)
        return std::nullopt;
    return value;
}

/**
 * Returns a number of the query string; @p fallback if it is absent, std::nullopt if it is
 * malformed.
 */
std::optional<std::int64_t> queryNumber(const httplib::Request &request, const char *name,
                                        std::int64_t fallback)
{
    if (!request.has_param(name))
        return fallback;
    return parseNumber(request.get_param_value(name));
}

/** Sends a GET to another control process; returns the body, or std::nullopt without a 200. */
std::optional<std::string> fetch(const std::string &address, const std::string &path)
{
    const auto endpoint = Endpoint::parse(address);
    if (!endpoint)
        return std::nullopt;
    httplib::Client client(endpoint->host, endpoint->port);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(peerConnectTimeout);
    client.set_read_timeout(peerReadTimeout);
    const auto result = client.Get(path);
    if (!result || result->status != 200)
        return std::nullopt;
    return result->body;
}

struct PeerResponse
{
    std::string name;
    std::optional<std::string> body;
};

/** Sends a GET to all other control processes, at most maxConcurrentPeerCalls at a time. */
std::vector<PeerResponse> queryPeers(const View &view, const std::string &self,
                                     const std::string &path)
{
    std::vector<PeerResponse> responses;
    std::vector<std::pair<std::string, std::future<std::optional<std::string>>>> pending;
    const auto collect = [&] {
        for (auto &it : pending)
            responses.push_back({it.first, it.second.get()});
        pending.clear();
    };
    for (const auto &[name, member] : view.members) {
        if (name == self)
            continue;
        pending.emplace_back(name,
                             std::async(std::launch::async, fetch, member.operatorAddress, path));
        if (pending.size() == maxConcurrentPeerCalls)
            collect();
    }
    collect();
    return responses;
}

nlohmann::json parseOrNull(const std::string &text)
{
    auto json = nlohmann::json::parse(text, nullptr, false);
    return json.is_discarded() ? nlohmann::json() : json;
}

TicketProcessorSettings ticketSettings(const std::string &process)
{
    return {process, unixMilliseconds, sleepBeforeAttempt};
}

/** Adds a typed body to the error responses that the HTTP library creates itself. */
void addErrorBody(const httplib::Request &request, httplib::Response &response)
{
    if (!response.body.empty())
        return;
    const int status = response.status;
    if (status == 404)
        sendError(response, Error(ErrorKind::NotFound, "no resource " + request.path));
    else if (status == 413)
        sendError(response,
                  Error(ErrorKind::LimitExceeded, "the body is larger than the limit of "
                                                          + std::to_string(ticketSizeLimitBytes)
                                                          + " bytes; split the ticket"));
    else if (status < 500)
        sendError(response, Error(ErrorKind::InvalidInput, "the request could not be read"));
    else
        sendError(response, Error(ErrorKind::Corrupt, "the request failed"));
    response.status = status;
}

} // namespace

} // namespace internal

using namespace internal;

OperatorApi::OperatorApi(ControlContext &context)
    : m_context(context)
    , m_tickets(context.store, context.fence, ticketSettings(context.name))
    , m_ticketCounters(prometheus::BuildCounter()
                               .Name("dragonflysill_tickets_total")
                               .Help("Tickets submitted to this control process by outcome")
                               .Register(*context.registry))
    , m_rolloutSeconds(
              prometheus::BuildHistogram()
                      .Name("dragonflysill_rollout_seconds")
                      .Help("Time from acceptance of a ticket until it is in effect everywhere "
                            "and its moves are complete")
                      .Register(*context.registry)
                      .Add({}, prometheus::Histogram::BucketBoundaries{0.1, 0.25, 0.5, 1, 2, 5, 13,
                                                                       30, 60, 300, 3600}))
    , m_openRollouts(prometheus::BuildGauge()
                             .Name("dragonflysill_rollouts_open")
                             .Help("Tickets accepted here that are not in effect everywhere or "
                                   "whose moves are not complete")
                             .Register(*context.registry)
                             .Add({}))
{
    addTicketRoutes();
    addStateRoutes();
    addLocalRoutes();
}

OperatorApi::~OperatorApi()
{
    stop();
}

Result<int> OperatorApi::start()
{
    auto port = m_listener.start(m_context.operatorAddress);
    if (port)
        m_rolloutThread = std::thread([this] { trackRollouts(); });
    return port;
}

void OperatorApi::stop()
{
    m_listener.stop();
    if (!m_rolloutThread.joinable())
        return;
    {
        const std::lock_guard lock(m_rolloutMutex);
        m_stopping = true;
    }
    m_rolloutChanged.notify_all();
    m_rolloutThread.join();
}

void OperatorApi::addTicketRoutes()
{
    using httplib::Request;
    using httplib::Response;
    m_server.set_tcp_nodelay(true);
    m_server.set_payload_max_length(bodyLimitBytes);
    m_server.set_read_timeout(bodyReadTimeout);
    m_server.set_keep_alive_max_count(1); // an idle kept-alive connection would occupy a thread
    m_server.new_task_queue = [] { return new httplib::ThreadPool(serverThreads); };
    m_server.set_error_handler(
            [](const Request &request, Response &response) { addErrorBody(request, response); });
    m_server.Post("/v1/tickets", [this](const Request &request, Response &response) {
        handleTicket(request, response, true);
    });
    m_server.Post("/v1/tickets/validate", [this](const Request &request, Response &response) {
        handleTicket(request, response, false);
    });
    m_server.Get("/v1/tickets", [this](const Request &request, Response &response) {
        handleHistory(request, response);
    });
    m_server.Get(R"(/v1/tickets/([^/]+))", [this](const Request &request, Response &response) {
        handleTicketByNumber(request, response);
    });
    m_server.Get(R"(/v1/ticket-ids/([^/]+))", [this](const Request &request, Response &response) {
        sendRecord(m_tickets.ticketById(request.matches[1].str()), response);
    });
}

void OperatorApi::addStateRoutes()
{
    using httplib::Request;
    using httplib::Response;
    m_server.Get("/v1/pools", [this](const Request &, Response &response) {
        sendJson(response, poolsDocument(*m_context.view.get()));
    });
    m_server.Get("/v1/instances", [this](const Request &, Response &response) {
        sendJson(response, instancesDocument(*m_context.view.get()));
    });
    for (const char *list : {"moves", "maintenance", "jobs"}) {
        m_server.Get(std::string("/v1/") + list, [this, list](const Request &, Response &response) {
            const OperatorState state = collectState();
            const auto fleet = parseOrNull(encodeFleetStatus(state.fleet));
            sendJson(response, {{list, fleet.at(list)}, {"unreachable", state.unreachable}});
        });
    }
    m_server.Get("/v1/status", [this](const Request &, Response &response) {
        sendJson(response, statusDocument());
    });
    m_server.Get(R"(/v1/explain/([^/]+)/([^/]+))",
                 [this](const Request &request, Response &response) {
                     handleExplain(request, response);
                 });
}

void OperatorApi::addLocalRoutes()
{
    using httplib::Request;
    using httplib::Response;
    m_server.Get("/v1/timeline", [this](const Request &, Response &response) {
        response.set_content(eventsToJson(m_context.timeline.events()), "application/json");
    });
    m_server.Get("/v1/local/fleet", [this](const Request &, Response &response) {
        response.set_content(encodeFleetStatus(m_context.fleetStatus->get()), "application/json");
    });
    m_server.Get("/v1/local/rollouts", [this](const Request &, Response &response) {
        sendJson(response, rolloutsDocument());
    });
}

void OperatorApi::handleTicket(const httplib::Request &request, httplib::Response &response,
                               bool write)
{
    const std::int64_t currentTicket = m_context.view.get()->configuration.ticket;
    const auto outcome = write ? m_tickets.accept(request.body, currentTicket)
                               : m_tickets.validate(request.body, currentTicket);
    if (write)
        recordOutcome(outcome);
    if (const auto *refused = std::get_if<TicketRefusal>(&outcome))
        response.status = httpStatus(refused->error);
    sendJson(response, outcomeToJson(outcome));
}

void OperatorApi::recordOutcome(const AcceptanceOutcome &outcome)
{
    if (const auto *refused = std::get_if<TicketRefusal>(&outcome)) {
        const std::string kind(errorName(refused->error.code));
        m_ticketCounters.Add({{"outcome", kind}}).Increment();
        m_context.timeline.record(EventKind::TicketRefused, kind, refused->error.detail);
        logInfo("ticket-refused", {{"kind", kind}, {"detail", refused->error.detail}});
        return;
    }
    const auto &accepted = std::get<AcceptedTicket>(outcome);
    m_ticketCounters.Add({{"outcome", accepted.repeated ? "repeated" : "accepted"}}).Increment();
    if (accepted.repeated)
        return;
    const std::string text = std::to_string(accepted.number);
    {
        const std::lock_guard lock(m_rolloutMutex);
        m_rollouts.accepted(accepted.number, accepted.revision, accepted.acceptedMs);
    }
    m_rolloutChanged.notify_all();
    m_context.timeline.record(EventKind::TicketAccepted, text, accepted.id);
    logInfo("ticket-accepted", {{"number", text}, {"id", accepted.id}});
}

void OperatorApi::handleHistory(const httplib::Request &request, httplib::Response &response)
{
    constexpr std::int64_t defaultLimit{20};
    constexpr std::int64_t maxLimit{1000};
    const auto before = queryNumber(request, "before", 0);
    const auto limit = queryNumber(request, "limit", defaultLimit);
    if (!before || !limit || *before < 0 || *limit < 1 || *limit > maxLimit) {
        sendError(response, Error(ErrorKind::InvalidInput,
                                  "'before' must be a ticket number and 'limit' from 1 to 1000"));
        return;
    }
    const auto records = m_tickets.history(*before, static_cast<int>(*limit));
    if (!records) {
        sendError(response, records.error());
        return;
    }
    sendJson(response, {{"tickets", *records}});
}

void OperatorApi::handleTicketByNumber(const httplib::Request &request, httplib::Response &response)
{
    const std::string text = request.matches[1].str();
    const auto value = parseNumber(text);
    if (!value) {
        sendError(response,
                  Error(ErrorKind::InvalidInput, "'" + text + "' is not a ticket number"));
        return;
    }
    sendRecord(m_tickets.ticket(*value), response);
}

void OperatorApi::sendRecord(const Result<TicketRecord> &record, httplib::Response &response)
{
    if (!record) {
        sendError(response, record.error());
        return;
    }
    nlohmann::json document = *record;
    document["rollout"] = rolloutOf(record->number);
    sendJson(response, document);
}

void OperatorApi::handleExplain(const httplib::Request &request, httplib::Response &response)
{
    const std::string kind = request.matches[1].str();
    const std::string name = request.matches[2].str();
    const OperatorState state = collectState();
    std::optional<nlohmann::json> document;
    if (kind == "instance")
        document = explainInstance(state, name);
    else if (kind == "pool")
        document = explainPool(state, name);
    else if (kind == "job")
        document = explainJob(state, name);
    else {
        sendError(response, Error(ErrorKind::InvalidInput,
                                  "unknown kind '" + kind + "'; use instance, pool or job"));
        return;
    }
    if (document)
        sendJson(response, *document);
    else
        sendError(response, Error(ErrorKind::NotFound, kind + " '" + name + "'"));
}

OperatorState OperatorApi::collectState() const
{
    OperatorState state{
            m_context.view.get(), m_context.reports.snapshot(), m_context.fleetStatus->get(), {}};
    for (const auto &it : queryPeers(*state.view, m_context.name, "/v1/local/fleet")) {
        const auto fleet = it.body ? decodeFleetStatus(*it.body)
                                   : Result<FleetStatus>(Error(ErrorKind::Unreachable));
        if (fleet)
            mergeFleetStatus(state.fleet, *fleet);
        else
            state.unreachable.push_back(it.name);
    }
    return state;
}

nlohmann::json OperatorApi::statusDocument() const
{
    const OperatorState state = collectState();
    const View &view = *state.view;
    auto document = membersDocument(view, state.reports);
    document["name"] = m_context.name;
    document["region"] = m_context.region;
    document["zone"] = m_context.zone;
    document["revision"] = view.revision;
    document["ticket"]
            = {{"number", view.configuration.ticket}, {"id", view.configuration.ticketId}};
    document["moves"]
            = {{"open", state.fleet.moves.size()}, {"finished", state.fleet.movesFinished}};
    const auto fleet = parseOrNull(encodeFleetStatus(state.fleet));
    document["buffer"]
            = state.fleet.buffer == BufferStatus() ? nlohmann::json() : fleet.at("buffer");
    document["rollout"] = rolloutOf(view.configuration.ticket);
    document["unreachable"] = state.unreachable;
    return document;
}

nlohmann::json OperatorApi::rolloutsDocument() const
{
    auto array = nlohmann::json::array();
    const std::lock_guard lock(m_rolloutMutex);
    for (const auto &it : m_rollouts.all())
        array.push_back(parseOrNull(encodeRollout(it)));
    return array;
}

nlohmann::json OperatorApi::rolloutOf(std::int64_t ticket) const
{
    {
        const std::lock_guard lock(m_rolloutMutex);
        if (const auto found = m_rollouts.find(ticket))
            return parseOrNull(encodeRollout(*found));
    }
    for (const auto &it : queryPeers(*m_context.view.get(), m_context.name, "/v1/local/rollouts")) {
        const auto rollouts = it.body ? parseOrNull(*it.body) : nlohmann::json();
        for (const auto &rollout : rollouts) {
            if (rollout.is_object() && rollout.value("ticket", std::int64_t{0}) == ticket)
                return rollout;
        }
    }
    return nullptr;
}

void OperatorApi::trackRollouts()
{
    std::unique_lock lock(m_rolloutMutex);
    while (!m_stopping) {
        if (m_rollouts.openCount() == 0) {
            m_rolloutChanged.wait(lock);
            continue;
        }
        lock.unlock();
        const ViewPointer view = m_context.view.get();
        const auto reports = m_context.reports.snapshot();
        const std::int64_t nowMs = unixMilliseconds();
        lock.lock();
        for (const auto &it : m_rollouts.update(*view, reports, m_context.name, nowMs)) {
            constexpr double millisecondsPerSecond = 1000;
            m_rolloutSeconds.Observe(static_cast<double>(*it.completeMs - it.acceptedMs)
                                     / millisecondsPerSecond);
        }
        m_openRollouts.Set(static_cast<double>(m_rollouts.openCount()));
        const auto rollouts = m_rollouts.all();
        const bool hasRecent
                = std::any_of(rollouts.begin(), rollouts.end(), [nowMs](const Rollout &r) {
                      return !r.completeMs && nowMs - r.acceptedMs < recentRolloutAgeMs;
                  });
        m_rolloutChanged.wait_for(lock,
                                  hasRecent ? recentRolloutPollInterval : olderRolloutPollInterval);
    }
}

} // namespace dragonflysill
