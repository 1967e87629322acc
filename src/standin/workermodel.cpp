#include "dragonflysill/standin/workermodel.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dragonflysill {

namespace internal {

constexpr double throttledSpeed = 0.25;

std::int64_t scaled(std::int64_t amount, double factor)
{
    return static_cast<std::int64_t>(std::llround(static_cast<double>(amount) * factor));
}

Duration scaled(Duration time, double factor)
{
    return Duration(scaled(static_cast<std::int64_t>(time.count()), factor));
}

double speedOf(PlatformTaskState state)
{
    return state == PlatformTaskState::Throttled ? throttledSpeed : 1;
}

} // namespace internal

WorkerModel::WorkerModel(WorkerModelSettings settings)
    : m_settings(settings)
    , m_random(settings.seed)
{
}

void WorkerModel::setWorkers(const std::vector<PlatformWorker> &workers, TimePoint now)
{
    advance(now);
    m_workers.clear();
    for (const PlatformWorker &it : workers)
        m_workers[it.name] = it;
    std::erase_if(m_tasks,
                  [this](const auto &it) { return m_workers.count(it.second.worker) == 0; });
}

Result<Done> WorkerModel::setFailing(std::string_view worker, bool failing)
{
    if (m_workers.count(worker) == 0)
        return Error(ErrorKind::NotFound, "worker '" + std::string(worker) + "'");
    if (failing)
        m_failing.emplace(worker);
    else if (const auto it = m_failing.find(worker); it != m_failing.end())
        m_failing.erase(it);
    return Done{};
}

void WorkerModel::setProfile(const std::string &job, const JobProfile &profile)
{
    m_profiles[job] = profile;
}

std::vector<PlatformWorker> WorkerModel::workers() const
{
    std::vector<PlatformWorker> workers;
    workers.reserve(m_workers.size());
    for (const auto &[name, worker] : m_workers)
        workers.push_back(worker);
    return workers;
}

JobProfile WorkerModel::profileOf(const std::string &job)
{
    const auto it = m_profiles.find(job);
    if (it != m_profiles.end())
        return it->second;
    // Declared sizes are very inaccurate and mostly too large.
    constexpr double minFactor = 0.1;
    constexpr double factorRange = 1.2;
    JobProfile profile;
    profile.coresFactor = minFactor + factorRange * m_random.unit();
    profile.memoryFactor = minFactor + factorRange * m_random.unit();
    m_profiles[job] = profile;
    return profile;
}

PlatformResources WorkerModel::actualUsage(const Task &task) const
{
    if (!isActive(task.state))
        return {};
    const PlatformResources &declared = task.request.declared;
    const double cores = task.profile.coresFactor * internal::speedOf(task.state);
    return {internal::scaled(declared.milliCores, cores),
            internal::scaled(declared.memoryMb, task.profile.memoryFactor), declared.accelerators};
}

PlatformTask WorkerModel::report(const std::string &id, const Task &task, TimePoint now) const
{
    PlatformTask result{id,         task.worker, task.request.job, task.request.index,
                        task.state, {},          task.reason};
    for (const Usage &it : task.usage) {
        if (it.since + m_settings.usageLag <= now)
            result.usage = it.resources;
    }
    return result;
}

void WorkerModel::end(Task &task, PlatformTaskState state, TimePoint time, std::string reason) const
{
    task.state = state;
    task.ended = time;
    task.reason = std::move(reason);
    task.usage.push_back({time, {}});
}

void WorkerModel::advance(Task &task, TimePoint now) const
{
    if (!isActive(task.state))
        return;
    const double speed = internal::speedOf(task.state);
    const Duration remaining = Duration(task.profile.run) - task.progress;
    const TimePoint finish = task.progressAt + internal::scaled(remaining, 1 / speed);
    const TimePoint failure
            = task.willFail ? task.started + m_settings.failAfter : TimePoint::max();
    const TimePoint first = std::min({finish, failure, task.leaseEnd});
    if (first > now) {
        task.progress += internal::scaled(now - task.progressAt, speed);
        task.progressAt = now;
    } else if (first == failure) {
        end(task, PlatformTaskState::Failed, first, "the process ended with an error");
    } else if (first == finish) {
        end(task, PlatformTaskState::Succeeded, first);
    } else {
        end(task, PlatformTaskState::LeaseExpired, first);
    }
}

