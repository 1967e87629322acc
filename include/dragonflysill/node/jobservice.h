#pragma once

#include "dragonflysill/base/latencyhistogram.h"
#include "dragonflysill/jobs/calleraccess.h"
#include "dragonflysill/jobs/fleetconfiguration.h"
#include "dragonflysill/jobs/jobcodec.h"
#include "dragonflysill/jobs/retryadvice.h"
#include "dragonflysill/net/httpserver.h"
#include "dragonflysill/node/batchwriter.h"
#include "dragonflysill/node/statereplica.h"
#include "dragonflysill/node/storedstatus.h"
#include "dragonflysill/peers/messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace dragonflysill {

/** Why a call was refused because of its key. */
enum class AccessRefusal {
    UnknownKey,
    CannotTell,
    OtherTeam,
};

/** Returns the name of a cause in metrics. */
std::string_view accessRefusalName(AccessRefusal cause);

/** Counters of a JobService. */
struct JobServiceCounts
{
    std::uint64_t accepted = 0;
    std::uint64_t repeated = 0; ///< Submissions of an id that had already been accepted.
    std::uint64_t rejected = 0; ///< Submissions answered with "not accepted".
    std::uint64_t unknown = 0; ///< Submissions whose outcome in the store is unknown.
    std::uint64_t cancelled = 0;
    std::uint64_t statusRequests = 0;
    std::uint64_t unknownQueue = 0; ///< Requests for a queue or job id that does not exist.
    /** Calls refused because of their key, by cause and team of the key; empty for none. */
    std::map<std::pair<AccessRefusal, std::string>, std::uint64_t> accessRefused;
};

/** How a JobService reaches the owner of the schedule. */
struct OwnerRequests
{
    /** Asks for the status of a job; empty if the owner does not know it or gives no answer. */
    std::function<void(const std::string &job, std::function<void(const StatusAnswer &)>)> status;
    /** Asks for the number of jobs of a queue that have not started a task. */
    std::function<void(const std::string &queue, std::function<void(std::optional<int>)>)> pending;
    /** Tells of a job or cancel request that this node has stored. */
    std::function<void(const std::string &key, const std::string &value, std::int64_t revision)>
            stored;
};

/**
 * Handles the requests of callers: accepts jobs once they are stored, reports their state and
 * cancels them. It answers "not accepted" only if the job can no longer become stored.
 */
class JobService
{
public:
    JobService(EventLoop &loop, AsyncStore &store, StateReplica &replica, std::uint64_t seed);

    /** Sets the configuration unless its version is not newer than that of the current one. */
    void setConfiguration(FleetConfiguration configuration);
    [[nodiscard]] const std::optional<FleetConfiguration> &configuration() const
    {
        return m_configuration;
    }

    /** Decides about the keys of callers; its configuration is set by setConfiguration(). */
    [[nodiscard]] CallerAccess &access() { return m_access; }
    [[nodiscard]] const CallerAccess &access() const { return m_access; }

    /**
     * Sets whether the store is reachable. While it is not, requests that need it fail immediately,
     * and so do those already waiting for it, so that the callers can try another node.
     */
    void setStoreReachable(bool reachable);

    /**
     * Sets how the owner of the schedule is reached. Without it, requests are answered from the
     * replica and the store alone.
     */
    void setOwnerRequests(OwnerRequests requests) { m_ownerRequests = std::move(requests); }

    /** Handles one request; @p respond may be called asynchronously. */
    void handle(const HttpRequest &request, HttpServer::Respond respond);

    [[nodiscard]] const JobServiceCounts &counts() const { return m_counts; }

    /** Returns how long submissions waited for the response of the store. */
    [[nodiscard]] const LatencyHistogram &submissionLatency() const { return m_submissionLatency; }

private:
    void submit(const Queue &queue, std::string_view id, const HttpRequest &request,
                const Access &access, TimePoint deadline, HttpServer::Respond respond);
    void submissionAnswered(const std::string &id, const Access &access,
                            PendingWrite::Outcome outcome, const std::string &value,
                            std::int64_t revision, const HttpServer::Respond &respond);
    void showStatus(std::string_view id, const Access &access, const HttpServer::Respond &respond);
    /** Answers from the replica, or from the store if the job is missing in it. */
    void showStoredStatus(const std::string &id, const Access &access,
                          const HttpServer::Respond &respond);
    /**
     * Answers from the store.
     * @param newer status that the owner told without the job's team, if any
     */
    void readStatus(const std::string &id, const Access &access, std::optional<JobStatus> newer,
                    const HttpServer::Respond &respond);
    void showPending(const Queue &queue, const HttpServer::Respond &respond);
    void cancel(std::string_view id, const Access &access, TimePoint deadline,
                const HttpServer::Respond &respond);
    /**
     * Stores a cancel request for a job that the caller may cancel.
     * @param known the job is stored; otherwise it may be stored later
     */
    void writeCancel(const std::string &id, const Access &access, bool known, TimePoint deadline,
                     const HttpServer::Respond &respond);
    /** Reads from the store whether a job was accepted, and from which team. */
    void findStored(const std::string &id, std::function<void(Result<JobOrigin>)> callback);
    /** Counts a call that is refused because of its key and returns the response. */
    [[nodiscard]] HttpResponse refuse(AccessRefusal cause, const Access &access, bool submission);
    /** Responds with a refusal and returns false if the caller may not use a job. */
    bool checkJob(const Access &access, std::string_view jobTeam, bool submission,
                  const HttpServer::Respond &respond);
    /** Applies a key that this node has stored, and tells the owner of it. */
    void keyStored(const std::string &key, const std::string &value, std::int64_t revision);
    /** Counts a rejected submission and returns 503 with a Retry-After header. */
    [[nodiscard]] HttpResponse notAccepted();
    /** Returns 503 with a Retry-After header. */
    [[nodiscard]] HttpResponse unavailable();

    AsyncStore &m_store;
    StateReplica &m_replica;
    BatchWriter m_writer;
    OwnerRequests m_ownerRequests;
    std::optional<FleetConfiguration> m_configuration;
    CallerAccess m_access;
    bool m_storeReachable = false;
    std::optional<TimePoint> m_unreachableSince;
    RetryAdvice m_retryAdvice;
    JobServiceCounts m_counts;
    LatencyHistogram m_submissionLatency;
};

} // namespace dragonflysill
