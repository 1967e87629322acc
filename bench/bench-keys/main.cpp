// Measures how many keys of callers a node looks up each second.

#include "dragonflysill/base/random.h"
#include "dragonflysill/jobs/calleraccess.h"
#include "dragonflysill/telemetry/benchreport.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

using namespace dragonflysill;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seed = 1;
constexpr std::size_t teams = 20; // As in the users' deployment.
constexpr std::size_t lookups = 1'000'000;
constexpr int rounds = 5;

double threadSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

std::string randomKey(Random &random)
{
    std::string key = "key-";
    for (int n = 0; n < 28; ++n)
        key += static_cast<char>('a' + random.below(26));
    return key;
}

struct Setup
{
    CallerAccess access;
    Queue queue;
    std::vector<std::string> known;
    std::vector<std::string> unknown;

    explicit Setup(std::size_t keys)
    {
        Random random(seed);
        FleetConfiguration configuration;
        configuration.usesTeams = true;
        configuration.teams.resize(teams);
        for (std::size_t n = 0; n < teams; ++n)
            configuration.teams[n].name = "team-" + std::to_string(n);
        for (std::size_t n = 0; n < keys; ++n) {
            known.push_back(randomKey(random));
            unknown.push_back(randomKey(random));
            configuration.teams[n % teams].keys.push_back(known.back());
        }
        // Callers do not come in the order of the configuration.
        for (std::size_t n = keys; n > 1; --n)
            std::swap(known[n - 1], known[random.below(n)]);
        access.setConfiguration(configuration);
        access.setSettings({true, 5s, 3s});
        access.proof().listAnswered(TimePoint{10s});
    }

    /** Returns the decisions per second of processor time, the median of the rounds. */
    [[nodiscard]] double decisionsPerSecond(const std::vector<std::string> &keys) const
    {
        std::vector<double> rates;
        std::size_t allowed = 0;
        for (int round = 0; round < rounds; ++round) {
            const double start = threadSeconds();
            std::size_t next = 0;
            for (std::size_t n = 0; n < lookups; ++n) {
                allowed += access.decide(queue, keys[next], TimePoint{11s}).allowed() ? 1U : 0U;
                next = next + 1 == keys.size() ? 0 : next + 1;
            }
            rates.push_back(static_cast<double>(lookups) / (threadSeconds() - start));
        }
        if (allowed != (&keys == &known ? lookups * rounds : 0))
            std::puts("wrong decisions");
        std::ranges::sort(rates);
        return rates[rounds / 2];
    }
};

} // namespace

int main()
{
    BenchReport report("keys", seed);
    for (const std::size_t keys : {20, 20'000}) {
        const Setup setup(keys);
        const auto suffix = " keys, " + std::to_string(keys) + " in the configuration";
        report.add("decisions about known" + suffix, setup.decisionsPerSecond(setup.known), "1/s");
        report.add("decisions about unknown" + suffix, setup.decisionsPerSecond(setup.unknown),
                   "1/s");
    }
    return report.write() ? 0 : 1;
}
