#include "backendserver.h"

#include "dragonflysill/telemetry/log.h"
#include "dragonflysill/telemetry/settings.h"
#include "dragonflysill/telemetry/stopsignal.h"

#include <chrono>
#include <map>
#include <string>

using namespace dragonflysill;

int main(int argc, char **argv)
{
    const StopSignal stopSignal;
    std::string listen = "127.0.0.1:20100";
    std::string logLevel = "info";
    std::string shape = "exponential";
    int drainLimitMs = 30000;
    int drainLingerMs = 200;
    BackendServerSettings server;
    const std::map<std::string, ServiceTime::Shape> shapes{
            {"fixed", ServiceTime::Shape::Fixed},
            {"exponential", ServiceTime::Shape::Exponential},
            {"heavy-tail", ServiceTime::Shape::HeavyTail}};
    Settings settings("backend-standin", "Stands in for a backend server with a number of slots.",
                      DRAGONFLYSILL_VERSION);
    settings.addAddress("listen", listen, "Address of all interfaces");
    settings.add("name", server.name, "Name of the instance, part of every answer");
    settings.add("slots", server.slots, "Requests that run at once");
    settings.add("connections", server.connections, "Connections that are served at once");
    settings.add("service-ms", server.serviceTime.meanMs, "Mean service time, in ms");
    settings.add("service-shape", shape, "Distribution: fixed, exponential or heavy-tail")
            ->check(CLI::IsMember(shapes));
    settings.add("seed", server.seed, "Seed of the random decisions");
    settings.add("drain-limit-ms", drainLimitMs,
                 "Longest wait for requests in flight at a stop, in ms");
    settings.add("drain-linger-ms", drainLingerMs,
                 "Shortest time of refusing requests before a stop, in ms");
    settings.add("log-level", logLevel, "debug, info, warning or error");
    if (const auto exitCode = settings.parse(argc, argv))
        return *exitCode;
    server.serviceTime.shape = shapes.at(shape);
    server.drainLimit = std::chrono::milliseconds(drainLimitMs);
    server.drainLinger = std::chrono::milliseconds(drainLingerMs);
    if (server.name.empty())
        server.name = listen;
    startLogging(server.name, logLevel);

    BackendServer backend(server);
    const auto endpoint = Endpoint::parse(listen);
    const auto port = backend.start(endpoint->host, endpoint->port);
    if (!port) {
        logWarning("cannot-listen", {{"error", port.error().text()}});
        return 1;
    }
    logInfo("listening", {{"address", endpoint->host + ":" + std::to_string(*port)}});
    stopSignal.wait();
    logInfo("draining");
    backend.drainAndStop();
    logInfo("stopped");
    return 0;
}
