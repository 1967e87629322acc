#pragma once

#include "dragonflysill/jobs/scheduler.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace dragonflysill::test {

using namespace std::chrono_literals;

/** Returns a step of tasks that need one core and are estimated at 1 s. */
inline JobStep step(int count, std::vector<int> after = {})
{
    JobStep result;
    result.count = count;
    result.need = {1000, 1024, 0};
    result.estimate = 1000ms;
    result.after = std::move(after);
    return result;
}

/** Returns a job of pool "pool" with the given steps. */
inline SubmittedJob job(std::string id, std::vector<JobStep> steps, int attempts = 3)
{
    SubmittedJob result;
    result.id = std::move(id);
    result.queue = "queue";
    result.pool = "pool";
    result.policy.attempts = attempts;
    result.policy.slackFactor = 2;
    result.policy.targetRuntime = 1000ms;
    result.spec.payload = "payload";
    result.spec.steps = std::move(steps);
    return result;
}

/** A worker that carries out orders at once and reports when the test calls for it. */
struct FakeWorker
{
    WorkerDescription description;
    std::int64_t startedMs = 1;
    TimePoint clockStart{};
    std::int64_t nextEnd = 1;
    std::map<TaskId, RunningReport> running;
    std::vector<EndReport> ended;

    void end(const TaskId &task, RunEnd how, const std::string &checkpoint = {})
    {
        const auto it = running.find(task);
        ended.push_back({nextEnd++, task, it->second.run, how, checkpoint});
        running.erase(it);
    }

    [[nodiscard]] WorkerClock clock(TimePoint now) const { return (now - clockStart) / 1ms; }

    /** Ends the process and starts another one under the same id, whose clock may be anywhere. */
    void restart(TimePoint now, Duration clockAtStart = 400s)
    {
        ++startedMs;
        clockStart = now - clockAtStart;
        nextEnd = 1;
        running.clear();
        ended.clear();
    }

    [[nodiscard]] WorkerReport report(TimePoint now) const
    {
        WorkerReport result;
        result.startedMs = startedMs;
        result.clock = clock(now);
        for (const auto &[task, row] : running)
            result.running.push_back(row);
        result.ended = ended;
        return result;
    }
};

/** A scheduler with fake workers and a clock that the test controls. */
class SchedulerHarness
{
public:
    explicit SchedulerHarness(int runOffset = 0)
        : scheduler(SchedulerSettings{}, runOffset)
    {
    }

    /** Adds a listed worker with the given cores and delivers its first report. */
    FakeWorker &addWorker(const std::string &id, int cores = 4, const std::string &instance = {})
    {
        auto &worker = workers[id];
        worker.description.id = id;
        worker.description.pool = "pool";
        worker.description.address = id;
        worker.description.zone = "zone";
        worker.description.instance = instance;
        worker.description.labels = {"a", "rack-" + id};
        worker.description.capacity = {cores * std::int64_t{1000}, 65536, 0};
        worker.description.startedMs = worker.startedMs;
        scheduler.addOrUpdateWorker(worker.description, now);
        reportFrom(id);
        return worker;
    }

    /** Adds a worker of the previous owner, which has not answered this one. */
    FakeWorker &inheritWorker(const std::string &id)
    {
        auto &worker = workers[id];
        worker.description.id = id;
        worker.description.pool = "pool";
        worker.description.startedMs = worker.startedMs;
        scheduler.addInheritedWorker(worker.description, now);
        return worker;
    }

    void addJob(SubmittedJob submitted, bool inherited = false)
    {
        scheduler.addJob(std::move(submitted), {}, inherited, Duration{0}, now);
    }

    /** Runs decide() and carries out its actions unless they shall stay @p unanswered. */
    std::vector<SchedulerAction> decide(bool unanswered = false)
    {
        auto actions = scheduler.decide(now, unixMs);
        if (!unanswered) {
            for (const auto &it : actions)
                std::visit([this](const auto &order) { apply(order); }, it);
        }
        return actions;
    }

    /** Like decide(), for the decision right after an event. */
    std::vector<SchedulerAction> decideAfterEvent()
    {
        auto actions = scheduler.decideAfterEvent(now, unixMs);
        for (const auto &it : actions)
            std::visit([this](const auto &order) { apply(order); }, it);
        return actions;
    }

    void reportFrom(const std::string &id)
    {
        const auto request = scheduler.holdRequest(id, now);
        auto &worker = workers[id];
        std::erase_if(worker.ended,
                      [&](const EndReport &it) { return it.number <= request.acknowledgedEnds; });
        scheduler.holdAnswered(id, worker.report(now), now, now);
    }

    void reportAll()
    {
        for (const auto &[id, worker] : workers)
            reportFrom(id);
    }

    /** Ends a run on its worker and delivers that worker's report. */
    void end(const TaskId &task, RunEnd how)
    {
        for (auto &[id, worker] : workers) {
            if (!worker.running.contains(task))
                continue;
            worker.end(task, how);
            reportFrom(id);
            return;
        }
    }

    void saveAll()
    {
        const auto updates = scheduler.takeUpdates(1000);
        scheduler.updatesSaved(updates, true);
    }

    /** Like decide(), once all that a start depends on is saved: a crash, then the start itself. */
    std::vector<SchedulerAction> decideWithSaves(bool unanswered = false)
    {
        saveAll();
        auto actions = decide(unanswered);
        const bool started = std::ranges::any_of(actions, [](const SchedulerAction &it) {
            return std::holds_alternative<StartTask>(it);
        });
        if (started)
            return actions;
        saveAll();
        return decide(unanswered);
    }

    void advanceTime(Duration duration) { now += duration; }

    /** Returns the worker that runs a task; empty if there is none. */
    [[nodiscard]] std::string workerOf(const TaskId &task) const
    {
        for (const auto &[id, worker] : workers) {
            if (worker.running.contains(task))
                return id;
        }
        return {};
    }

    Scheduler scheduler;
    std::map<std::string, FakeWorker> workers;
    TimePoint now{1000s};
    std::int64_t unixMs = 5'000'000;

private:
    void apply(const StartTask &start)
    {
        auto &worker = workers[start.worker];
        worker.running[start.task] = {start.task, start.run, start.checkpoint, 0, {}};
        scheduler.startConfirmed(start, worker.clock(now), now);
    }

    void apply(const StopTask &stop)
    {
        auto &worker = workers[stop.worker];
        if (worker.running.contains(stop.task))
            worker.end(stop.task, RunEnd::Stopped);
        scheduler.stopConfirmed(stop, now);
    }

    void apply(const PaceTask & /*pace*/) { }
    void apply(const RequestAdmission & /*question*/) { }
};

template <typename T>
std::vector<T> ordersOf(const std::vector<SchedulerAction> &actions)
{
    std::vector<T> found;
    for (const auto &it : actions) {
        if (const auto *order = std::get_if<T>(&it))
            found.push_back(*order);
    }
    return found;
}

} // namespace dragonflysill::test
