#include "dragonflysill/telemetry/settings.h"
#include "runcounts.h"
#include "runner.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <iostream>

namespace dragonflysill {
namespace {

struct Options
{
    std::vector<std::string> targets;
    std::vector<std::string> adminAddresses;
    std::vector<std::string> backends;
    std::string mix = "GET /";
    double rate = 100;
    double durationSeconds = 10;
    std::size_t requests = 0;
    double burstFactor = 1;
    double burstFromSeconds = 0;
    double burstSeconds = 0;
    double quietFactor = 1;
    std::size_t connections = 64;
    std::int64_t deadlineMs = 1000;
    double repeatShare = 0;
    std::uint64_t seed = 1;
    bool closedLoop = false;
    bool requireZeros = false;
    std::string jsonFile;
};

void addOptions(Settings &settings, Options &options)
{
    settings.add("targets", options.targets, "Entries to send to, IP:PORT, separated by commas")
            ->delimiter(',')
            ->required();
    settings.add("admin", options.adminAddresses,
                 "Admin addresses of the targets, polled for /readyz as a load balancer does")
            ->delimiter(',');
    settings.add("backends", options.backends,
                 "Backend stand-ins whose run counts are compared with the outcomes")
            ->delimiter(',');
    settings.add("mix", options.mix, "Requests: METHOD PATH [weight=N] [keyed] [body=BYTES], ...");
    settings.add("rate", options.rate, "Mean arrivals a second");
    settings.add("duration-s", options.durationSeconds, "Length in seconds");
    settings.add("requests", options.requests, "Largest number of requests; 0 for no limit");
    settings.add("burst-factor", options.burstFactor, "Multiple of the rate during the burst");
    settings.add("burst-from-s", options.burstFromSeconds, "Start of the burst in seconds");
    settings.add("burst-s", options.burstSeconds, "Length of the burst in seconds");
    settings.add("quiet-factor", options.quietFactor, "Multiple of the rate outside the burst");
    settings.add("connections", options.connections, "Threads, one connection to each target");
    settings.add("deadline-ms", options.deadlineMs, "Deadline of each request in milliseconds");
    settings.add("repeat-share", options.repeatShare,
                 "Share of keyed requests that are repeated through another target");
    settings.add("seed", options.seed, "Seed of arrivals and mix");
    settings.add("json", options.jsonFile, "File for the figures");
    settings.app().add_flag("--closed", options.closedLoop,
                            "Send as fast as responses come instead of at the rate");
    settings.app().add_flag("--require-zeros", options.requireZeros,
                            "Exit 1 after wrong answers, doubled runs, false not-run or "
                            "interrupted requests");
}

Duration seconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

RunSettings makeRunSettings(const Options &options)
{
    RunSettings run;
    run.plan.ratePerSecond = options.rate;
    run.plan.length = seconds(options.durationSeconds);
    run.plan.maxRequests = options.requests;
    const Duration burstFrom = seconds(options.burstFromSeconds);
    const Duration burstUntil = burstFrom + seconds(options.burstSeconds);
    run.plan.phases = {{Duration{}, burstFrom, options.quietFactor},
                       {burstFrom, burstUntil, options.burstFactor},
                       {burstUntil, run.plan.length, options.quietFactor}};
    run.caller.deadline = std::chrono::milliseconds(options.deadlineMs);
    run.connections = options.connections;
    run.closedLoop = options.closedLoop;
    run.repeatShare = options.repeatShare;
    run.seed = options.seed;
    return run;
}

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

nlohmann::ordered_json toJson(const LoadSummary &summary, const RunResult &run, std::uint64_t seed)
{
    return {{"seed", seed},
            {"attempts", summary.attempts},
            {"answered", summary.answered},
            {"good", summary.good},
            {"goodput_per_s", summary.goodputPerSecond},
            {"not_run", summary.notRun},
            {"unknown", summary.unknown},
            {"interrupted", summary.interrupted},
            {"unreached", summary.unreached},
            {"wrong_answers", summary.wrongAnswers},
            {"late_answers", summary.lateAnswers},
            {"doubled_runs", summary.doubledRuns},
            {"false_not_run", summary.falseNotRun},
            {"mixed_pool_starts", summary.mixedPoolStarts},
            {"executions", summary.executions},
            {"p50_ms", milliseconds(summary.p50)},
            {"p90_ms", milliseconds(summary.p90)},
            {"p99_ms", milliseconds(summary.p99)},
            {"longest_ms", milliseconds(summary.longest)},
            {"late_starts", run.lateStarts},
            {"good_per_second", goodPerSecond(run.attempts, run.length)}};
}

int runProgram(const Options &options)
{
    const auto mix = RequestMix::parse(options.mix);
    if (!mix) {
        std::cerr << mix.error().text() << '\n';
        return 2;
    }
    Targets targets(options.targets, options.adminAddresses);
    targets.start();
    const RunResult run = runLoad(makeRunSettings(options), *mix, targets);
    const auto counts = readRunCounts(options.backends);
    if (!counts) {
        std::cerr << counts.error().text() << '\n';
        return 3;
    }
    const LoadSummary summary = summarize(run.attempts, *counts, run.length);
    const auto json = toJson(summary, run, options.seed);
    for (const auto &it : json.items())
        std::cout << it.key() << ": " << it.value().dump() << '\n';
    if (!options.jsonFile.empty())
        std::ofstream(options.jsonFile) << json.dump(2) << '\n';
    const auto mixed = static_cast<std::size_t>(summary.mixedPoolStarts);
    const std::size_t faults = mixed + summary.wrongAnswers + summary.doubledRuns
                               + summary.falseNotRun + summary.interrupted;
    return options.requireZeros && faults > 0 ? 1 : 0;
}

} // namespace
} // namespace dragonflysill

int main(int argc, char **argv)
{
    using namespace dragonflysill;
    Settings settings("dragonflysill-load", "Sends an open-loop load and checks every response.",
                      DRAGONFLYSILL_VERSION);
    Options options;
    addOptions(settings, options);
    if (const auto code = settings.parse(argc, argv))
        return *code;
    std::signal(SIGPIPE, SIG_IGN);
    return runProgram(options);
}
