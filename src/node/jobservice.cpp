#include "dragonflysill/node/jobservice.h"

#include "dragonflysill/jobs/jobcodec.h"
#include "dragonflysill/jobs/json.h"
#include "dragonflysill/node/cancelmark.h"
#include "dragonflysill/node/nodekeys.h"
#include "dragonflysill/node/storedstatus.h"
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

/** Part of the caller's timeout that is reserved for sending the response. */
constexpr Milliseconds responseMargin = 100ms;
/** Wait for the store if neither the request nor the queue sets a timeout; also the maximum wait.
 */
constexpr Milliseconds defaultWait = 2000ms;

/** Answers to a cancel request that has been stored. */
constexpr int jobCancelled = 200;
constexpr int noSuchJob = 410;

/** Names of the values of PendingWrite::Outcome in the log. */
constexpr std::array outcomeNames{"stored", "existed", "not-done", "unknown"};

HttpResponse status(int code, std::string body = {})
{
    return {code, std::move(body), {}};
}

/** Names of AccessRefusal in metrics. */
constexpr std::array refusalNames{"unknown-key", "cannot-tell", "other-team"};

} // namespace internal

std::string_view accessRefusalName(AccessRefusal cause)
{
    return internal::refusalNames.at(static_cast<std::size_t>(cause));
}

JobService::JobService(EventLoop &loop, AsyncStore &store, StateReplica &replica,
                       std::uint64_t seed)
    : m_store(store)
    , m_replica(replica)
    , m_writer(loop, store)
    , m_retryAdvice(seed)
{
}

void JobService::setConfiguration(FleetConfiguration configuration)
{
    if (m_configuration && configuration.version <= m_configuration->version)
        return;
    m_configuration = std::move(configuration);
    m_access.setConfiguration(*m_configuration);
}

void JobService::setStoreReachable(bool reachable)
{
    m_storeReachable = reachable;
    if (reachable) {
        m_unreachableSince.reset();
        return;
    }
    m_unreachableSince = m_unreachableSince.value_or(EventLoop::now());
    m_writer.completeAll();
}

HttpResponse JobService::notAccepted()
{
    ++m_counts.rejected;
    return unavailable();
}

HttpResponse JobService::unavailable()
{
    const auto outage = m_unreachableSince ? EventLoop::now() - *m_unreachableSince : Duration{0};
    const auto seconds = m_retryAdvice.secondsAfter(outage);
    return {503, {}, {{"Retry-After", std::to_string(seconds)}}};
}

HttpResponse JobService::refuse(AccessRefusal cause, const Access &access, bool submission)
{
    ++m_counts.accessRefused[{cause, access.team}];
    switch (cause) {
    case AccessRefusal::UnknownKey:
        return {401, {}, {{"WWW-Authenticate", "Bearer"}}};
    case AccessRefusal::OtherTeam:
        return internal::status(403);
    case AccessRefusal::CannotTell:
        break;
    }
    return submission ? notAccepted() : unavailable();
}

bool JobService::checkJob(const Access &access, std::string_view jobTeam, bool submission,
                          const HttpServer::Respond &respond)
{
    const auto toJob = access.toJob(jobTeam);
    if (toJob == Access::ToJob::Allowed)
        return true;
    const auto cause = toJob == Access::ToJob::OtherTeam ? AccessRefusal::OtherTeam
                                                         : AccessRefusal::CannotTell;
    respond(refuse(cause, access, submission));
    return false;
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
        ++m_counts.unknownQueue;
        respond(internal::status(404));
        return;
    }
    const auto id = call.path.substr(queue->prefix.size());
    using Action = platform::CallerRequest::Action;
    const bool counts = call.action == Action::Show && id.empty();
    if (!counts && !platform::isJobId(id)) {
        ++m_counts.unknownQueue;
        respond(internal::status(404));
        return;
    }
    // The time is read after the request, so that a proof that has expired while the process was
    // paused does not cover a request that was sent meanwhile.
    const auto access = m_access.decide(*queue, call.key, EventLoop::now());
    if (!access.allowed()) {
        const auto cause = access.decision == Access::Decision::UnknownKey
                                   ? AccessRefusal::UnknownKey
                                   : AccessRefusal::CannotTell;
        respond(refuse(cause, access, call.action == Action::Submit));
        return;
    }
    if (counts) {
        showPending(*queue, respond);
        return;
    }
    const auto wait = std::max<Milliseconds>(call.deadline.value_or(queue->timeout.count() > 0
                                                                            ? queue->timeout
                                                                            : internal::defaultWait)
                                                     - internal::responseMargin,
                                             internal::responseMargin);
    const auto deadline = EventLoop::now() + std::min(wait, internal::defaultWait);
    switch (call.action) {
    case Action::Submit:
        submit(*queue, id, request, access, deadline, std::move(respond));
        break;
    case Action::Show:
        showStatus(id, access, respond);
        break;
    case Action::Cancel:
        cancel(id, access, deadline, respond);
        break;
    case Action::Unsupported:
        respond(internal::status(405));
        break;
    }
}

