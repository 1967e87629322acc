// Measures the time of the node's scheduling decisions for growing fleets.

#include "dragonflysill/jobs/scheduler.h"

#include <chrono>
#include <cstdio>
#include <string>

using namespace dragonflysill;
using namespace std::chrono_literals;

namespace {

constexpr int tasksPerJob = 10;
constexpr int rounds = 20;

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
            job.id = std::to_string(n);
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

void measure(int workers, int pools)
{
    // With half as many open jobs as workers, the load is about that of the users' bursts.
    Fleet fleet(workers, pools, workers / 2);
    const auto start = std::chrono::steady_clock::now();
    const auto actions = fleet.scheduler.decide(fleet.now, 0);
    const std::chrono::duration<double, std::milli> first
            = std::chrono::steady_clock::now() - start;
    const double idle = microseconds([&] {
        fleet.now += 1ms;
        fleet.scheduler.decide(fleet.now, 0);
    });
    std::printf("%8d %6d %8zu %12.2f %16.1f\n", workers, pools, actions.size(), first.count(),
                idle);
}

} // namespace

int main()
{
    std::puts("workers  pools   starts     first ms   decision in us");
    measure(49, 4);
    measure(350, 4);
    measure(1000, 32);
    measure(2000, 64);
    measure(4000, 128);
    measure(8100, 259);
    return 0;
}
