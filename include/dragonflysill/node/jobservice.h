#pragma once

#include "dragonflysill/base/random.h"
#include "dragonflysill/jobs/fleetconfiguration.h"
#include "dragonflysill/net/httpserver.h"
#include "dragonflysill/node/batchwriter.h"
#include "dragonflysill/node/latencyhistogram.h"
#include "dragonflysill/node/statereplica.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflysill {

/** Counters of a JobService. */
struct JobServiceCounts
{
    std::uint64_t accepted = 0;
    std::uint64_t repeated = 0; ///< Submissions of an id that was accepted before.
    std::uint64_t rejected = 0; ///< Answered "not accepted".
    std::uint64_t unknown = 0; ///< Answered without a known outcome.
    std::uint64_t cancelled = 0;
    std::uint64_t shown = 0;
    std::uint64_t noQueue = 0; ///< No such queue.
};

/**
 * Answers callers: accepts jobs once the store has them, tells their state, cancels them. It says
 * "not accepted" only of a job that can no longer become stored.
 */
class JobService
{
public:
    JobService(EventLoop &loop, AsyncStore &store, StateReplica &replica, std::uint64_t seed);

    /** Takes over a configuration; an older version than the present one is ignored. */
    void setConfiguration(FleetConfiguration configuration);
    [[nodiscard]] const std::optional<FleetConfiguration> &configuration() const
    {
        return m_configuration;
    }

    /**
     * Tells whether the store can be reached. While it can't, callers who need it are answered at
     * once, those who wait for it included, so that they can try another node.
     */
    void setStoreReachable(bool reachable);

    /** Answers one request. */
    void handle(const HttpRequest &request, HttpServer::Respond respond);

    [[nodiscard]] const JobServiceCounts &counts() const { return m_counts; }

    /** Returns how long submissions waited for the store. */
    [[nodiscard]] const LatencyHistogram &handInSeconds() const { return m_handInSeconds; }

private:
    void submit(const Queue &queue, std::string_view id, const HttpRequest &request,
                TimePoint giveUpAt, HttpServer::Respond respond);
    void submitted(const std::string &id, PendingWrite::Outcome outcome, const std::string &value,
                   std::int64_t revision, const HttpServer::Respond &respond);
    void show(std::string_view id, const HttpServer::Respond &respond);
    void cancel(std::string_view id, TimePoint giveUpAt, const HttpServer::Respond &respond);
    void writeCancel(const std::string &id, TimePoint giveUpAt, const HttpServer::Respond &respond);
    /** Reads a job that the replica does not have and applies it to the replica. */
    void fetch(std::string_view id, std::function<void(Result<Done>)> callback);
    [[nodiscard]] HttpResponse notAccepted();

    AsyncStore &m_store;
    StateReplica &m_replica;
    BatchWriter m_writer;
    std::optional<FleetConfiguration> m_configuration;
    bool m_storeReachable = false;
    Random m_random;
    JobServiceCounts m_counts;
    LatencyHistogram m_handInSeconds;
};

} // namespace dragonflysill
