#include "dragonflysill/machines/preemption.h"

#include <algorithm>

namespace dragonflysill {

namespace internal {

/** A throttled task keeps its planned cores divided by this number. */
constexpr std::int64_t throttleDivisor = 4;

/** Selects victims until no resources are missing. */
class VictimSelector
{
public:
    VictimSelector(const WorkerTable::Entry &worker,
                   std::span<const std::unique_ptr<JobEntry>> jobs, const Resources &missing)
        : m_jobs(jobs)
        , m_missing(missing)
    {
        for (const auto &it : worker.tasks) {
            if (jobs[it.job]->job.priority != Priority::Urgent)
                m_tasks.push_back(it);
        }
        std::stable_sort(m_tasks.begin(), m_tasks.end(), [this](const auto &a, const auto &b) {
            const auto &left = *m_jobs[a.job];
            const auto &right = *m_jobs[b.job];
            if (left.job.priority != right.job.priority)
                return left.job.priority < right.job.priority;
            // Stopping a task loses all its work, so the most recently started task is preferred.
            return left.tasks[a.index].startedMs > right.tasks[b.index].startedMs;
        });
    }

    VictimSelection select()
    {
        selectTasks(PlacementAction::Kind::Checkpoint, 1);
        const auto beforeThrottle = m_missing;
        const auto checkpoints = m_selection.victims.size();
        const int checkpointCost = m_selection.cost;
        if (onlyCoresMissing())
            selectTasks(PlacementAction::Kind::Throttle, 10);
        if (!isSatisfied()) {
            m_selection.victims.resize(checkpoints);
            m_selection.cost = checkpointCost;
            m_missing = beforeThrottle;
            selectTasks(PlacementAction::Kind::Stop, 100);
        }
        m_selection.sufficient = isSatisfied();
        return std::move(m_selection);
    }

private:
    [[nodiscard]] bool isSatisfied() const { return Resources{}.covers(m_missing); }

    [[nodiscard]] bool onlyCoresMissing() const
    {
        return m_missing.memoryMb <= 0 && m_missing.accelerators <= 0;
    }

    [[nodiscard]] bool freesMissing(const Resources &freed) const
    {
        return (m_missing.milliCores > 0 && freed.milliCores > 0)
               || (m_missing.memoryMb > 0 && freed.memoryMb > 0)
               || (m_missing.accelerators > 0 && freed.accelerators > 0);
    }

    void selectTasks(PlacementAction::Kind kind, int cost)
    {
        for (const auto &it : m_tasks) {
            if (isSatisfied())
                return;
            const auto &entry = *m_jobs[it.job];
            if (entry.job.checkpointable != (kind == PlacementAction::Kind::Checkpoint))
                continue;
            const auto freed = freedBy(entry, entry.tasks[it.index], kind);
            if (!freesMissing(freed))
                continue;
            m_missing -= freed;
            m_selection.cost += cost;
            m_selection.victims.push_back({it, kind});
        }
    }

    static Resources freedBy(const JobEntry &entry, const TaskSlot &slot,
                             PlacementAction::Kind kind)
    {
        const auto occupied = occupiedBy(entry, slot);
        if (kind != PlacementAction::Kind::Throttle)
            return occupied;
        if (slot.throttled)
            return {};
        return {occupied.milliCores - occupied.milliCores / throttleDivisor, 0, 0};
    }

    std::span<const std::unique_ptr<JobEntry>> m_jobs;
    Resources m_missing;
    std::vector<TaskReference> m_tasks;
    VictimSelection m_selection;
};

} // namespace internal

Resources occupiedBy(const JobEntry &entry, const TaskSlot &slot)
{
    auto occupied = entry.planned;
    if (slot.throttled)
        occupied.milliCores /= internal::throttleDivisor;
    return occupied;
}

VictimSelection selectVictims(const WorkerTable::Entry &worker,
                              std::span<const std::unique_ptr<JobEntry>> jobs,
                              const Resources &missing)
{
    return internal::VictimSelector(worker, jobs, missing).select();
}

} // namespace dragonflysill
