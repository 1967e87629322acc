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

// Peers are one millisecond away; a longer wait only delays the answer about the others.
constexpr milliseconds peerConnectLimit{500};
constexpr milliseconds peerReadLimit{1000};

/** Bodies above this are refused unread; between the two limits the answer names the size. */
constexpr std::size_t bodyLimitBytes{2 * ticketSizeLimitBytes};

constexpr milliseconds bodyReadLimit{5000};
constexpr std::size_t serverThreads{8};
constexpr std::size_t peersAtOnce{16};

// Roll-outs take seconds; moves that wait for an operator may take hours.
constexpr milliseconds youngRolloutInterval{50};
constexpr milliseconds oldRolloutInterval{1000};
constexpr std::int64_t youngRolloutLimitMs{60'000};

/** Pause before repeated store calls: 20 ms, doubled up to 640 ms, so that racers spread out. */
void pauseBeforeAttempt(int attempt)
{
    constexpr milliseconds firstPause{20};
    constexpr int largestShift{5};
    std::this_thread::sleep_for(firstPause * (1 << std::min(attempt - 1, largestShift)));
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

std::string dumped(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void answerJson(httplib::Response &response, const nlohmann::json &json)
{
    response.set_content(dumped(json), "application/json");
}

void answerError(httplib::Response &response, const Error &error)
{
    response.status = httpStatus(error);
    answerJson(response, outcomeToJson(TicketRefusal{error, {}, {}}));
}

std::optional<std::int64_t> number(const std::string &text)
{
    std::int64_t value = 0;
    const char *end = text.data() + text.size();
    const auto [parsed, ec] = std::from_chars(text.data(), end, value);
    if (text.empty() || ec != std::errc() || parsed != end)
        return std::nullopt;
    return value;
}

/** Reads a number from the query; @p fallback if it is absent, nothing if it is malformed. */
std::optional<std::int64_t> queryNumber(const httplib::Request &request, const char *name,
                                        std::int64_t fallback)
{
    if (!request.has_param(name))
        return fallback;
    return number(request.get_param_value(name));
}

/** Returns the body of a GET at another control process, or nothing without a good answer. */
std::optional<std::string> fetch(const std::string &address, const std::string &path)
{
    const auto endpoint = Endpoint::parse(address);
    if (!endpoint)
        return std::nullopt;
    httplib::Client client(endpoint->host, endpoint->port);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(peerConnectLimit);
    client.set_read_timeout(peerReadLimit);
    const auto result = client.Get(path);
    if (!result || result->status != 200)
        return std::nullopt;
    return result->body;
}

struct PeerAnswer
{
    std::string name;
    std::optional<std::string> body;
};

/** Asks all other control processes at once, a bounded number at a time. */
std::vector<PeerAnswer> askPeers(const View &view, const std::string &self, const std::string &path)
{
    std::vector<PeerAnswer> answers;
    std::vector<std::pair<std::string, std::future<std::optional<std::string>>>> open;
    const auto collect = [&] {
        for (auto &it : open)
            answers.push_back({it.first, it.second.get()});
        open.clear();
    };
    for (const auto &[name, member] : view.members) {
        if (name == self)
            continue;
        open.emplace_back(name,
                          std::async(std::launch::async, fetch, member.operatorAddress, path));
        if (open.size() == peersAtOnce)
            collect();
    }
    collect();
    return answers;
}

nlohmann::json parsedOrNull(const std::string &text)
{
    auto json = nlohmann::json::parse(text, nullptr, false);
    return json.is_discarded() ? nlohmann::json() : json;
}

TicketProcessorSettings deskSettings(const std::string &process)
{
    return {process, unixMilliseconds, pauseBeforeAttempt};
}

/** Fills answers that the HTTP library made itself, so that every error has a typed body. */
void fillEmptyError(const httplib::Request &request, httplib::Response &response)
{
    if (!response.body.empty())
        return;
    const int status = response.status;
    if (status == 404)
        answerError(response, Error(ErrorKind::NotFound, "no resource " + request.path));
    else if (status == 413)
        answerError(response,
                    Error(ErrorKind::LimitExceeded, "the body is larger than the limit of "
                                                            + std::to_string(ticketSizeLimitBytes)
                                                            + " bytes; split the ticket"));
    else if (status < 500)
        answerError(response, Error(ErrorKind::InvalidInput, "the request could not be read"));
    else
        answerError(response, Error(ErrorKind::Corrupt, "the request failed"));
    response.status = status;
}

} // namespace

} // namespace internal

using namespace internal;

OperatorApi::OperatorApi(ControlContext &context)
    : m_context(context)
    , m_desk(context.store, context.fence, deskSettings(context.name))
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
    m_server.set_read_timeout(bodyReadLimit);
    m_server.set_keep_alive_max_count(1); // a waiting connection would hold one of the threads
    m_server.new_task_queue = [] { return new httplib::ThreadPool(serverThreads); };
    m_server.set_error_handler(
            [](const Request &request, Response &response) { fillEmptyError(request, response); });
    m_server.Post("/v1/tickets", [this](const Request &request, Response &response) {
        answerTicket(request, response, true);
    });
    m_server.Post("/v1/tickets/validate", [this](const Request &request, Response &response) {
        answerTicket(request, response, false);
    });
    m_server.Get("/v1/tickets", [this](const Request &request, Response &response) {
        answerHistory(request, response);
    });
    m_server.Get(R"(/v1/tickets/([^/]+))", [this](const Request &request, Response &response) {
        answerOneTicket(request, response);
    });
    m_server.Get(R"(/v1/ticket-ids/([^/]+))", [this](const Request &request, Response &response) {
        answerRecord(m_desk.ticketById(request.matches[1].str()), response);
    });
}

