#include "dragonflysill/links/pooldispatcher.h"
#include "dragonflysill/telemetry/benchreport.h"

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <string>
#include <vector>

using namespace dragonflysill;

namespace {

constexpr std::uint64_t seed = 1;
constexpr int backends = 10; // The size of a service's pool in both deployments.
constexpr int decisions = 200'000;
constexpr int rounds = 5;
constexpr int inFlight = 40; // Half of the pool's slots.

double threadSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

std::vector<InstanceRecord> makeRecords()
{
    std::vector<InstanceRecord> records(backends);
    for (int i = 0; i < backends; ++i) {
        records[i].name = "instance-" + std::to_string(i);
        records[i].address = "10.0.0.1:" + std::to_string(i);
        records[i].zone = "zone-" + std::to_string(i % 3);
        records[i].pool = "pool";
    }
    return records;
}

/** Returns the CPU time in ns for the arrival, grant and end of one request. */
double nanosecondsPerDecision(const Selector &selector, const AdmissionPolicy &policy)
{
    const auto records = makeRecords();
    std::vector<const InstanceRecord *> pointers;
    pointers.reserve(records.size());
    pointers.reserve(records.size());
    for (const auto &it : records)
        pointers.push_back(&it);
    PoolDispatcher dispatcher(policy, BackendPool(selector, "zone-0", seed));
    TimePoint now{std::chrono::seconds(1)};
    dispatcher.update(pointers, {8, 64, 1}, now);
    std::vector<Assignment> open(inFlight);
    const double start = threadSeconds();
    for (int n = 0; n < decisions; ++n) {
        now += std::chrono::microseconds(100);
        Assignment &slot = open[n % inFlight];
        const AttemptReport end{AttemptResult::Success, false, std::chrono::milliseconds(4)};
        if (n >= inFlight)
            dispatcher.finish("service", slot, end, now);
        PendingRequest request;
        request.key = static_cast<RequestKey>(n);
        request.deadline = now + std::chrono::seconds(1);
        const auto actions = dispatcher.submit("service", request, now);
        slot = std::get<Grant>(actions.front()).assignment;
    }
    return (threadSeconds() - start) * 1e9 / decisions;
}

double median(const Selector &selector, const AdmissionPolicy &policy)
{
    std::vector<double> values;
    values.reserve(rounds);
    for (int n = 0; n < rounds; ++n)
        values.push_back(nanosecondsPerDecision(selector, policy));
    std::sort(values.begin(), values.end());
    return values[rounds / 2];
}

} // namespace

/** Measures the CPU time per request of each selection policy and of the baseline. */
int main()
{
    AdmissionPolicy plainQueue;
    plainQueue.order = QueueOrder::Arrival;
    plainQueue.shedEarly = false;
    const double baseline = median(RoundRobin(), plainQueue);
    BenchReport report("policycost", seed);
    for (const char *name : {"least-of-two", "round-robin", "fixed-shares", "credits"}) {
        const double value = median(*selectorByName(name), AdmissionPolicy());
        report.add(std::string("processor time per request, ") + name, value, "ns", std::nullopt,
                   baseline);
    }
    return report.write() ? EXIT_SUCCESS : EXIT_FAILURE;
}
