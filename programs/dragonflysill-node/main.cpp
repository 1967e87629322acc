// dragonflysill-node runs on every machine of the deployment: it accepts jobs, stores them and runs
// them on workers.

#include "dragonflysill/base/processmemory.h"
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

/** Exit code if the settings are invalid or the node cannot start. */
constexpr int exitStartupError = 2;

/**
 * Reloads the settings on SIGHUP. Invalid settings are logged and the current ones are kept. The
 * addresses of a running node do not change.
 */
void reloadSettings(platform::NodeSettings &settings)
{
    auto reloaded = platform::loadSettings();
    if (!reloaded) {
        logWarning("settings-kept", {{"error", reloaded.error().text()}});
        return;
    }
    settings = std::move(*reloaded);
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
    flags.add("metrics-port", metricsPort, "port of /metrics on the node's address; 0 disables it")
            ->check(CLI::Range(0, 65535));
    if (const auto code = flags.parse(argc, argv))
        return *code;
    // Signals that arrive during the start are handled once the loop runs. Without a handler, a
    // change of the settings would end the process.
    EventLoop loop;
    boost::asio::signal_set signals(loop.context(), SIGTERM, SIGINT, SIGHUP);
    auto settings = platform::loadSettings();
    if (!settings) {
        std::cerr << settings.error().text() << '\n';
        return exitStartupError;
    }
    returnLargeBlocksWhenFreed();
    startBoundedLogging("node-" + settings->name, logLevel);
    std::signal(SIGPIPE, SIG_IGN);
    Node node(loop, *settings,
              metricsPort == 0 ? std::string() : settings->ip + ':' + std::to_string(metricsPort));
    if (const auto started = node.start(); !started) {
        logWarning("start-failed", {{"error", started.error().text()}});
        return exitStartupError;
    }
    loop.setErrorHandler([&node](const std::string &error) { node.handleError(error); });
    logInfo("started", {{"zone", settings->zone}, {"front", settings->frontAddress}});
    std::function<void()> awaitSignal = [&] {
        signals.async_wait([&](const boost::system::error_code &ec, int signal) {
            if (ec)
                return;
            if (signal == SIGHUP)
                reloadSettings(*settings);
            else
                node.stop();
            awaitSignal();
        });
    };
    awaitSignal();
    loop.run();
    return 0;
}