void OperatorApi::addStateRoutes()
{
    using httplib::Request;
    using httplib::Response;
    m_server.Get("/v1/pools", [this](const Request &, Response &response) {
        answerJson(response, poolsDocument(*m_context.view.get()));
    });
    m_server.Get("/v1/instances", [this](const Request &, Response &response) {
        answerJson(response, instancesDocument(*m_context.view.get()));
    });
    for (const char *list : {"moves", "maintenance", "jobs"}) {
        m_server.Get(std::string("/v1/") + list, [this, list](const Request &, Response &response) {
            const OperatorState state = collectState();
            const auto fleet = parsedOrNull(encodeFleetStatus(state.fleet));
            answerJson(response, {{list, fleet.at(list)}, {"unreachable", state.unreachable}});
        });
    }
    m_server.Get("/v1/status", [this](const Request &, Response &response) {
        answerJson(response, statusDocument());
    });
    m_server.Get(R"(/v1/explain/([^/]+)/([^/]+))",
                 [this](const Request &request, Response &response) {
                     answerExplain(request, response);
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
        answerJson(response, rolloutsDocument());
    });
}

void OperatorApi::answerTicket(const httplib::Request &request, httplib::Response &response,
                               bool write)
{
    const std::int64_t seen = m_context.view.get()->configuration.ticket;
    const auto outcome
            = write ? m_desk.accept(request.body, seen) : m_desk.validate(request.body, seen);
    if (write)
        noteOutcome(outcome);
    if (const auto *refused = std::get_if<TicketRefusal>(&outcome))
        response.status = httpStatus(refused->error);
    answerJson(response, outcomeToJson(outcome));
}

void OperatorApi::noteOutcome(const AcceptanceOutcome &outcome)
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

void OperatorApi::answerHistory(const httplib::Request &request, httplib::Response &response)
{
    constexpr std::int64_t defaultLimit{20};
    constexpr std::int64_t largestLimit{1000};
    const auto before = queryNumber(request, "before", 0);
    const auto limit = queryNumber(request, "limit", defaultLimit);
    if (!before || !limit || *before < 0 || *limit < 1 || *limit > largestLimit) {
        answerError(response, Error(ErrorKind::InvalidInput,
                                    "'before' must be a ticket number and 'limit' from 1 to 1000"));
        return;
    }
    const auto records = m_desk.history(*before, static_cast<int>(*limit));
    if (!records) {
        answerError(response, records.error());
        return;
    }
    answerJson(response, {{"tickets", *records}});
}

void OperatorApi::answerOneTicket(const httplib::Request &request, httplib::Response &response)
{
    const std::string text = request.matches[1].str();
    const auto value = number(text);
    if (!value) {
        answerError(response,
                    Error(ErrorKind::InvalidInput, "'" + text + "' is not a ticket number"));
        return;
    }
    answerRecord(m_desk.ticket(*value), response);
}

void OperatorApi::answerRecord(const Result<TicketRecord> &record, httplib::Response &response)
{
    if (!record) {
        answerError(response, record.error());
        return;
    }
    nlohmann::json document = *record;
    document["rollout"] = rolloutOf(record->number);
    answerJson(response, document);
}

void OperatorApi::answerExplain(const httplib::Request &request, httplib::Response &response)
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
        answerError(response, Error(ErrorKind::InvalidInput,
                                    "unknown kind '" + kind + "'; use instance, pool or job"));
        return;
    }
    if (document)
        answerJson(response, *document);
    else
        answerError(response, Error(ErrorKind::NotFound, kind + " '" + name + "'"));
}

OperatorState OperatorApi::collectState() const
{
    OperatorState state{
            m_context.view.get(), m_context.reports.snapshot(), m_context.fleetStatus->get(), {}};
    for (const auto &it : askPeers(*state.view, m_context.name, "/v1/local/fleet")) {
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
    const auto fleet = parsedOrNull(encodeFleetStatus(state.fleet));
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
        array.push_back(parsedOrNull(encodeRollout(it)));
    return array;
}

nlohmann::json OperatorApi::rolloutOf(std::int64_t ticket) const
{
    {
        const std::lock_guard lock(m_rolloutMutex);
        if (const auto found = m_rollouts.find(ticket))
            return parsedOrNull(encodeRollout(*found));
    }
    for (const auto &it : askPeers(*m_context.view.get(), m_context.name, "/v1/local/rollouts")) {
        const auto rollouts = it.body ? parsedOrNull(*it.body) : nlohmann::json();
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
        const bool young = std::any_of(rollouts.begin(), rollouts.end(), [nowMs](const Rollout &r) {
            return !r.completeMs && nowMs - r.acceptedMs < youngRolloutLimitMs;
        });
        m_rolloutChanged.wait_for(lock, young ? youngRolloutInterval : oldRolloutInterval);
    }
}

} // namespace dragonflysill
