// Simulates the users' platform, its executors and its callers for the cases of a review.

#include "executor.h"
#include "platform.h"

#include <csignal>
#include <iostream>
#include <string>
#include <vector>

namespace {

constexpr int couldNotRun = 2;

int runExecutorProcess(const std::vector<std::string> &words)
{
    review::ExecutorSettings settings;
    settings.id = words.at(2);
    settings.address = words.at(3);
    settings.service = words.at(4);
    settings.machine = words.at(5);
    settings.rack = words.at(6);
    settings.store = words.at(7);
    settings.cores = std::stoi(words.at(8));
    settings.heartbeatMs = std::stoi(words.at(9));
    settings.registerDelayMs = std::stoi(words.at(10));
    settings.maxHoldMs = std::stoi(words.at(11));
    return review::runExecutor(settings);
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> words(argv, argv + argc);
    std::signal(SIGPIPE, SIG_IGN);
    if (words.size() == 12 && words[1] == "executor")
        return runExecutorProcess(words);
    if (words.size() != 7) {
        std::cerr << "usage: review-standin SCENARIO TROUBLE NODES FOLDER RECORD NETWORK\n";
        return couldNotRun;
    }
    review::PlatformSettings settings;
    settings.program = "/proc/self/exe";
    settings.trouble = words[2] != "0";
    settings.folder = words[4];
    settings.record = words[5];
    settings.network = words[6];
    review::Platform platform(settings);
    if (!platform.start(std::stoi(words[3])) || !review::beginScenario(words[1], platform))
        return couldNotRun;
    return platform.run();
}
