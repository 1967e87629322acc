// Plays the users' platform and its callers on loopback, for the demo and for tests of the node.

#include "dragonflysill/net/httpclient.h"
#include "dragonflysill/telemetry/settings.h"
#include "fleetstandin.h"

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
/** Time between two looks at a job's state, and before a submission is repeated. */
constexpr Duration pollTime = 100ms;
constexpr Duration repeatTime = 200ms;

/** Callers that submit jobs to the nodes and follow them to their end. */
class Callers
{
public:
    Callers(EventLoop &loop, std::vector<std::string> nodes, int jobs, Duration spacing)
        : m_loop(loop)
        , m_client(loop)
        , m_nodes(std::move(nodes))
        , m_jobs(jobs)
        , m_spacing(spacing)
    {
    }

    void start() { submitNext(0); }

    [[nodiscard]] bool finished() const { return m_ended == m_jobs; }

    int accepted = 0;
    int completed = 0;
    int lost = 0; ///< An accepted job that a node does not know, or that failed.
    int notAccepted = 0;

private:
    void submitNext(int n)
    {
        if (n == m_jobs)
            return;
        submit(n, n);
        m_loop.after(m_spacing, [this, n] { submitNext(n + 1); });
    }

    [[nodiscard]] static std::string target(int n)
    {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", static_cast<unsigned>(n));
        return std::string(n % 2 == 0 ? platform::FleetStandin::queuePrefixA
                                      : platform::FleetStandin::queuePrefixB)
               + id;
    }

    void call(const char *method, int n, int node, const std::string &body,
              HttpClient::Callback callback)
    {
        m_client.call(m_nodes[static_cast<std::size_t>(node) % m_nodes.size()],
                      {method, target(n), body, {{"Host", platform::FleetStandin::callerHost}}}, 3s,
                      std::move(callback));
    }

    void submit(int n, int node)
    {
        call("POST", n, node, jobBody, [this, n, node](const Result<HttpResponse> &response) {
            if (response && response->status == 200) {
                ++accepted;
                poll(n, node + 1);
                return;
            }
            notAccepted += static_cast<int>(response.ok());
            m_loop.after(repeatTime, [this, n, node] { submit(n, node + 1); });
        });
    }

    void poll(int n, int node)
    {
        call("GET", n, node, {}, [this, n, node](const Result<HttpResponse> &response) {
            if (response && response->status == 200
                && response->body.find("completed") != std::string::npos) {
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
    int m_jobs;
    Duration m_spacing;
    int m_ended = 0;
};

} // namespace

int main(int argc, char **argv)
{
    platform::FleetShape shape;
    std::string settingsFolder = ".";
    int nodes = 3;
    int jobs = 300;
    int spacingMs = 25;
    int limitS = 90;
    Settings flags("fleet-standin", "Plays the users' platform and its callers on loopback.",
                   DRAGONFLYSILL_VERSION);
    flags.add("first-port", shape.firstPort, "first of the ports that are used");
    flags.add("nodes", nodes, "nodes that are started beside it");
    flags.add("settings-folder", settingsFolder, "where the nodes' settings files are written");
    flags.add("jobs", jobs, "jobs that are submitted");
    flags.add("spacing-ms", spacingMs, "time between two submissions, in ms");
    flags.add("limit-s", limitS, "gives up after this time, in s");
    flags.add("seed", shape.seed, "seed of the tasks' run times");
    if (const auto code = flags.parse(argc, argv))
        return *code;

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
    Callers callers(loop, fronts, jobs, std::chrono::milliseconds(spacingMs));
    callers.start();
    loop.after(2s, [&] { fleet.requestWave("pool-a", 2); });
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
    std::cout << "accepted " << callers.accepted << "\ncompleted " << callers.completed << "\nlost "
              << callers.lost << "\nnot finished " << jobs - callers.completed - callers.lost
              << "\ndoubled " << tally.doubled << "\nout of order " << tally.outOfOrder
              << "\nover the ceiling " << tally.overCeiling << "\nmoves " << tally.moves
              << "\nmaintained " << tally.maintained << "\nwave completed "
              << (fleet.waveCompleted() ? "yes" : "no") << "\nstore calls " << fleet.store().calls()
              << '\n';
    const bool kept = callers.completed == jobs && tally.doubled == 0 && tally.outOfOrder == 0
                      && tally.overCeiling == 0 && fleet.waveCompleted();
    return kept ? 0 : 1;
}
