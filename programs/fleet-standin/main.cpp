// Simulates the users' platform and its callers on loopback, for the demo and for tests of the
// node.

#include "dragonflysill/net/httpclient.h"
#include "dragonflysill/telemetry/settings.h"
#include "faultseries.h"
#include "fleetstandin.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace dragonflysill;
using namespace std::chrono_literals;

namespace {

/** Ports of a node: for callers, for readiness checks and for other nodes. */
constexpr int portsPerNode = 3;

constexpr const char *jobBody
        = R"({"spec":"demo","steps":[{"count":2,"cpu":1000,"memMb":64,"estimateMs":100},)"
          R"({"count":1,"cpu":1000,"memMb":64,"estimateMs":100,"after":[0]}]})";
/** Time for which one queue receives most of the jobs, before the next queue does. */
constexpr Duration busyQueuePeriod = 1500ms;
/** One job in this many may go to a queue other than the busy one. */
constexpr int otherQueueInterval = 5;
/** Time between two requests for the state of a job. */
constexpr Duration pollInterval = 100ms;
/** Time before a submission is repeated. */
constexpr Duration resubmitDelay = 200ms;

/** Simulates callers that submit jobs to the nodes and poll their state until they end. */
class Callers
{
public:
    Callers(EventLoop &loop, std::vector<std::string> nodes, std::vector<std::string> pools,
            int jobs, Duration spacing)
        : m_loop(loop)
        , m_client(loop)
        , m_nodes(std::move(nodes))
        , m_pools(std::move(pools))
        , m_jobs(jobs)
        , m_spacing(spacing)
        , m_submittedAt(static_cast<std::size_t>(jobs))
    {
    }

    void start()
    {
        m_startedAt = EventLoop::now();
        submitNext(0);
    }

    [[nodiscard]] bool finished() const { return m_ended == m_jobs; }

    int accepted = 0;
    int completed = 0;
    int late = 0; ///< Completed jobs that took longer than the objective.
    int lost = 0; ///< Accepted jobs that a node reported as unknown or failed.
    int notAccepted = 0; ///< "Not accepted" responses; most callers submit again.
    /** Jobs whose callers got only "not accepted" and stopped submitting. */
    std::set<std::string> abandonedJobs;

private:
    void submitNext(int n)
    {
        if (n == m_jobs)
            return;
        m_submittedAt[static_cast<std::size_t>(n)] = EventLoop::now();
        const auto busyQueue
                = static_cast<std::size_t>((EventLoop::now() - m_startedAt) / busyQueuePeriod);
        const auto offset = n % otherQueueInterval == 0 ? static_cast<std::size_t>(n) : 0;
        m_queue.push_back(m_pools[(busyQueue + offset) % m_pools.size()]);
        submit(n, n, true);
        m_loop.after(m_spacing, [this, n] { submitNext(n + 1); });
    }

    [[nodiscard]] static std::string jobId(int n)
    {
        std::array<char, 17> id{};
        std::snprintf(id.data(), id.size(), "%016x", static_cast<unsigned>(n));
        return id.data();
    }

    [[nodiscard]] std::string target(int n) const
    {
        return platform::FleetStandin::queuePrefix(m_queue[static_cast<std::size_t>(n)]) + jobId(n);
    }

    void call(const char *method, int n, int node, const std::string &body,
              HttpClient::Callback callback)
    {
        m_client.call(m_nodes[static_cast<std::size_t>(node) % m_nodes.size()],
                      {method, target(n), body, {{"Host", platform::FleetStandin::callerHost}}}, 3s,
                      std::move(callback));
    }

    /**
     * Submits a job to a node, and to the next one after a failure.
     * @param onlyRejected true if every earlier submission of the job got "not accepted"
     */
    void submit(int n, int node, bool onlyRejected)
    {
        call("POST", n, node, jobBody,
             [this, n, node, onlyRejected](const Result<HttpResponse> &response) {
                 if (response && response->status == 200) {
                     ++accepted;
                     poll(n, node + 1);
                     return;
                 }
                 const bool rejected
                         = response && (response->status == 503 || response->status == 429);
                 notAccepted += static_cast<int>(rejected);
                 if (rejected && onlyRejected && n % 2 == 0) {
                     abandonedJobs.insert(jobId(n));
                     ++m_ended;
                     return;
                 }
                 m_loop.after(resubmitDelay, [this, n, node, all = rejected && onlyRejected] {
                     submit(n, node + 1, all);
                 });
             });
    }

    void poll(int n, int node)
    {
        call("GET", n, node, {}, [this, n, node](const Result<HttpResponse> &response) {
            if (response && response->status == 200
                && response->body.find("completed") != std::string::npos) {
                const auto took = EventLoop::now() - m_submittedAt[static_cast<std::size_t>(n)];
                late += static_cast<int>(took > platform::FleetStandin::objective);
                ++completed;
                ++m_ended;
                return;
            }
            const bool failed = response
                                && (response->status == 410
                                    || response->body.find("failed") != std::string::npos);
            if (failed) {
                ++lost;
                ++m_ended;
                return;
            }
            m_loop.after(pollInterval, [this, n, node] { poll(n, node + 1); });
        });
    }

