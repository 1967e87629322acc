// Plays the users' platform and its callers on loopback, for the demo and for tests of the node.

#include "dragonflysill/net/httpclient.h"
#include "dragonflysill/telemetry/settings.h"
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

constexpr const char *jobBody
        = R"({"spec":"demo","steps":[{"count":2,"cpu":1000,"memMb":64,"estimateMs":100},)"
          R"({"count":1,"cpu":1000,"memMb":64,"estimateMs":100,"after":[0]}]})";
/** Queues are busy by turns: each gets most jobs for this long. */
constexpr Duration turnTime = 1500ms;
/** One job in this many goes to a queue whose turn it is not. */
constexpr int otherQueues = 5;
/** Time between two looks at a job's state, and before a submission is repeated. */
constexpr Duration pollTime = 100ms;
constexpr Duration repeatTime = 200ms;

/** Callers that submit jobs to the nodes and follow them to their end. */
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
    int late = 0; ///< Completed after the objective.
    int lost = 0; ///< An accepted job that a node does not know, or that failed.
    int notAccepted = 0; ///< Answers; most callers try again.
    std::set<std::string> givenUp; ///< Jobs whose callers were only told "not accepted", and left.

private:
    void submitNext(int n)
    {
        if (n == m_jobs)
            return;
        m_submittedAt[static_cast<std::size_t>(n)] = EventLoop::now();
        const auto turn = static_cast<std::size_t>((EventLoop::now() - m_startedAt) / turnTime);
        const auto other = n % otherQueues == 0 ? static_cast<std::size_t>(n) : 0;
        m_queue.push_back(m_pools[(turn + other) % m_pools.size()]);
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

    /** @param onlyRejected every try so far was answered "not accepted" */
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
                     givenUp.insert(jobId(n));
                     ++m_ended;
                     return;
                 }
                 m_loop.after(repeatTime, [this, n, node, all = rejected && onlyRejected] {
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
            const bool gone = response
                              && (response->status == 410
                                  || response->body.find("failed") != std::string::npos);
            if (gone) {
                ++lost;
                ++m_ended;
                return;
            }
            m_loop.after(pollTime, [this, n, node] { poll(n, node + 1); });
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

/** Pools of the deployments that can be played; the last one is the standby pool. */
const std::map<std::string, std::vector<std::string>> deployments{
        {"tubo-sul", {"rotas", "recebe", "manifesto", "acerto", "apoio"}},
        {"petal-cluster", {"sympathy", "bridal", "counter", "dispatch", "registry"}}};

} // namespace

int main(int argc, char **argv)
{
    platform::FleetShape shape;
    std::string settingsFolder = ".";
    int nodes = 3;
    int jobs = 300;
    int spacingMs = 25;
    int limitS = 90;
    std::string deployment = "tubo-sul";
    Settings flags("fleet-standin", "Plays the users' platform and its callers on loopback.",
                   DRAGONFLYSILL_VERSION);
    flags.add("first-port", shape.firstPort, "first of the ports that are used");
    flags.add("nodes", nodes, "nodes that are started beside it");
    flags.add("settings-folder", settingsFolder, "where the nodes' settings files are written");
    flags.add("jobs", jobs, "jobs that are submitted");
    flags.add("spacing-ms", spacingMs, "time between two submissions, in ms");
    flags.add("limit-s", limitS, "gives up after this time, in s");
    flags.add("deployment", deployment, "tubo-sul or petal-cluster");
    flags.add("workers-per-pool", shape.workersPerPool, "backend servers of each pool");
    flags.add("seed", shape.seed, "seed of the tasks' run times");
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
    std::vector<std::string> fronts;
    for (int n = 0; n < nodes; ++n) {
        const auto port = shape.firstPort + 100 + 2 * n;
        fronts.push_back(shape.host + ':' + std::to_string(port));
        const auto name = "node-" + std::to_string(n + 1);
        auto path = settingsFolder;
        path.append("/").append(name).append(".json");
        std::ofstream(path) << fleet.settingsFor(name, fronts.back(),
                                                 shape.host + ':' + std::to_string(port + 1));
    }
    Callers callers(loop, fronts, shape.pools, jobs, std::chrono::milliseconds(spacingMs));
    callers.start();
    loop.after(2s, [&fleet, &shape] { fleet.requestWave(shape.pools.front(), 2); });
    std::function<void(int)> watch = [&](int second) {
        std::cout << "second " << second << ": accepted " << callers.accepted << ", completed "
                  << callers.completed << ", maintained " << fleet.tally().maintained << std::endl;
        if ((callers.finished() && fleet.waveCompleted()) || second >= limitS)
            loop.stop();
        else
            loop.after(1s, [&watch, second] { watch(second + 1); });
    };
    watch(0);
    loop.run();
    const auto &tally = fleet.tally();
    const auto falseRejections = std::ranges::count_if(
            callers.givenUp, [&fleet](const std::string &id) { return fleet.hasStarted(id); });
    const int expected = jobs - static_cast<int>(callers.givenUp.size());
    std::cout << "accepted " << callers.accepted << "\ncompleted " << callers.completed << "\nlate "
              << callers.late << "\nlost " << callers.lost << "\nnot finished "
              << expected - callers.completed - callers.lost << "\ntold \"not accepted\" "
              << callers.notAccepted << "\nfalse \"not accepted\" " << falseRejections
              << "\ndoubled " << tally.duplicateStarts << "\nout of order " << tally.outOfOrder
              << "\nover the ceiling " << tally.overCeiling << "\nmoves " << tally.moves
              << "\nmaintained " << tally.maintained << "\nwave completed "
              << (fleet.waveCompleted() ? "yes" : "no") << "\nstore calls " << fleet.store().calls()
              << '\n';
    const bool kept = callers.completed == expected && falseRejections == 0
                      && tally.duplicateStarts == 0 && tally.outOfOrder == 0
                      && tally.overCeiling == 0 && fleet.waveCompleted();
    return kept ? 0 : 1;
}
