#include "dragonflysill/node/jobservice.h"

#include "dragonflysill/jobs/jobcodec.h"
#include "dragonflysill/node/nodekeys.h"
#include "dragonflysill/telemetry/log.h"
#include "ingress.h"
#include "jobformat.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace dragonflysill {

using namespace std::chrono_literals;

namespace internal {

using namespace std::chrono_literals;

/** Time kept for the response to reach the caller. */
constexpr Milliseconds responseTime = 100ms;
/** How long callers are kept waiting if neither they nor their queue say. */
constexpr Milliseconds usualWait = 2000ms;
/** Callers that are sent away return after 1 to this many seconds, spread evenly. */
constexpr std::size_t retryAfterSpreadS = 2;

/** Names of PendingWrite::Outcome in the log. */
constexpr std::array outcomeNames{"stored", "existed", "not-done", "unknown"};

HttpResponse status(int code, std::string body = {})
{
    return {code, std::move(body), {}};
}

} // namespace internal

JobService::JobService(EventLoop &loop, AsyncStore &store, StateReplica &replica,
                       std::uint64_t seed)
    : m_store(store)
    , m_replica(replica)
    , m_writer(loop, store)
    , m_random(seed)
{
}

void JobService::setConfiguration(FleetConfiguration configuration)
{
    if (!m_configuration || configuration.version > m_configuration->version)
        m_configuration = std::move(configuration);
}

void JobService::setStoreReachable(bool reachable)
{
    m_storeReachable = reachable;
    if (!reachable)
        m_writer.abandon();
}

HttpResponse JobService::notAccepted()
{
    ++m_counts.rejected;
    const auto seconds = 1 + m_random.below(internal::retryAfterSpreadS);
    return {503, {}, {{"Retry-After", std::to_string(seconds)}}};
}

void JobService::handle(const HttpRequest &request, HttpServer::Respond respond)
{
    if (!m_configuration || !m_replica.loaded()) {
        respond(notAccepted());
        return;
    }
    const auto call = platform::decodeCallerRequest(request);
    const auto *queue = m_configuration->match(call.host, call.path);
    if (queue == nullptr) {
        ++m_counts.noQueue;
        respond(internal::status(404));
        return;
    }
    const auto id = call.path.substr(queue->prefix.size());
    using Action = platform::CallerRequest::Action;
    if (call.action == Action::Show && id.empty()) {
        respond(internal::status(200, platform::encodePending(m_replica.pending(queue->name))));
        return;
    }
    if (!platform::isJobId(id)) {
        ++m_counts.noQueue;
        respond(internal::status(404));
        return;
    }
    const auto wait = std::max<Milliseconds>(call.deadline.value_or(queue->timeout.count() > 0
                                                                            ? queue->timeout
                                                                            : internal::usualWait)
                                                     - internal::responseTime,
                                             internal::responseTime);
    const auto giveUpAt = EventLoop::now() + std::min(wait, internal::usualWait);
    switch (call.action) {
    case Action::Submit:
        submit(*queue, id, request, giveUpAt, std::move(respond));
        break;
    case Action::Show:
        show(id, respond);
        break;
    case Action::Cancel:
        cancel(id, giveUpAt, respond);
        break;
    case Action::Unsupported:
        respond(internal::status(405));
        break;
    }
}

void JobService::submit(const Queue &queue, std::string_view id, const HttpRequest &request,
                        TimePoint giveUpAt, HttpServer::Respond respond)
{
    if (m_replica.job(id) != nullptr) {
        ++m_counts.repeated;
        respond(internal::status(200));
        return;
    }
    auto spec = platform::decodeSubmission(request.body);
    if (!spec) {
        respond(internal::status(400, "{\"error\":\"" + std::string(errorName(spec.error().code))
                                              + "\"}"));
        return;
    }
    if (!m_storeReachable) {
        logInfo("job-submitted", {{"job", std::string(id)}, {"outcome", "store-unreachable"}});
        respond(notAccepted());
        return;
    }
    SubmittedJob job;
    job.id = id;
    job.queue = queue.name;
    job.pool = queue.pool;
    job.policy = queue.policy;
    job.acceptedMs = unixMilliseconds();
    job.spec = std::move(*spec);
    PendingWrite write;
    write.key = nodekeys::key(nodekeys::jobs, id);
    write.value = encodeJob(job);
    write.mustBeNew = true;
    write.giveUpAt = giveUpAt;
    write.callback = [this, id = job.id, started = EventLoop::now(), respond = std::move(respond)](
                             PendingWrite::Outcome outcome, const std::string &value,
                             std::int64_t revision) {
        const auto took = EventLoop::now() - started;
        m_handInSeconds.observe(took);
        logInfo("job-submitted",
                {{"job", id},
                 {"outcome", internal::outcomeNames.at(static_cast<std::size_t>(outcome))},
                 {"revision", std::to_string(revision)},
                 {"took_ms", std::to_string(took / 1ms)}});
        submitted(id, outcome, value, revision, respond);
    };
    m_writer.write(std::move(write));
}

