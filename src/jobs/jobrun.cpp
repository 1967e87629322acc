#include "dragonflysill/jobs/jobrun.h"

#include <algorithm>
#include <utility>

namespace dragonflysill {

JobRun::JobRun(SubmittedJob job, JobProgress progress, int runOffset)
    : m_job(std::move(job))
    , m_progress(std::move(progress))
    , m_runOffset(runOffset)
{
}

bool JobRun::openDue(std::int64_t unixMs, TimePoint now)
{
    bool opened = false;
    while (!final() && m_nextOccurrence < m_job.spec.occurrences
           && m_job.spec.dueMs(m_nextOccurrence) <= unixMs) {
        open(m_nextOccurrence++, now);
        opened = true;
    }
    return opened;
}

std::int64_t JobRun::nextDueMs() const
{
    return m_nextOccurrence < m_job.spec.occurrences ? m_job.spec.dueMs(m_nextOccurrence) : 0;
}

void JobRun::open(int occurrence, TimePoint now)
{
    const int stepCount = static_cast<int>(m_job.spec.steps.size());
    OccurrenceRun opened;
    opened.steps.resize(m_job.spec.steps.size());
    for (int n = 0; n < stepCount; ++n)
        opened.stepsDone += static_cast<int>(m_progress.stepsDone.contains({occurrence, n}));
    if (opened.stepsDone == stepCount)
        return;
    auto &run = m_occurrences[occurrence] = std::move(opened);
    for (int n = 0; n < stepCount; ++n) {
        if (!m_progress.stepsDone.contains({occurrence, n}) && dependenciesDone(occurrence, n))
            makeReady(run, n, now);
    }
    // Tasks that completed before a take-over.
    for (const auto &[key, indexes] : m_progress.done) {
        if (key.first != occurrence || m_progress.stepsDone.contains(key))
            continue;
        auto &step = run.steps[static_cast<std::size_t>(key.second)];
        for (const int index : indexes) {
            if (!step.ready || index >= static_cast<int>(step.tasks.size()))
                continue;
            step.tasks[static_cast<std::size_t>(index)].phase = Task::Phase::Done;
            ++step.done;
            --step.waiting;
            --m_waitingTasks;
        }
    }
}

bool JobRun::dependenciesDone(int occurrence, int step) const
{
    return std::ranges::all_of(m_job.spec.steps[static_cast<std::size_t>(step)].after, [&](int n) {
        return m_progress.stepsDone.contains({occurrence, n});
    });
}

void JobRun::makeReady(OccurrenceRun &occurrence, int step, TimePoint now)
{
    auto &run = occurrence.steps[static_cast<std::size_t>(step)];
    const int count = m_job.spec.steps[static_cast<std::size_t>(step)].count;
    Task task;
    task.lastRun = m_runOffset;
    task.waitingSince = now;
    run.tasks.assign(static_cast<std::size_t>(count), task);
    run.waiting = count;
    run.ready = true;
    m_waitingTasks += count;
}

Task *JobRun::task(const TaskId &id)
{
    const auto it = m_occurrences.find(id.occurrence);
    if (it == m_occurrences.end() || id.step < 0 || id.index < 0)
        return nullptr;
    auto &steps = it->second.steps;
    if (static_cast<std::size_t>(id.step) >= steps.size())
        return nullptr;
    auto &tasks = steps[static_cast<std::size_t>(id.step)].tasks;
    return static_cast<std::size_t>(id.index) < tasks.size()
                   ? &tasks[static_cast<std::size_t>(id.index)]
                   : nullptr;
}

void JobRun::activate(const TaskId &id, const std::string &worker)
{
    auto *it = task(id);
    if (it == nullptr)
        return;
    if (it->phase == Task::Phase::Waiting) {
        it->phase = Task::Phase::Active;
        --m_occurrences[id.occurrence].steps[static_cast<std::size_t>(id.step)].waiting;
        --m_waitingTasks;
    }
    it->workers.push_back(worker);
}

void JobRun::deactivate(const TaskId &id, const std::string &worker, TimePoint now)
{
    auto *it = task(id);
    if (it == nullptr)
        return;
    std::erase(it->workers, worker);
    if (it->phase != Task::Phase::Active || !it->workers.empty())
        return;
    it->phase = Task::Phase::Waiting;
    it->waitingSince = now;
    ++m_occurrences[id.occurrence].steps[static_cast<std::size_t>(id.step)].waiting;
    ++m_waitingTasks;
}

bool JobRun::complete(const TaskId &id, TimePoint now)
{
    auto *it = task(id);
    if (it == nullptr || it->phase == Task::Phase::Done || final())
        return false;
    auto &run = m_occurrences[id.occurrence].steps[static_cast<std::size_t>(id.step)];
    const bool gang = step(id).gang;
    for (std::size_t n = 0; n < run.tasks.size(); ++n) {
        auto &task = run.tasks[n];
        if ((!gang && static_cast<int>(n) != id.index) || task.phase == Task::Phase::Done)
            continue;
        if (task.phase == Task::Phase::Waiting) {
            --run.waiting;
            --m_waitingTasks;
        }
        task.phase = Task::Phase::Done;
        ++run.done;
        m_progress.done[{id.occurrence, id.step}].insert(static_cast<int>(n));
    }
    ++m_changes;
    noteStarted();
    if (run.done == static_cast<int>(run.tasks.size()))
        finishStep(id.occurrence, id.step, now);
    return true;
}

void JobRun::finishStep(int occurrence, int step, TimePoint now)
{
    m_progress.stepsDone.insert({occurrence, step});
    m_progress.done.erase({occurrence, step});
    auto &run = m_occurrences[occurrence];
    const int stepCount = static_cast<int>(run.steps.size());
    if (++run.stepsDone < stepCount) {
        for (int n = 0; n < stepCount; ++n) {
            if (!run.steps[static_cast<std::size_t>(n)].ready
                && !m_progress.stepsDone.contains({occurrence, n})
                && dependenciesDone(occurrence, n))
                makeReady(run, n, now);
        }
        return;
    }
    const auto expected = static_cast<std::size_t>(m_job.spec.occurrences * stepCount);
    if (m_progress.stepsDone.size() == expected)
        m_progress.state = JobStatus::Completed;
}

bool JobRun::fail(const TaskId &id, int run)
{
    if (final() || step(id).persistent)
        return false;
    // The members of a gang fail together, which counts once.
    const int index = step(id).gang ? 0 : id.index;
    auto &failures = m_progress.failures[{id.occurrence, id.step, index}];
    if (!failures.insert(run).second)
        return false;
    ++m_changes;
    if (static_cast<int>(failures.size()) < m_job.policy.attempts)
        return false;
    m_progress.state = JobStatus::Failed;
    return true;
}

void JobRun::noteStarted()
{
    if (m_progress.state != JobStatus::Queued)
        return;
    m_progress.state = JobStatus::Running;
    ++m_changes;
}

void JobRun::cancel()
{
    if (final())
        return;
    m_progress.state = JobStatus::Cancelled;
    ++m_changes;
}

} // namespace dragonflysill