void WorkerModel::advance(TimePoint now)
{
    for (auto &[id, task] : m_tasks)
        advance(task, now);
    std::erase_if(m_tasks, [&](const auto &it) {
        return !isActive(it.second.state) && it.second.ended + m_settings.keepEnded <= now;
    });
}

std::vector<PlatformTask> WorkerModel::tasks(TimePoint now)
{
    advance(now);
    std::vector<PlatformTask> tasks;
    tasks.reserve(m_tasks.size());
    for (const auto &[id, task] : m_tasks)
        tasks.push_back(report(id, task, now));
    return tasks;
}

Result<PlatformTask> WorkerModel::start(std::string_view worker, const TaskStartRequest &request,
                                        TimePoint now)
{
    advance(now);
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return Error(ErrorKind::NotFound, "worker '" + std::string(worker) + "'");
    if (const auto it = m_tasks.find(request.id); it != m_tasks.end())
        return report(it->first, it->second, now);
    std::int64_t accelerators = request.declared.accelerators;
    for (const auto &[id, task] : m_tasks) {
        if (task.worker == worker && isActive(task.state))
            accelerators += task.request.declared.accelerators;
    }
    if (accelerators > found->second.capacity.accelerators)
        return Error(ErrorKind::Conflict, "the accelerators are in use");
    Task task;
    task.request = request;
    task.worker = worker;
    task.profile = profileOf(request.job);
    task.willFail = task.profile.fails || m_failing.count(worker) > 0;
    task.startNumber = ++m_starts;
    task.started = now;
    task.leaseEnd = now + request.lease;
    task.progressAt = now;
    const auto saved = m_checkpoints.find({request.job, request.index});
    if (saved != m_checkpoints.end())
        task.progress = saved->second;
    task.usage.push_back({now, actualUsage(task)});
    const auto it = m_tasks.emplace(request.id, std::move(task)).first;
    enforceMemoryLimit(worker, now);
    return report(it->first, it->second, now);
}

void WorkerModel::enforceMemoryLimit(std::string_view worker, TimePoint now)
{
    for (;;) {
        std::int64_t used = 0;
        Task *newest = nullptr;
        for (auto &[id, task] : m_tasks) {
            if (task.worker != worker || !isActive(task.state))
                continue;
            used += actualUsage(task).memoryMb;
            if (newest == nullptr || task.startNumber > newest->startNumber)
                newest = &task;
        }
        if (newest == nullptr || used <= m_workers.find(worker)->second.capacity.memoryMb)
            return;
        end(*newest, PlatformTaskState::Failed, now, "out of memory");
    }
}

Result<WorkerModel::Task *> WorkerModel::findActive(std::string_view id, TimePoint now)
{
    advance(now);
    const auto it = m_tasks.find(id);
    if (it == m_tasks.end())
        return Error(ErrorKind::NotFound, "task '" + std::string(id) + "'");
    if (!isActive(it->second.state))
        return Error(ErrorKind::Conflict, "the task has ended");
    return &it->second;
}

Result<PlatformTask> WorkerModel::renew(std::string_view id, TimePoint now)
{
    const auto task = findActive(id, now);
    if (!task)
        return task.error();
    (*task)->leaseEnd = now + (*task)->request.lease;
    return report(std::string(id), **task, now);
}

Result<PlatformTask> WorkerModel::checkpoint(std::string_view id, TimePoint now)
{
    const auto task = findActive(id, now);
    if (!task)
        return task.error();
    const TaskStartRequest &request = (*task)->request;
    if (!request.checkpointable)
        return Error(ErrorKind::Conflict, "the task is not checkpointable");
    m_checkpoints[{request.job, request.index}] = (*task)->progress;
    end(**task, PlatformTaskState::Checkpointed, now);
    return report(std::string(id), **task, now);
}

Result<PlatformTask> WorkerModel::throttle(std::string_view id, TimePoint now)
{
    const auto task = findActive(id, now);
    if (!task)
        return task.error();
    (*task)->state = PlatformTaskState::Throttled;
    (*task)->usage.push_back({now, actualUsage(**task)});
    return report(std::string(id), **task, now);
}

Result<PlatformTask> WorkerModel::stop(std::string_view id, TimePoint now)
{
    const auto task = findActive(id, now);
    if (!task)
        return task.error();
    end(**task, PlatformTaskState::Stopped, now);
    return report(std::string(id), **task, now);
}

} // namespace dragonflysill
