#pragma once

#include "dragonflysill/base/latencyhistogram.h"
#include "dragonflysill/jobs/fleetconfiguration.h"
#include "dragonflysill/jobs/retryadvice.h"
#include "dragonflysill/net/httpserver.h"
#include "dragonflysill/node/batchwriter.h"
#include "dragonflysill/node/statereplica.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflysill {

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
};

/** How a JobService reaches the owner of the schedule. */
struct OwnerRequests
{
    /** Asks for the status of a job; no value if the owner does not know it or gives no answer. */
    std::function<void(const std::string &job, std::function<void(std::optional<JobStatus>)>)>
            status;
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
                TimePoint deadline, HttpServer::Respond respond);
    void submissionAnswered(const std::string &id, PendingWrite::Outcome outcome,
                            const std::string &value, std::int64_t revision,
                            const HttpServer::Respond &respond);
    void showStatus(std::string_view id, const HttpServer::Respond &respond);
    /** Answers from the replica, or from the store if the job is missing in it. */
    void showStoredStatus(const std::string &id, const HttpServer::Respond &respond);
    void showPending(const Queue &queue, const HttpServer::Respond &respond);
    void cancel(std::string_view id, TimePoint deadline, const HttpServer::Respond &respond);
    /**
     * Stores a cancel request, also for a job that is stored later.
     * @param acknowledgement status of the response once it is stored
     */
    void writeCancel(const std::string &id, int acknowledgement, TimePoint deadline,
                     const HttpServer::Respond &respond);
    /** Reads from the store whether a job was accepted. */
    void findStored(const std::string &id, std::function<void(Result<Done>)> callback);
    /** Applies a key that this node has stored, and tells the owner of it. */
    void keyStored(const std::string &key, const std::string &value, std::int64_t revision);
    /** Counts a rejected submission and returns 503 with a Retry-After header. */
    [[nodiscard]] HttpResponse notAccepted();

    AsyncStore &m_store;
    StateReplica &m_replica;
    BatchWriter m_writer;
    OwnerRequests m_ownerRequests;
    std::optional<FleetConfiguration> m_configuration;
    bool m_storeReachable = false;
    std::optional<TimePoint> m_unreachableSince;
    RetryAdvice m_retryAdvice;
    JobServiceCounts m_counts;
    LatencyHistogram m_submissionLatency;
};

} // namespace dragonflysill
