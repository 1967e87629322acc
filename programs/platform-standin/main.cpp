#include "dragonflysill/standin/platformserver.h"
#include "dragonflysill/telemetry/log.h"
#include "dragonflysill/telemetry/settings.h"
#include "dragonflysill/telemetry/stopsignal.h"

#include <chrono>
#include <cstdint>
#include <string>

using namespace dragonflysill;

int main(int argc, char **argv)
{
    const StopSignal stopSignal;
    std::string listen = "127.0.0.1:20000";
    std::string logLevel = "info";
    int listLagMs = 1000;
    int rebootMs = 2000;
    int usageLagMs = 2000;
    std::uint64_t seed = 1;
    PlatformServerSettings serverSettings;
    Settings settings("platform-standin",
                      "Stands in for the platform: store, instance list, workers and tasks.",
                      DRAGONFLYSILL_VERSION);
    settings.addAddress("listen", listen, "Address of all interfaces");
    settings.add("list-lag-ms", listLagMs, "How far the instance list lags behind, in ms");
    settings.add("reboot-ms", rebootMs, "How long a reboot of an instance takes, in ms");
    settings.add("usage-lag-ms", usageLagMs, "How late the usage of tasks is reported, in ms");
    settings.add("max-writes-per-s", serverSettings.maxWritesPerSecond,
                 "Store writes per second before further ones are refused; 0 is no limit");
    settings.add(
            "max-reads-per-s", serverSettings.maxReadsPerSecond,
            "Store reads and watches per second before further ones are refused; 0 is no limit");
    settings.add("seed", seed, "Seed of the behaviour of jobs without a set one");
    settings.add("log-level", logLevel, "debug, info, warning or error");
    if (const auto exitCode = settings.parse(argc, argv))
        return *exitCode;
    startLogging("platform-standin", logLevel);

    serverSettings.listLag = std::chrono::milliseconds(listLagMs);
    serverSettings.rebootTime = std::chrono::milliseconds(rebootMs);
    serverSettings.workers.usageLag = std::chrono::milliseconds(usageLagMs);
    serverSettings.workers.seed = seed;
    PlatformServer server(serverSettings);
    const auto endpoint = Endpoint::parse(listen);
    const auto port = server.start(endpoint->host, endpoint->port);
    if (!port) {
        logWarning("cannot-listen", {{"error", port.error().text()}});
        return 1;
    }
    logInfo("listening", {{"address", endpoint->host + ":" + std::to_string(*port)}});
    stopSignal.wait();
    server.stop();
    logInfo("stopped");
    return 0;
}
