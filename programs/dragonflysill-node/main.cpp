// The node: the program that runs on every machine of the deployment.

#include "dragonflysill/node/node.h"
#include "dragonflysill/telemetry/log.h"
#include "dragonflysill/telemetry/settings.h"
#include "nodesettings.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <functional>
#include <iostream>

using namespace dragonflysill;

namespace {

constexpr int exitSettings = 2;

} // namespace

int main(int argc, char **argv)
{
    std::string logLevel = "info";
    Settings flags("dragonflysill-node",
                   "Accepts jobs, keeps them in the platform's store and runs them on workers.",
                   DRAGONFLYSILL_VERSION);
    flags.add("log-level", logLevel, "debug, info, warning or error");
    if (const auto code = flags.parse(argc, argv))
        return *code;
    auto settings = platform::loadSettings();
    if (!settings) {
        std::cerr << settings.error().text() << '\n';
        return exitSettings;
    }
    startLogging("node-" + settings->name, logLevel);
    std::signal(SIGPIPE, SIG_IGN);
    EventLoop loop;
    Node node(loop, *settings);
    if (const auto started = node.start(); !started) {
        logWarning("start-failed", {{"error", started.error().text()}});
        return exitSettings;
    }
    logState("started", {{"zone", settings->zone}, {"front", settings->frontAddress}});
    boost::asio::signal_set signals(loop.context(), SIGTERM, SIGINT, SIGHUP);
    std::function<void()> awaitSignal = [&] {
        signals.async_wait([&](const boost::system::error_code &ec, int signal) {
            if (ec)
                return;
            if (signal == SIGHUP)
                logState("settings-read-again");
            else
                node.stop();
            awaitSignal();
        });
    };
    awaitSignal();
    loop.run();
    return 0;
}
