// Simulates the users' platform and its callers on loopback, for the demo and for tests of the
// node.

#include "callers.h"
#include "daylog.h"
#include "dragonflysill/telemetry/settings.h"
#include "faultlinks.h"
#include "faultseries.h"
#include "fleetstandin.h"

#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace dragonflysill;
using namespace std::chrono_literals;

namespace {

/** Ports of a node: for callers, for readiness checks and for other nodes. */
constexpr int portsPerNode = 3;

/** Pools of the deployments that can be simulated; the last one is the standby pool. */
const std::map<std::string, std::vector<std::string>> deployments{
        {"tubo-sul", {"rotas", "recebe", "manifesto", "acerto", "apoio"}},
        {"petal-cluster", {"sympathy", "bridal", "counter", "dispatch", "registry"}}};

/** Ports between the first one and those of the nodes, unless a flag names these. */
constexpr int defaultNodePortOffset = 100;

/**
 * Time after the last submission from which no job may wait although it could run: the users' 3 s
 * after a fault, and the longest fault, which are workers that crash repeatedly.
 */
constexpr Duration timeUntilCalm = 9s;
/** The same beside restarts, whose longest fault is a link that loses everything. */
constexpr Duration timeUntilCalmAfterRestarts = 13s;

/** Settings of a simulated day that do not shape the fleet. */
struct DaySettings
{
    std::string settingsFolder = ".";
    std::string deployment = "tubo-sul";
    int nodes = 3;
    int firstNodePort = 0;
    int firstProxyPort = 0;
    int jobs = 300;
    int spacingMs = 25;
    int cancelEvery = 0;
    int limitS = 90;
    std::uint64_t faultSeed = 0;
    bool restarts = false;
};

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

/** Reads the command line; returns the exit code if the program must not go on. */
std::optional<int> readSettings(int argc, char **argv, DaySettings &day,
                                platform::FleetShape &shape)
{
    Settings flags("fleet-standin", "Simulates the users' platform and its callers on loopback.",
                   DRAGONFLYSILL_VERSION);
    flags.add("first-port", shape.firstPort, "first port to use");
    flags.add("first-node-port", day.firstNodePort,
              "first port of the nodes; 0 for 100 above the first port, which is enough room for "
              "20 backend servers of each pool");
    flags.add("first-proxy-port", day.firstProxyPort,
              "first port of the proxies that simulate faults of links; 0 for no proxies");
    flags.add("nodes", day.nodes, "number of nodes, which are started separately");
    flags.add("settings-folder", day.settingsFolder,
              "folder in which the settings files of the nodes are written");
    flags.add("jobs", day.jobs, "number of jobs to submit");
    flags.add("spacing-ms", day.spacingMs, "time between two submissions, in ms");
    flags.add("cancel-every", day.cancelEvery, "cancels one job in this many; 0 for none");
    flags.add("limit-s", day.limitS, "longest run time, in s");
    flags.add("deployment", day.deployment, "tubo-sul or petal-cluster");
    flags.add("workers-per-pool", shape.workersPerPool, "number of backend servers of each pool");
    flags.add("long-task-every", shape.longTaskEvery,
              "lets one task in this many take seconds; 0 for none");
    flags.add("seed", shape.seed, "seed of the tasks' run times");
    flags.add("fault-seed", day.faultSeed,
              "seed of a series of faults of the store, the links and the fleet; 0 for none");
    flags.add("restarts", day.restarts,
              "restarts backend servers under their ids before the owner of the schedule is killed "
              "and they are cut off; a line \"kill\" names the node that the caller must kill");
    if (const auto code = flags.parse(argc, argv))
        return code;
    shape.arbitraryClocks = day.restarts;
    const auto pools = deployments.find(day.deployment);
    if (pools == deployments.end()) {
        std::cerr << "no deployment '" << day.deployment << "'; give tubo-sul or petal-cluster\n";
        return 2;
    }
    shape.pools = pools->second;
    shape.standbyPool = shape.pools.back();
    shape.pools.pop_back();
    return std::nullopt;
}

void printTally(const platform::FleetStandin &fleet, const CallerTally &callers, int jobs)
{
    const auto &tally = fleet.tally();
    std::cout << "accepted " << callers.accepted << "\ncompleted " << callers.completed
              << "\ncancelled " << callers.cancelled << "\nfailed " << tally.failed << "\nlate "
              << callers.late << "\nlost " << tally.lost << "\nwaited needlessly " << tally.waited
              << "\nnot finished "
              << jobs - callers.abandoned - callers.completed - callers.cancelled
                         - static_cast<int>(tally.lost + tally.failed)
              << "\ntold \"not accepted\" " << callers.notAccepted << "\nfalse \"not accepted\" "
              << tally.startedAfterRejection << "\nfalse \"completed\" " << tally.falselyCompleted
              << "\nstarted after their cancel " << tally.startedAfterCancel << "\ndoubled "
              << tally.duplicateStarts << "\nout of order " << tally.outOfOrder
              << "\nstarted again after crashes " << tally.overBudget << "\ncrashed by tasks "
              << tally.crashes << "\nshortened holds " << tally.shortenedHolds
              << "\nover the ceiling " << tally.overCeiling << "\norders of replaced owners "
              << tally.olderOwners << "\nmoves " << tally.moves << "\nmaintained "
              << tally.maintained << "\nwave completed " << (fleet.waveCompleted() ? "yes" : "no")
              << '\n';
}

} // namespace

