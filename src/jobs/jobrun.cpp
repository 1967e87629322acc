#include "dragonflysill/jobs/jobrun.h"

#include <algorithm>
#include <utility>

namespace dragonflysill {

JobRun::JobRun(SubmittedJob job, JobProgress progress, int runOffset)
    : m_job(std::move(job))
    , m_progress(std::move(progress))
    , m_runOffset(runOffset)
    , m_window(occurrenceWindow(m_job.spec))
{
    completeOccurrences();
    m_nextOccurrence = m_firstIncomplete;
}

int JobRun::occurrenceWindow(const JobSpec &spec)
{
    std::int64_t tasks = 0;
    for (const auto &it : spec.steps)
        tasks += it.count;
    return static_cast<int>(std::clamp<std::int64_t>(
            maxOpenTasks / std::max<std::int64_t>(tasks, 1), 1, maxOpenOccurrences));
}

bool JobRun::openDueOccurrences(std::int64_t unixMs, TimePoint now)
{
    const bool first = m_openedAtMs == 0;
    m_openedAtMs = unixMs;
    bool opened = false;
    while (!hasEnded() && m_nextOccurrence < m_job.spec.occurrences
           && m_nextOccurrence - m_firstIncomplete < m_window
           && m_job.spec.dueMs(m_nextOccurrence) <= unixMs) {
        open(m_nextOccurrence++, first, now);
        opened = true;
    }
    return opened;
}

bool JobRun::occurrenceDone(int occurrence) const
{
    for (int n = 0; n < static_cast<int>(m_job.spec.steps.size()); ++n) {
        if (!stepDone(occurrence, n))
            return false;
    }
    return !m_job.spec.steps.empty();
}

void JobRun::completeOccurrences()
{
    m_firstIncomplete = std::max(m_firstIncomplete,
                                 std::min(m_progress.occurrencesDone, m_job.spec.occurrences));
    while (m_firstIncomplete < m_job.spec.occurrences && occurrenceDone(m_firstIncomplete))
        ++m_firstIncomplete;
    if (m_job.spec.occurrences > m_window)
        compactProgress();
}

void JobRun::compactProgress()
{
    // All keys are ordered by their occurrence.
    const int first = m_firstIncomplete;
    m_progress.occurrencesDone = first;
    m_progress.stepsDone.erase(m_progress.stepsDone.begin(),
                               m_progress.stepsDone.lower_bound({first, 0}));
    m_progress.done.erase(m_progress.done.begin(), m_progress.done.lower_bound({first, 0}));
    const auto eraseCompleted = [first](auto &runs) {
        runs.erase(runs.begin(), runs.lower_bound({first, 0, 0}));
    };
    eraseCompleted(m_progress.failures);
    eraseCompleted(m_progress.crashes);
    eraseCompleted(m_progress.unconfirmedCrashes);
    eraseCompleted(m_progress.trials);
}

void JobRun::dropCompletedOccurrences()
{
    // Copies of their tasks that still run are found through them until they have ended.
    const auto idle = [](const StepRun &step) {
        return std::ranges::all_of(step.tasks, [](const Task &it) { return it.workers.empty(); });
    };
    std::erase_if(m_occurrences, [&](const auto &it) {
        return it.first < m_firstIncomplete && std::ranges::all_of(it.second.steps, idle);
    });
}

std::int64_t JobRun::nextDueMs() const
{
    return m_nextOccurrence < m_job.spec.occurrences ? m_job.spec.dueMs(m_nextOccurrence) : 0;
}

void JobRun::open(int occurrence, bool first, TimePoint now)
{
    const int stepCount = static_cast<int>(m_job.spec.steps.size());
    OccurrenceRun opened;
    opened.steps.resize(m_job.spec.steps.size());
    for (int n = 0; n < stepCount; ++n)
        opened.stepsDone += static_cast<int>(stepDone(occurrence, n));
    if (opened.stepsDone == stepCount)
        return;
    m_occurrences[occurrence] = std::move(opened);
    for (int n = 0; n < stepCount; ++n) {
        auto &step = m_occurrences[occurrence].steps[static_cast<std::size_t>(n)];
        if (step.ready || stepDone(occurrence, n) || !dependenciesDone(occurrence, n))
            continue;
        step.mayHaveStarted = first && inherited;
        makeReady(occurrence, n, now);
    }
}

bool JobRun::dependenciesDone(int occurrence, int step) const
{
    return std::ranges::all_of(m_job.spec.steps[static_cast<std::size_t>(step)].after,
                               [&](int n) { return stepDone(occurrence, n); });
}

void JobRun::makeReady(int occurrence, int step, TimePoint now)
{
    auto &run = m_occurrences[occurrence].steps[static_cast<std::size_t>(step)];
    const int count = m_job.spec.steps[static_cast<std::size_t>(step)].count;
    Task task;
    task.lastRun = m_runOffset;
    task.waitingSince = now;
    run.tasks.assign(static_cast<std::size_t>(count), task);
    run.waiting = count;
    run.ready = true;
    m_waitingTasks += count;
    // Tasks that completed before a takeover.
    const auto done = m_progress.done.find({occurrence, step});
    if (done == m_progress.done.end())
        return;
    for (const int index : done->second) {
        if (index < 0 || index >= count)
            continue;
        run.tasks[static_cast<std::size_t>(index)].phase = Task::Phase::Done;
        ++run.done;
        --run.waiting;
        --m_waitingTasks;
    }
    if (run.done == count)
        finishStep(occurrence, step, now);
}

bool JobRun::mayEndSoon() const
{
    if (hasEnded())
        return true;
    if (m_waitingTasks > 0 || m_nextOccurrence < m_job.spec.occurrences
        || std::ranges::any_of(m_job.spec.steps, &JobStep::persistent))
        return false;
    return std::ranges::all_of(m_occurrences, [this](const auto &occurrence) {
        const auto &[number, run] = occurrence;
        for (std::size_t n = 0; n < run.steps.size(); ++n) {
            if (!run.steps[n].ready && !stepDone(number, static_cast<int>(n)))
                return false;
        }
        return true;
    });
}

Task *JobRun::task(const TaskId &id)
{
    return const_cast<Task *>(std::as_const(*this).task(id));
}

const Task *JobRun::task(const TaskId &id) const
{
    const auto it = m_occurrences.find(id.occurrence);
    if (it == m_occurrences.end() || id.step < 0 || id.index < 0)
        return nullptr;
    const auto &steps = it->second.steps;
    if (static_cast<std::size_t>(id.step) >= steps.size())
        return nullptr;
    const auto &tasks = steps[static_cast<std::size_t>(id.step)].tasks;
    return static_cast<std::size_t>(id.index) < tasks.size()
                   ? &tasks[static_cast<std::size_t>(id.index)]
                   : nullptr;
}

std::optional<double> JobRun::compareRunTime(const TaskId &id, const std::string &worker,
                                             Duration took)
{
    const auto it = m_occurrences.find(id.occurrence);
    if (it == m_occurrences.end() || !hasTask(id))
        return std::nullopt;
    auto &step = it->second.steps[static_cast<std::size_t>(id.step)];
    if (step.shortestRunTime == Duration{0} || took < step.shortestRunTime) {
        step.shortestRunTime = took;
        step.shortestRunWorker = worker;
    }
    if (step.shortestRunWorker == worker)
        return std::nullopt;
    return toSeconds(took) / toSeconds(step.shortestRunTime);
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
    const JobProgress::StepKey key{id.occurrence, id.step};
    if (hasEnded() || !hasTask(id) || stepDone(id.occurrence, id.step))
        return false;
    const int first = step(id).gang ? 0 : id.index;
    const int last = step(id).gang ? step(id).count - 1 : id.index;
    bool changed = false;
    for (int index = first; index <= last; ++index)
        changed = m_progress.done[key].insert(index).second || changed;
    if (!changed)
        return false;
    ++m_changes;
    markStarted();
    auto *open = task(id);
    if (open == nullptr)
        return true;
    auto &run = m_occurrences[id.occurrence].steps[static_cast<std::size_t>(id.step)];
    for (int index = first; index <= last; ++index) {
        auto &task = run.tasks[static_cast<std::size_t>(index)];
        if (task.phase == Task::Phase::Done)
            continue;
        if (task.phase == Task::Phase::Waiting) {
            --run.waiting;
            --m_waitingTasks;
        }
        task.phase = Task::Phase::Done;
        ++run.done;
    }
    if (run.done == static_cast<int>(run.tasks.size())) {
        finishStep(id.occurrence, id.step, now);
        dropCompletedOccurrences();
        openDueOccurrences(m_openedAtMs, now);
    }
    return true;
}

bool JobRun::hasTask(const TaskId &id) const
{
    return id.occurrence >= 0 && id.occurrence < m_job.spec.occurrences && id.step >= 0
           && id.step < static_cast<int>(m_job.spec.steps.size()) && id.index >= 0
           && id.index < step(id).count;
}

void JobRun::finishStep(int occurrence, int step, TimePoint now)
{
    m_progress.stepsDone.insert({occurrence, step});
    m_progress.done.erase({occurrence, step});
    auto &run = m_occurrences[occurrence];
    const int stepCount = static_cast<int>(run.steps.size());
    ++run.stepsDone;
    if (run.stepsDone < stepCount) {
        for (int n = 0; n < stepCount; ++n) {
            if (!run.steps[static_cast<std::size_t>(n)].ready && !stepDone(occurrence, n)
                && dependenciesDone(occurrence, n))
                makeReady(occurrence, n, now);
        }
        return;
    }
    if (occurrence == m_firstIncomplete)
        completeOccurrences();
    if (m_firstIncomplete == m_job.spec.occurrences) {
        m_progress.state = JobStatus::Completed;
        ++m_changes;
    }
}

bool JobRun::fail(const TaskId &id, int run)
{
    if (hasEnded() || !hasTask(id) || step(id).persistent
        || id.occurrence < m_progress.occurrencesDone)
        return false;
    // The members of a gang fail together, which counts as one failure.
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

bool JobRun::recordCrash(const TaskId &id, int run, CrashEvidence evidence)
{
    if (hasEnded() || !hasTask(id) || id.occurrence < m_progress.occurrencesDone)
        return false;
    const std::tuple key{id.occurrence, id.step, id.index};
    auto &runs = m_progress.crashes[key];
    if (!runs.insert(run).second)
        return false;
    if (!evidence.confirmed)
        m_progress.unconfirmedCrashes[key].insert(run);
    endTrial(id, run);
    m_lastCrash = ++m_changes;
    int limit = crashLimit(id);
    if (evidence.shared)
        limit = std::max(limit, maxSharedCrashes);
    if (static_cast<int>(runs.size()) < limit)
        return false;
    m_progress.state = JobStatus::Failed;
    return true;
}

void JobRun::beginTrial(const TaskId &id, int run, const StartTarget &target)
{
    auto &known = m_progress.trials[{id.occurrence, id.step, id.index}][run];
    if (known.target == target)
        return;
    known = {target};
    ++m_changes;
    if (auto *it = task(id))
        it->trialChange = m_changes;
}

void JobRun::confirmTrial(const TaskId &id, int run)
{
    const auto it = m_progress.trials.find({id.occurrence, id.step, id.index});
    if (hasEnded() || it == m_progress.trials.end())
        return;
    const auto trial = it->second.find(run);
    if (trial == it->second.end() || std::exchange(trial->second.confirmed, true))
        return;
    ++m_changes;
}

void JobRun::endTrial(const TaskId &id, int run)
{
    // The end of a job is saved once; nothing would save a later change.
    if (hasEnded())
        return;
    const auto it = m_progress.trials.find({id.occurrence, id.step, id.index});
    if (it == m_progress.trials.end() || it->second.erase(run) == 0)
        return;
    ++m_changes;
    if (it->second.empty())
        m_progress.trials.erase(it);
}

const StartTarget *JobRun::trialTarget(const TaskId &id, int run) const
{
    const auto it = m_progress.trials.find({id.occurrence, id.step, id.index});
    if (it == m_progress.trials.end())
        return nullptr;
    const auto trial = it->second.find(run);
    return trial == it->second.end() ? nullptr : &trial->second.target;
}

bool JobRun::mayHaveStarted(const TaskId &id) const
{
    const auto it = m_occurrences.find(id.occurrence);
    return it != m_occurrences.end()
           && it->second.steps[static_cast<std::size_t>(id.step)].mayHaveStarted;
}

int JobRun::crashLimit(const TaskId &id) const
{
    if (step(id).persistent)
        return maxPersistentCrashes;
    const auto it = m_progress.unconfirmedCrashes.find({id.occurrence, id.step, id.index});
    if (it == m_progress.unconfirmedCrashes.end())
        return maxCrashes;
    const int confirmed = crashes(id) - static_cast<int>(it->second.size());
    return confirmed < minConfirmedCrashes ? maxDoubtfulCrashes : maxUnconfirmedCrashes;
}

int JobRun::failures(const TaskId &id) const
{
    const auto it
            = m_progress.failures.find({id.occurrence, id.step, step(id).gang ? 0 : id.index});
    return it == m_progress.failures.end() ? 0 : static_cast<int>(it->second.size());
}

int JobRun::crashes(const TaskId &id) const
{
    const auto it = m_progress.crashes.find({id.occurrence, id.step, id.index});
    return it == m_progress.crashes.end() ? 0 : static_cast<int>(it->second.size());
}

void JobRun::markStarted()
{
    if (m_progress.state != JobStatus::Queued)
        return;
    m_progress.state = JobStatus::Running;
    ++m_changes;
}

void JobRun::cancel()
{
    if (hasEnded())
        return;
    m_progress.state = JobStatus::Cancelled;
    ++m_changes;
}

} // namespace dragonflysill
