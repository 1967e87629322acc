#include "runner.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace dragonflysill {

namespace internal {

constexpr std::chrono::milliseconds lateStartLimit{50};

/** The shared table of a run: the plan and what became of it. */
struct RunTable
{
    std::vector<PlannedRequest> planned;
    std::atomic<std::size_t> next = 0;
    std::atomic<std::size_t> lateStarts = 0;
    TimePoint start;
    std::mutex mutex;
    std::vector<Attempt> attempts; ///< Guarded by mutex.
};

std::string makeId(std::uint64_t seed, std::size_t number)
{
    return "r" + std::to_string(seed) + "-" + std::to_string(number);
}

std::vector<PlannedRequest> planRequests(const RunSettings &settings, const RequestMix &mix)
{
    ArrivalSchedule schedule(settings.plan, settings.seed);
    Random random(settings.seed ^ 0x6d6978ULL);
    std::vector<PlannedRequest> planned;
    while (const auto offset = schedule.next()) {
        const RequestKind &kind = mix.choose(random);
        const std::string id = makeId(settings.seed, planned.size());
        planned.push_back(
                {*offset, &kind, id, kind.hasIdempotencyKey ? "k" + id : std::string(), false});
        if (kind.hasIdempotencyKey && random.unit() < settings.repeatShare) {
            const std::string repeatId = makeId(settings.seed, planned.size());
            planned.push_back({*offset, &kind, repeatId, "k" + id, true});
        }
    }
    return planned;
}

void runOpenLoop(RunTable &table, const RunSettings &settings, Targets &targets)
{
    Caller caller(settings.caller, targets);
    std::vector<Attempt> own;
    for (std::size_t i = table.next++; i < table.planned.size(); i = table.next++) {
        const PlannedRequest &request = table.planned[i];
        const TimePoint due = table.start + request.arrival;
        std::this_thread::sleep_for(due - steadyNow());
        if (steadyNow() - due > lateStartLimit)
            ++table.lateStarts;
        Attempt attempt = caller.send(request);
        attempt.latency = steadyNow() - due;
        own.push_back(std::move(attempt));
    }
    const std::lock_guard lock(table.mutex);
    table.attempts.insert(table.attempts.end(), own.begin(), own.end());
}

void runClosedLoop(RunTable &table, const RunSettings &settings, const RequestMix &mix,
                   Targets &targets, std::size_t worker)
{
    Caller caller(settings.caller, targets);
    Random random(settings.seed + worker);
    std::vector<Attempt> own;
    const TimePoint end = table.start + settings.plan.length;
    for (TimePoint begin = steadyNow(); begin < end; begin = steadyNow()) {
        const RequestKind &kind = mix.choose(random);
        const std::string id = makeId(settings.seed, worker) + "-" + std::to_string(own.size());
        const std::string key = kind.hasIdempotencyKey ? "k" + id : std::string();
        Attempt attempt = caller.send({begin - table.start, &kind, id, key, false});
        attempt.latency = steadyNow() - begin;
        own.push_back(std::move(attempt));
    }
    const std::lock_guard lock(table.mutex);
    table.attempts.insert(table.attempts.end(), own.begin(), own.end());
}

} // namespace internal

RunResult runLoad(const RunSettings &settings, const RequestMix &mix, Targets &targets)
{
    internal::RunTable table;
    if (!settings.closedLoop)
        table.planned = internal::planRequests(settings, mix);
    table.start = steadyNow();
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < settings.connections; ++i) {
        threads.emplace_back([&, i] {
            if (settings.closedLoop)
                internal::runClosedLoop(table, settings, mix, targets, i);
            else
                internal::runOpenLoop(table, settings, targets);
        });
    }
    for (auto &it : threads)
        it.join();
    RunResult result;
    result.attempts = std::move(table.attempts);
    result.length = settings.closedLoop ? steadyNow() - table.start : settings.plan.length;
    result.lateStarts = table.lateStarts;
    return result;
}

} // namespace dragonflysill
