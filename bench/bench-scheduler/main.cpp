// Measures the time of the node's scheduling decisions for growing fleets.

#include "dragonflysill/jobs/scheduler.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <string>

using namespace dragonflysill;
using namespace std::chrono_literals;

namespace {

constexpr int tasksPerJob = 10;
constexpr int rounds = 20;

/** Returns an id of the length that callers use. */
std::string jobId(int n)
{
    std::array<char, 17> id{};
    std::snprintf(id.data(), id.size(), "%016x", static_cast<unsigned>(n));
    return id.data();
}

struct Fleet
{
    Scheduler scheduler{SchedulerSettings{}, 0};
    TimePoint now{1000s};
    int workers = 0;

    Fleet(int workerCount, int pools, int jobs)
        : workers(workerCount)
    {
        for (int n = 0; n < workers; ++n) {
            WorkerDescription worker;
            worker.id = "i-" + std::to_string(n);
            worker.pool = "pool-" + std::to_string(n % pools);
            worker.capacity = {64000, 262144, 0};
            worker.startedMs = 1;
            scheduler.addOrUpdateWorker(worker, now);
            report(n, {});
        }
        for (int n = 0; n < jobs; ++n) {
            SubmittedJob job;
            job.id = jobId(n);
            job.queue = "queue";
            job.pool = "pool-" + std::to_string(n % pools);
            JobStep step;
            step.count = tasksPerJob;
            step.need = {3500, 13000, 0};
            step.estimate = 800ms;
            job.spec.steps = {step};
            scheduler.addJob(std::move(job), {}, false, 0s, now);
        }
    }

    void report(int worker, std::vector<RunningReport> running)
    {
        WorkerReport report;
        report.startedMs = 1;
        report.clock = now.time_since_epoch() / 1ms;
        report.running = std::move(running);
        scheduler.holdAnswered("i-" + std::to_string(worker), report, now, now);
    }
};

template <typename Action>
double microseconds(Action action)
{
    const auto start = std::chrono::steady_clock::now();
    for (int n = 0; n < rounds; ++n)
        action();
    const std::chrono::duration<double, std::micro> elapsed
            = std::chrono::steady_clock::now() - start;
    return elapsed.count() / rounds;
}

/** @param jobs open jobs; half as many as workers are about the load of the users' bursts */
void measure(int workers, int pools, int jobs)
{
    Fleet fleet(workers, pools, jobs);
    const auto start = std::chrono::steady_clock::now();
    std::size_t starts = 0;
    do {
        starts += fleet.scheduler.decide(fleet.now, 0).size();
    } while (fleet.scheduler.hasMoreStarts());
    const std::chrono::duration<double, std::milli> first
            = std::chrono::steady_clock::now() - start;
    const double idle = microseconds([&] {
        fleet.now += 1ms;
        fleet.scheduler.decide(fleet.now, 0);
    });
    const double event = microseconds([&] {
        fleet.now += 1ms;
        fleet.report(0, {});
        fleet.scheduler.decideAfterEvent(fleet.now, 0);
    });
    std::printf("%8d %6d %6d %8zu %12.2f %16.1f %16.1f\n", workers, pools, jobs, starts,
                first.count(), idle, event);
}

} // namespace

int main()
{
    std::puts("workers  pools   jobs   starts        all ms   decision in us      event in us");
    measure(49, 4, 24);
    for (const int backlog : {0, 500, 1000, 2000})
        measure(350, 4, 175 + backlog);
    measure(1000, 32, 500);
    measure(2000, 64, 1000);
    measure(4000, 128, 2000);
    measure(8100, 259, 4050);
    return 0;
}