    EventLoop &m_loop;
    HttpClient m_client;
    std::vector<std::string> m_nodes;
    std::vector<std::string> m_pools;
    int m_jobs;
    Duration m_spacing;
    std::vector<TimePoint> m_submittedAt;
    std::vector<std::string> m_queue; ///< Pool of each job.
    TimePoint m_startedAt{};
    int m_ended = 0;
};

/** Pools of the deployments that can be simulated; the last one is the standby pool. */
const std::map<std::string, std::vector<std::string>> deployments{
        {"tubo-sul", {"rotas", "recebe", "manifesto", "acerto", "apoio"}},
        {"petal-cluster", {"sympathy", "bridal", "counter", "dispatch", "registry"}}};

/** Ports between the first one and those of the nodes, unless a flag names these. */
constexpr int defaultNodePortOffset = 100;

/**
 * Writes the settings file of each node.
 * @return the addresses on which the nodes serve callers
 */
std::vector<std::string> writeNodeSettings(const platform::FleetStandin &fleet,
                                           const std::string &host, int firstPort, int nodes,
                                           const std::string &folder)
{
    std::vector<std::string> addresses;
    for (int n = 0; n < nodes; ++n) {
        const auto port = firstPort + portsPerNode * n;
        addresses.push_back(host + ':' + std::to_string(port));
        const auto name = "node-" + std::to_string(n + 1);
        auto path = folder;
        path.append("/").append(name).append(".json");
        std::ofstream(path) << fleet.settingsFor(name, addresses.back(),
                                                 host + ':' + std::to_string(port + 1), port + 2);
    }
    return addresses;
}

} // namespace

int main(int argc, char **argv)
{
    platform::FleetShape shape;
    std::string settingsFolder = ".";
    int nodes = 3;
    int firstNodePort = 0;
    int jobs = 300;
    int spacingMs = 25;
    int limitS = 90;
    std::uint64_t faultSeed = 0;
    std::string deployment = "tubo-sul";
    Settings flags("fleet-standin", "Simulates the users' platform and its callers on loopback.",
                   DRAGONFLYSILL_VERSION);
    flags.add("first-port", shape.firstPort, "first port to use");
    flags.add("first-node-port", firstNodePort,
              "first port of the nodes; 0 for 100 above the first port, which is enough room for "
              "20 backend servers of each pool");
    flags.add("nodes", nodes, "number of nodes, which are started separately");
    flags.add("settings-folder", settingsFolder,
              "folder in which the settings files of the nodes are written");
    flags.add("jobs", jobs, "number of jobs to submit");
    flags.add("spacing-ms", spacingMs, "time between two submissions, in ms");
    flags.add("limit-s", limitS, "longest run time, in s");
    flags.add("deployment", deployment, "tubo-sul or petal-cluster");
    flags.add("workers-per-pool", shape.workersPerPool, "number of backend servers of each pool");
    flags.add("seed", shape.seed, "seed of the tasks' run times");
    flags.add("fault-seed", faultSeed,
              "seed of a series of faults of the store and of backend servers; 0 for none");
    if (const auto code = flags.parse(argc, argv))
        return *code;

    const auto pools = deployments.find(deployment);
    if (pools == deployments.end()) {
        std::cerr << "no deployment '" << deployment << "'; give tubo-sul or petal-cluster\n";
        return 2;
    }
    shape.pools = pools->second;
    shape.standbyPool = shape.pools.back();
    shape.pools.pop_back();

    EventLoop loop;
    platform::FleetStandin fleet(loop, shape);
    if (const auto started = fleet.start(); !started) {
        std::cerr << started.error().text() << '\n';
        return 2;
    }
    const int nodePort
            = firstNodePort != 0 ? firstNodePort : shape.firstPort + defaultNodePortOffset;
    const auto nodeAddresses
            = writeNodeSettings(fleet, shape.host, nodePort, nodes, settingsFolder);
    Callers callers(loop, nodeAddresses, shape.pools, jobs, std::chrono::milliseconds(spacingMs));
    callers.start();
    loop.after(2s, [&fleet, &shape] { fleet.requestWave(shape.pools.front(), 2); });
    FaultSeries faults(loop, fleet, faultSeed);
    if (faultSeed != 0)
        faults.start(jobs * Duration(std::chrono::milliseconds(spacingMs)));
    std::function<void(int)> reportProgress = [&](int second) {
        std::cout << "second " << second << ": accepted " << callers.accepted << ", completed "
                  << callers.completed << ", maintained " << fleet.tally().maintained << std::endl;
        const bool broken = callers.lost > 0 || fleet.tally().duplicateStarts > 0
                            || fleet.tally().outOfOrder > 0 || fleet.tally().overCeiling > 0;
        if (broken)
            std::cout << "a promise is broken in second " << second << std::endl;
        if ((callers.finished() && fleet.waveCompleted()) || second >= limitS || broken)
            loop.stop();
        else
            loop.after(1s, [&reportProgress, second] { reportProgress(second + 1); });
    };
    reportProgress(0);
    loop.run();
    const auto &tally = fleet.tally();
    const auto falseRejections
            = std::ranges::count_if(callers.abandonedJobs, [&fleet](const std::string &id) {
                  return fleet.hasStarted(id);
              });
    const int expected = jobs - static_cast<int>(callers.abandonedJobs.size());
    std::cout << "accepted " << callers.accepted << "\ncompleted " << callers.completed << "\nlate "
              << callers.late << "\nlost " << callers.lost << "\nnot finished "
              << expected - callers.completed - callers.lost << "\ntold \"not accepted\" "
              << callers.notAccepted << "\nfalse \"not accepted\" " << falseRejections
              << "\ndoubled " << tally.duplicateStarts << "\nout of order " << tally.outOfOrder
              << "\nover the ceiling " << tally.overCeiling << "\nmoves " << tally.moves
              << "\nmaintained " << tally.maintained << "\nwave completed "
              << (fleet.waveCompleted() ? "yes" : "no") << "\nstore calls " << fleet.store().calls()
              << '\n';
    const bool passed = callers.completed == expected && falseRejections == 0
                        && tally.duplicateStarts == 0 && tally.outOfOrder == 0
                        && tally.overCeiling == 0 && fleet.waveCompleted();
    return passed ? 0 : 1;
}