void JobService::submit(const Queue &queue, std::string_view id, const HttpRequest &request,
                        const Access &access, TimePoint deadline, HttpServer::Respond respond)
{
    if (const auto *known = m_replica.job(id)) {
        if (!checkJob(access, known->team, true, respond))
            return;
        ++m_counts.repeated;
        respond(internal::status(200));
        return;
    }
    auto spec = platform::decodeSubmission(request.body);
    if (!spec) {
        respond(internal::status(400, dump(Json{{"error", errorName(spec.error().code)},
                                                {"detail", spec.error().detail}})));
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
    job.team = access.team;
    job.policy = queue.policy;
    job.acceptedMs = unixMilliseconds();
    job.spec = std::move(*spec);
    PendingWrite write;
    write.key = nodekeys::key(nodekeys::jobs, id);
    write.value = encodeJob(job);
    write.mustBeNew = true;
    write.deadline = deadline;
    write.callback = [this, id = job.id, access, started = EventLoop::now(),
                      respond = std::move(respond)](PendingWrite::Outcome outcome,
                                                    const std::string &value,
                                                    std::int64_t revision) {
        const auto took = EventLoop::now() - started;
        m_submissionLatency.observe(took);
        logInfo("job-submitted",
                {{"job", id},
                 {"outcome", internal::outcomeNames.at(static_cast<std::size_t>(outcome))},
                 {"revision", std::to_string(revision)},
                 {"took_ms", std::to_string(took / 1ms)}});
        submissionAnswered(id, access, outcome, value, revision, respond);
    };
    m_writer.write(std::move(write));
}

void JobService::submissionAnswered(const std::string &id, const Access &access,
                                    PendingWrite::Outcome outcome, const std::string &value,
                                    std::int64_t revision, const HttpServer::Respond &respond)
{
    switch (outcome) {
    case PendingWrite::Outcome::Stored:
    case PendingWrite::Outcome::Existed:
        keyStored(nodekeys::key(nodekeys::jobs, id), value, revision);
        if (value == rejectedRecord) {
            respond(notAccepted());
            return;
        }
        if (outcome == PendingWrite::Outcome::Existed
            && !checkJob(access, decodeOrigin(value).team, true, respond))
            return;
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

void JobService::keyStored(const std::string &key, const std::string &value, std::int64_t revision)
{
    m_replica.applyOwn(key, value, revision);
    if (m_ownerRequests.stored)
        m_ownerRequests.stored(key, value, revision);
}

void JobService::findStored(const std::string &id, std::function<void(Result<JobOrigin>)> callback)
{
    m_store.get(nodekeys::key(nodekeys::jobs, id),
                [callback = std::move(callback)](const Result<KeyValue> &item) {
                    if (!item)
                        callback(item.error());
                    else if (item->value == rejectedRecord)
                        callback(Error(ErrorKind::NotFound, "the job was rejected"));
                    else
                        callback(decodeOrigin(item->value));
                });
}

void JobService::showPending(const Queue &queue, const HttpServer::Respond &respond)
{
    const auto answer = [respond](std::optional<int> count) {
        respond(count ? internal::status(200, platform::encodePending(*count))
                      : internal::status(503));
    };
    const auto known = m_replica.pending(queue.name);
    if (known || !m_ownerRequests.pending)
        answer(known);
    else
        m_ownerRequests.pending(queue.name, answer);
}

void JobService::showStatus(std::string_view id, const Access &access,
                            const HttpServer::Respond &respond)
{
    ++m_counts.statusRequests;
    if (const auto *job = m_replica.job(id);
        job != nullptr && !checkJob(access, job->team, false, respond))
        return;
    const auto known = m_replica.status(id);
    if (!m_ownerRequests.status || (known && isFinal(*known))) {
        showStoredStatus(std::string(id), access, respond);
        return;
    }
    m_ownerRequests.status(std::string(id), [this, id = std::string(id), access,
                                             respond](const StatusAnswer &answer) {
        const auto *job = m_replica.job(id);
        const auto team = job != nullptr ? std::optional(job->team) : answer.team;
        if (!answer.status)
            showStoredStatus(id, access, respond);
        else if (access.usesTeams && !team)
            readStatus(id, access, answer.status, respond);
        else if (checkJob(access, team.value_or(std::string()), false, respond))
            respond(internal::status(200, platform::encodeState(*answer.status)));
    });
}

void JobService::showStoredStatus(const std::string &id, const Access &access,
                                  const HttpServer::Respond &respond)
{
    const auto *job = m_replica.job(id);
    if (job == nullptr)
        readStatus(id, access, std::nullopt, respond);
    else if (checkJob(access, job->team, false, respond))
        respond(internal::status(200, platform::encodeState(*m_replica.status(id))));
}

void JobService::readStatus(const std::string &id, const Access &access,
                            std::optional<JobStatus> newer, const HttpServer::Respond &respond)
{
    if (!m_storeReachable) {
        respond(internal::status(503));
        return;
    }
    readStoredStatus(
            m_store, id, [this, access, newer, respond](const Result<StoredStatus> &stored) {
                if (!stored)
                    respond(internal::status(stored.error().is(ErrorKind::NotFound) ? 410 : 503));
                else if (checkJob(access, stored->team, false, respond))
                    respond(internal::status(
                            200, platform::encodeState(newer.value_or(stored->status))));
            });
}

void JobService::cancel(std::string_view id, const Access &access, TimePoint deadline,
                        const HttpServer::Respond &respond)
{
    if (!m_storeReachable) {
        respond(internal::status(503));
        return;
    }
    if (const auto *job = m_replica.job(id)) {
        if (checkJob(access, job->team, false, respond))
            writeCancel(std::string(id), access, true, deadline, respond);
        return;
    }
    findStored(std::string(id), [this, id = std::string(id), access, deadline,
                                 respond](const Result<JobOrigin> &found) {
        if (!found && !found.error().is(ErrorKind::NotFound)) {
            respond(internal::status(503));
            return;
        }
        if (!checkJob(access, found ? found->team : access.team, false, respond))
            return;
        // Without a record, the submission may still be on its way, to this node or another.
        writeCancel(id, access, found.ok(), deadline, respond);
    });
}

void JobService::writeCancel(const std::string &id, const Access &access, bool known,
                             TimePoint deadline, const HttpServer::Respond &respond)
{
    const auto status = m_replica.status(id);
    if (status && isFinal(*status)) {
        respond(internal::status(200));
        return;
    }
    PendingWrite write;
    write.key = nodekeys::key(nodekeys::cancelled, id);
    write.value = cancelMark;
    if (access.usesTeams && !known) {
        write.value = cancelMarkOfTeam(access.team);
        write.mustBeNew = true; // The mark of another team must stay.
    }
    write.deadline = deadline;
    write.callback = [this, access, key = write.key, mark = write.value,
                      acknowledgement = known ? internal::jobCancelled : internal::noSuchJob,
                      respond](PendingWrite::Outcome outcome, const std::string &value,
                               std::int64_t revision) {
        if (outcome == PendingWrite::Outcome::Existed && value != mark && value != cancelMark) {
            respond(refuse(AccessRefusal::OtherTeam, access, false));
            return;
        }
        if (outcome == PendingWrite::Outcome::Unknown
            || outcome == PendingWrite::Outcome::NotDone) {
            respond(internal::status(outcome == PendingWrite::Outcome::Unknown ? 504 : 503));
            return;
        }
        ++m_counts.cancelled;
        logInfo("job-cancelled", {{"key", key},
                                  {"revision", std::to_string(revision)},
                                  {"answer", std::to_string(acknowledgement)}});
        keyStored(key, value, revision);
        respond(internal::status(acknowledgement));
    };
    m_writer.write(std::move(write));
}

} // namespace dragonflysill