void JobService::submitted(const std::string &id, PendingWrite::Outcome outcome,
                           const std::string &value, std::int64_t revision,
                           const HttpServer::Respond &respond)
{
    switch (outcome) {
    case PendingWrite::Outcome::Stored:
    case PendingWrite::Outcome::Existed:
        m_replica.applyOwn(nodekeys::key(nodekeys::jobs, id), value, revision);
        if (value == rejectedRecord) {
            respond(notAccepted());
            return;
        }
        ++(outcome == PendingWrite::Outcome::Stored ? m_counts.accepted : m_counts.repeated);
        respond(internal::status(200));
        break;
    case PendingWrite::Outcome::NotDone:
        respond(notAccepted());
        break;
    case PendingWrite::Outcome::Unknown:
        ++m_counts.unknown;
        respond(internal::status(504));
        break;
    }
}

void JobService::fetch(std::string_view id, std::function<void(Result<Done>)> callback)
{
    m_store.get(nodekeys::key(nodekeys::jobs, id),
                [this, callback = std::move(callback)](const Result<KeyValue> &item) {
                    if (!item) {
                        callback(item.error());
                        return;
                    }
                    m_replica.applyOwn(item->key, item->value, item->modRevision);
                    callback(Done());
                });
}

void JobService::show(std::string_view id, const HttpServer::Respond &respond)
{
    ++m_counts.shown;
    if (const auto status = m_replica.status(id)) {
        respond(internal::status(200, platform::encodeState(*status)));
        return;
    }
    if (!m_storeReachable) {
        respond(internal::status(503));
        return;
    }
    fetch(id, [this, id = std::string(id), respond](const Result<Done> &found) {
        const auto status = m_replica.status(id);
        if (status)
            respond(internal::status(200, platform::encodeState(*status)));
        else if (found || found.error().is(ErrorKind::NotFound))
            respond(internal::status(410));
        else
            respond(internal::status(503));
    });
}

void JobService::cancel(std::string_view id, TimePoint giveUpAt, const HttpServer::Respond &respond)
{
    if (!m_storeReachable) {
        respond(internal::status(503));
        return;
    }
    if (m_replica.job(id) != nullptr) {
        writeCancel(std::string(id), giveUpAt, respond);
        return;
    }
    fetch(id, [this, id = std::string(id), giveUpAt, respond](const Result<Done> &found) {
        if (m_replica.job(id) != nullptr)
            writeCancel(id, giveUpAt, respond);
        else if (found || found.error().is(ErrorKind::NotFound))
            respond(internal::status(410));
        else
            respond(internal::status(503));
    });
}

void JobService::writeCancel(const std::string &id, TimePoint giveUpAt,
                             const HttpServer::Respond &respond)
{
    const auto status = m_replica.status(id);
    if (status && isFinal(*status)) {
        respond(internal::status(200));
        return;
    }
    PendingWrite write;
    write.key = nodekeys::key(nodekeys::cancelled, id);
    write.value = "1";
    write.giveUpAt = giveUpAt;
    write.callback = [this, key = write.key, respond](PendingWrite::Outcome outcome,
                                                      const std::string &value,
                                                      std::int64_t revision) {
        if (outcome != PendingWrite::Outcome::Stored) {
            respond(internal::status(outcome == PendingWrite::Outcome::Unknown ? 504 : 503));
            return;
        }
        ++m_counts.cancelled;
        logInfo("job-cancelled", {{"key", key}, {"revision", std::to_string(revision)}});
        m_replica.applyOwn(key, value, revision);
        respond(internal::status(200));
    };
    m_writer.write(std::move(write));
}

} // namespace dragonflysill
