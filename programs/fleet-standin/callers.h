#pragma once

#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/net/httpclient.h"
#include "fleetstandin.h"

#include <string>
#include <vector>

namespace dragonflysill {

/** Jobs that the simulated callers submit. */
struct CallerSettings
{
    std::vector<std::string> nodes; ///< Addresses of the nodes.
    std::vector<std::string> pools;
    int jobs = 0;
    Duration spacing{0}; ///< Time between two submissions.
    int cancelEvery = 0; ///< One job in this many is cancelled; 0 for none.
};

/** What the callers have seen so far. */
struct CallerTally
{
    int accepted = 0;
    int completed = 0;
    int cancelled = 0; ///< Jobs whose cancel was acknowledged and that ended as cancelled.
    int late = 0; ///< Completed jobs that took longer than the objective.
    int notAccepted = 0; ///< "Not accepted" responses; most callers submit again.
    int abandoned = 0; ///< Jobs whose callers got only "not accepted" and stopped submitting.
};

/**
 * Simulates callers that submit jobs to the nodes and poll their state until they end, over
 * connections that they keep open as long as the node does.
 */
class Callers
{
public:
    Callers(EventLoop &loop, platform::FleetStandin &fleet, CallerSettings settings);

    void start();

    [[nodiscard]] bool finished() const { return m_ended == m_settings.jobs; }
    [[nodiscard]] const CallerTally &tally() const { return m_tally; }

private:
    void submitNext(int n);
    [[nodiscard]] std::string target(int n) const;
    void call(const char *method, int n, int node, const std::string &body,
              HttpClient::Callback callback);

    /**
     * Submits a job to a node, and to the next one after a failure.
     * @param onlyRejected true if every earlier submission of the job got "not accepted"
     */
    void submit(int n, int node, bool onlyRejected);

    /** Cancels a job at a node, and at the next one until a node acknowledges it. */
    void cancel(int n, int node);

    /** Asks one node after another for the state of a job until it has ended. */
    void poll(int n, int node);
    void completed(int n);

    EventLoop &m_loop;
    platform::FleetStandin &m_fleet;
    HttpClient m_client;
    CallerSettings m_settings;
    CallerTally m_tally;
    std::vector<TimePoint> m_submittedAt;
    std::vector<std::string> m_queue; ///< Pool of each job.
    TimePoint m_startedAt{};
    int m_ended = 0;
};

} // namespace dragonflysill
