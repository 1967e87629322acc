// The node: the program that runs on every machine of the deployment.

#include "dragonflysill/node/node.h"
#include "dragonflysill/telemetry/log.h"
#include "dragonflysill/telemetry/settings.h"
#include "nodesettings.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <functional>
#include <iostream>
#include <utility>

using namespace dragonflysill;

namespace {

constexpr int exitSettings = 2;

/** Takes over changed settings; the addresses of a running node do not change. */
void readSettingsAgain(platform::NodeSettings &settings)
{
    auto changed = platform::loadSettings();
    if (!changed) {
        logWarning("settings-kept", {{"error", changed.error().text()}});
        return;
    }
    settings = std::move(*changed);
    logInfo("settings-read-again", {{"store", settings.storeAddress}});
}

} // namespace

int main(int argc, char **argv)
{
    std::string logLevel = "info";
    int metricsPort = 0;
    Settings flags("dragonflysill-node",
                   "Accepts jobs, keeps them in the platform's store and runs them on workers.",
                   DRAGONFLYSILL_VERSION);
    flags.add("log-level", logLevel, "debug, info, warning or error");
    flags.add("metrics-port", metricsPort, "port of /metrics on the node's address; 0 for none")
            ->check(CLI::Range(0, 65535));
    if (const auto code = flags.parse(argc, argv))
        return *code;
    auto settings = platform::loadSettings();
    if (!settings) {
        std::cerr << settings.error().text() << '\n';
        return exitSettings;
    }
    startBoundedLogging("node-" + settings->name, logLevel);
    std::signal(SIGPIPE, SIG_IGN);
    EventLoop loop;
    Node node(loop, *settings,
              metricsPort == 0 ? std::string() : settings->ip + ':' + std::to_string(metricsPort));
    if (const auto started = node.start(); !started) {
        logWarning("start-failed", {{"error", started.error().text()}});
        return exitSettings;
    }
    logInfo("started", {{"zone", settings->zone}, {"front", settings->frontAddress}});
    boost::asio::signal_set signals(loop.context(), SIGTERM, SIGINT, SIGHUP);
    std::function<void()> awaitSignal = [&] {
        signals.async_wait([&](const boost::system::error_code &ec, int signal) {
            if (ec)
                return;
            if (signal == SIGHUP)
                readSettingsAgain(*settings);
            else
                node.stop();
            awaitSignal();
        });
    };
    awaitSignal();
    loop.run();
    return 0;
}
