#include "dragonflysill/machines/placementrunner.h"

#include "dragonflysill/base/storekeys.h"

#include <algorithm>
#include <set>

namespace dragonflysill {

namespace internal {

Resources toResources(const PlatformResources &value)
{
    return {value.milliCores, value.memoryMb, value.accelerators};
}

Compare valueCompare(const std::string &key, const std::string &before)
{
    if (before.empty())
        return {key, CompareTarget::CreateRevision, CompareRelation::Equal, 0, {}};
    return {key, CompareTarget::Value, CompareRelation::Equal, 0, before};
}

std::optional<FleetEvent> placementEvent(const PlacementAction &action)
{
    if (action.kind == PlacementAction::Kind::Start)
        return FleetEvent{FleetEvent::Kind::TaskPlaced,
                          action.job + "/" + std::to_string(action.index), action.worker};
    if (action.kind == PlacementAction::Kind::Refuse)
        return FleetEvent{FleetEvent::Kind::TaskRefused, action.job, action.reason};
    if (action.kind == PlacementAction::Kind::Quarantine)
        return FleetEvent{FleetEvent::Kind::WorkerQuarantined, action.worker, action.reason};
    return std::nullopt;
}

} // namespace internal

PlacementRunner::PlacementRunner(Store &store, const Fence &fence, TaskPlatform &platform)
    : m_store(store)
    , m_fence(fence)
    , m_platform(platform)
{
}

void PlacementRunner::drop()
{
    m_planner.reset();
    m_held.clear();
    m_jobs.clear();
    m_quotas.clear();
    m_workers.clear();
    m_finished.clear();
    m_listedMs = 0;
}

Result<std::vector<JobStatus>> PlacementRunner::step(const FleetInputs &inputs,
                                                     const Compare &condition,
                                                     std::vector<FleetEvent> &events)
{
    const auto run = [&]() -> Result<Done> {
        if (!m_planner) {
            if (auto loaded = load(inputs); !loaded)
                return loaded;
        }
        syncConfiguration(inputs);
        if (auto removed = removeStaleRecords(inputs, condition); !removed)
            return removed;
        if (inputs.nowMs - m_listedMs >= listIntervalMs) {
            if (auto observed = observeTasks(inputs.nowMs, condition); !observed)
                return observed;
            m_listedMs = inputs.nowMs;
        }
        return execute(m_planner->decide(inputs.nowMs), inputs.nowMs, condition, events);
    };
    const auto result = run();
    if (!result) {
        drop();
        return result.error();
    }
    return m_planner->statuses();
}

Result<Done> PlacementRunner::load(const FleetInputs &inputs)
{
    const auto range
            = m_store.range({std::string(storekeys::tasks), storekeys::rangeEnd(storekeys::tasks)});
    if (!range)
        return range.error();
    m_planner = std::make_unique<PlacementPlanner>();
    if (auto workers = refreshWorkers(); !workers)
        return workers;
    syncConfiguration(inputs);
    for (const auto &it : range->keyValues) {
        const auto record = decodeTask(it.value);
        if (!record)
            continue;
        m_held[{record->job, record->index}] = {*record, it.value, 0, 0};
        m_planner->restoreTask(record->job, record->index, record->worker, inputs.nowMs);
        if (record->finished)
            m_planner->endTask(record->job, record->index, TaskOutcome::Succeeded, inputs.nowMs);
    }
    return Done{};
}

Result<Done> PlacementRunner::refreshWorkers()
{
    const auto listed = m_platform.workers();
    if (!listed)
        return listed.error();
    ByName<Worker> workers;
    for (const auto &it : *listed)
        workers[it.name] = {it.name, it.pool, it.zone, it.rack, internal::toResources(it.capacity)};
    for (const auto &it : m_workers) {
        if (!workers.contains(it.first))
            m_planner->removeWorker(it.first);
    }
    for (const auto &it : workers)
        m_planner->setWorker(it.second);
    m_workers = std::move(workers);
    return Done{};
}

void PlacementRunner::syncConfiguration(const FleetInputs &inputs)
{
    const auto &configuration = inputs.configuration;
    for (const auto &it : m_jobs) {
        if (!configuration.jobs.contains(it.first))
            m_planner->removeJob(it.first);
    }
    for (const auto &it : configuration.jobs) {
        const auto known = m_jobs.find(it.first);
        if (known == m_jobs.end() || !(known->second == it.second))
            m_planner->setJob(it.second);
    }
    for (const auto &it : m_quotas) {
        if (!configuration.quotas.contains(it.first))
            m_planner->removeQuota(it.first);
    }
    for (const auto &it : configuration.quotas) {
        const auto known = m_quotas.find(it.first);
        if (known == m_quotas.end() || !(known->second == it.second))
            m_planner->setQuota(it.second);
    }
    m_jobs = configuration.jobs;
    m_quotas = configuration.quotas;
}

Result<Done> PlacementRunner::removeStaleRecords(const FleetInputs &inputs,
                                                 const Compare &condition)
{
    std::vector<Write> writes;
    std::vector<TaskKey> stale;
    for (const auto &it : m_held) {
        const auto job = inputs.configuration.jobs.find(it.first.first);
        const bool current = job != inputs.configuration.jobs.end()
                             && job->second.ticket == it.second.record.ticket
                             && !job->second.cancelled;
        if (current)
            continue;
        stale.push_back(it.first);
        writes.push_back({it.second.record.key(), it.second.stored, {}});
    }
    for (const auto &it : stale) {
        const auto &record = m_held.at(it).record;
        if (!record.finished)
            (void)m_platform.stop(record.platformId());
    }
    if (auto written = writeAll(writes, condition); !written)
        return written;
    for (const auto &it : stale)
        m_held.erase(it);
    return Done{};
}

Result<Done> PlacementRunner::observeTasks(std::int64_t nowMs, const Compare &condition)
{
    if (auto workers = refreshWorkers(); !workers)
        return workers;
    const auto tasks = m_platform.tasks();
    if (!tasks)
        return tasks.error();
    ByName<const PlatformTask *> byId;
    for (const auto &it : *tasks)
        byId[it.id] = &it;
    for (auto &it : m_held) {
        if (it.second.record.finished || it.second.record.worker.empty())
            continue;
        const auto task = byId.find(it.second.record.platformId());
        observeRunning(it.second, task == byId.end() ? nullptr : task->second, nowMs);
    }
    auto result = writeAll(m_finished, condition);
    m_finished.clear();
    return result;
}

void PlacementRunner::observeRunning(Held &held, const PlatformTask *task, std::int64_t nowMs)
{
    TaskRecord &record = held.record;
    if (task == nullptr) {
        // The start was lost, or another process wrote the record and ended before the request.
        if (nowMs - held.requestedMs >= renewIntervalMs)
            requestStart(held, nowMs);
        return;
    }
    if (isActive(task->state)) {
        if (task->usage)
            m_planner->reportUsage(record.job, record.index, internal::toResources(*task->usage));
        if (nowMs - held.renewedMs >= renewIntervalMs && m_platform.renew(record.platformId())) {
            held.renewedMs = nowMs;
            m_planner->renewTask(record.job, record.index, nowMs);
        }
        return;
    }
    const bool succeeded = task->state == PlatformTaskState::Succeeded;
    const bool failed = task->state == PlatformTaskState::Failed;
    m_planner->endTask(record.job, record.index,
                       succeeded ? TaskOutcome::Succeeded
                                 : (failed ? TaskOutcome::Failed : TaskOutcome::Lost),
                       nowMs);
    record.worker.clear();
    if (!succeeded)
        return;
    record.finished = true;
    const auto after = encodeTask(record);
    m_finished.push_back({record.key(), held.stored, after});
    held.stored = after;
}

Result<Done> PlacementRunner::writeAll(const std::vector<Write> &writes, const Compare &condition)
{
    for (std::size_t from = 0; from < writes.size(); from += recordsPerTransaction) {
        const auto fence = m_fence.compare();
        if (!fence)
            return Error(ErrorKind::LeaseLost, "placement");
        Transaction transaction;
        transaction.compares = {*fence, condition};
        const auto to = std::min(writes.size(), from + recordsPerTransaction);
        for (std::size_t n = from; n < to; ++n) {
            const auto &it = writes[n];
            transaction.compares.push_back(internal::valueCompare(it.key, it.before));
            if (it.after.empty())
                transaction.success.emplace_back(DeleteOperation{it.key, {}});
            else
                transaction.success.emplace_back(PutOperation{it.key, it.after, 0});
        }
        const auto result = m_store.commit(transaction);
        if (!result)
            return result.error();
        if (!result->succeeded)
            return Error(ErrorKind::Conflict, "task records");
    }
    return Done{};
}

Result<Done> PlacementRunner::execute(const std::vector<PlacementAction> &actions,
                                      std::int64_t nowMs, const Compare &condition,
                                      std::vector<FleetEvent> &events)
{
    // Room is made first; a task that is stopped and started again gets a new attempt.
    std::vector<Write> writes;
    std::vector<TaskKey> started;
    for (const auto &it : actions) {
        if (it.kind != PlacementAction::Kind::Start) {
            if (auto changed = requestChange(it); !changed)
                return changed;
            continue;
        }
        const TaskKey key{it.job, it.index};
        Held &held = m_held[key];
        TaskRecord record{
                it.job,    it.index, m_jobs.find(it.job)->second.ticket, held.record.attempt + 1,
                it.worker, false};
        auto after = encodeTask(record);
        writes.push_back({record.key(), held.stored, after});
        held = {std::move(record), std::move(after), nowMs, 0};
        started.push_back(key);
    }
    if (auto written = writeAll(writes, condition); !written)
        return written;
    for (const auto &it : started)
        requestStart(m_held.at(it), nowMs);
    for (const auto &it : actions) {
        if (auto event = internal::placementEvent(it))
            events.push_back(std::move(*event));
    }
    return Done{};
}

void PlacementRunner::requestStart(Held &held, std::int64_t nowMs)
{
    const auto job = m_jobs.find(held.record.job);
    if (job == m_jobs.end())
        return;
    const auto need = declaredNeed(job->second);
    TaskStartRequest start;
    start.id = held.record.platformId();
    start.job = held.record.job;
    start.index = held.record.index;
    start.declared = {need.milliCores, need.memoryMb, need.accelerators};
    start.checkpointable = job->second.checkpointable;
    start.lease = PlacementSettings().taskLease;
    held.requestedMs = nowMs;
    // A lost request is repeated with the same id when the platform's list does not show the task.
    (void)m_platform.start(held.record.worker, start);
}

Result<Done> PlacementRunner::requestChange(const PlacementAction &action)
{
    const auto held = m_held.find({action.job, action.index});
    if (held == m_held.end() || held->second.record.worker.empty())
        return Done{};
    const auto id = held->second.record.platformId();
    const auto request = [&]() -> Result<PlatformTask> {
        if (action.kind == PlacementAction::Kind::Throttle)
            return m_platform.throttle(id);
        if (action.kind == PlacementAction::Kind::Checkpoint)
            return m_platform.checkpoint(id);
        return m_platform.stop(id);
    };
    const bool ends = action.kind == PlacementAction::Kind::Checkpoint
                      || action.kind == PlacementAction::Kind::Stop;
    if (!ends && action.kind != PlacementAction::Kind::Throttle)
        return Done{};
    const auto result = request();
    // A task that may still run must not be started a second time.
    if (!result && ends && !result.error().is(ErrorKind::NotFound)
        && !result.error().is(ErrorKind::Conflict))
        return result.error();
    if (ends)
        held->second.record.worker.clear();
    return Done{};
}

} // namespace dragonflysill