int main(int argc, char **argv)
{
    DaySettings day;
    platform::FleetShape shape;
    if (const auto code = readSettings(argc, argv, day, shape))
        return *code;

    EventLoop loop;
    const DayLog log;
    FaultLinks links(loop, shape.host, day.firstProxyPort);
    if (day.firstProxyPort != 0)
        shape.reach = [&links](const std::string &client, const std::string &address) {
            return links.reach(client, address);
        };
    platform::FleetStandin fleet(loop, shape);
    fleet.setPromiseHandler([&log](const std::string &evidence) { log.note("broken", evidence); });
    fleet.setTraceHandler([&log](const std::string &event) { log.note("trace", event); });
    fleet.setCrashHandler([&log](const std::string &event) { log.note("crash", event); });
    if (const auto started = fleet.start(); !started) {
        std::cerr << started.error().text() << '\n';
        return 2;
    }
    const int nodePort
            = day.firstNodePort != 0 ? day.firstNodePort : shape.firstPort + defaultNodePortOffset;
    CallerSettings callerSettings{
            writeNodeSettings(fleet, shape.host, nodePort, day.nodes, day.settingsFolder),
            shape.pools, day.jobs, std::chrono::milliseconds(day.spacingMs), day.cancelEvery};
    if (shape.reach) {
        for (auto &it : callerSettings.nodes)
            it = shape.reach("callers", it);
    }
    Callers callers(loop, fleet, callerSettings);
    callers.start();
    loop.after(2s, [&fleet, &shape] { fleet.requestWave(shape.pools.front(), 2); });
    FaultSeries faults(loop, fleet, links, log, day.faultSeed);
    if (day.faultSeed != 0)
        faults.start(day.jobs * callerSettings.spacing);
    if (day.restarts)
        faults.startRestarts(day.jobs * callerSettings.spacing);
    loop.after(day.jobs * callerSettings.spacing
                       + (day.restarts ? timeUntilCalmAfterRestarts : timeUntilCalm),
               [&fleet] { fleet.checkWaitingJobs(); });
    std::function<void(int)> reportProgress = [&](int second) {
        std::cout << "second " << second << ": accepted " << callers.tally().accepted
                  << ", completed " << callers.tally().completed << ", maintained "
                  << fleet.tally().maintained << std::endl;
        const bool broken = fleet.tally().broken() > 0;
        if ((callers.finished() && fleet.waveCompleted()) || second >= day.limitS || broken)
            loop.stop();
        else
            loop.after(1s, [&reportProgress, second] { reportProgress(second + 1); });
    };
    reportProgress(0);
    loop.run();
    printTally(fleet, callers.tally(), day.jobs);
    std::cout << "store calls " << fleet.store().calls() << '\n';
    return fleet.tally().broken() == 0 && callers.finished() && fleet.waveCompleted() ? 0 : 1;
}
