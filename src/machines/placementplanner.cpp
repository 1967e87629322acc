#include "dragonflysill/machines/placementplanner.h"

#include <algorithm>
#include <cmath>

namespace dragonflysill {

namespace internal {

/** A planned size is updated if the wanted size differs from it by more than this fraction. */
constexpr double revisionThreshold = 0.1;
/** Smallest planned size, so that a task without notable usage still occupies some resources. */
constexpr Resources minPlannedSize{50, 16, 0};
/** Number of workers that are compared before an urgent task preempts others. */
constexpr int maxPreemptionCandidates = 16;
/** The duration of a quarantine is doubled at most this many times. */
constexpr int maxQuarantineDoublings = 6;
/** Factor on the failure limit of a worker while only one job failed on it. */
constexpr int singleJobFailureFactor = 2;

std::string describe(const Resources &need)
{
    const auto cores = std::to_string(need.milliCores / 1000) + "."
                       + std::to_string(need.milliCores % 1000 / 100);
    return cores + " cores, " + std::to_string(need.memoryMb) + " MB and "
           + std::to_string(need.accelerators) + " accelerators";
}

bool differsBeyondThreshold(std::int64_t planned, std::int64_t wanted)
{
    return std::abs(static_cast<double>(wanted - planned))
           > revisionThreshold * static_cast<double>(planned);
}

std::int64_t withMargin(std::int64_t observed, double margin, std::int64_t minimum,
                        std::int64_t capacity)
{
    const auto wanted = static_cast<std::int64_t>(static_cast<double>(observed) * margin);
    return std::min(std::max(wanted, minimum), std::max(capacity, minimum));
}

Resources scaled(const Resources &resources, double factor)
{
    return {static_cast<std::int64_t>(static_cast<double>(resources.milliCores) * factor),
            static_cast<std::int64_t>(static_cast<double>(resources.memoryMb) * factor),
            resources.accelerators};
}

/** Returns how many tasks of a job may run in one rack, to limit the effect of a rack failure. */
int rackLimit(const Job &job)
{
    return job.gang ? job.tasks : std::max(1, (job.tasks + 1) / 2);
}

int &rackCount(JobEntry &entry, std::size_t rackEnd)
{
    const auto it = std::find_if(entry.racks.begin(), entry.racks.end(),
                                 [rackEnd](const auto &n) { return n.rackEnd == rackEnd; });
    if (it != entry.racks.end())
        return it->tasks;
    entry.racks.push_back({rackEnd, 0});
    return entry.racks.back().tasks;
}

int rackCount(const JobEntry &entry, std::size_t rackEnd)
{
    for (const auto &it : entry.racks) {
        if (it.rackEnd == rackEnd)
            return it.tasks;
    }
    return 0;
}

} // namespace internal

PlacementPlanner::PlacementPlanner(PlacementSettings settings)
    : m_settings(settings)
{
}

PlacementPlanner::~PlacementPlanner() = default;

void PlacementPlanner::setWorker(const Worker &worker)
{
    const auto position = m_workers.find(worker.name);
    if (position && m_workers.at(*position).worker == worker)
        return;
    m_workers.set(worker);
    ++m_capacityVersion;
    ++m_limitVersion;
}

void PlacementPlanner::removeWorker(std::string_view name)
{
    const auto position = m_workers.find(name);
    if (!position)
        return;
    rebuildWorkers();
    const auto worker = *m_workers.find(name);
    while (!m_workers.at(worker).tasks.empty()) {
        const auto task = m_workers.at(worker).tasks.back();
        releaseTask(task.job, task.index);
        requeueTask(task.job, task.index);
    }
    m_workers.at(worker).removed = true;
    m_workers.refresh(worker);
    ++m_limitVersion;
}

void PlacementPlanner::setQuota(const Quota &quota)
{
    Team &team = m_teams[quota.team];
    constexpr double milli = 1000;
    team.limit
            = {static_cast<std::int64_t>(quota.cores * milli), quota.memoryMb, quota.accelerators};
    team.limited = true;
    ++m_capacityVersion;
    ++m_limitVersion;
}

void PlacementPlanner::removeQuota(std::string_view team)
{
    const auto it = m_teams.find(team);
    if (it == m_teams.end())
        return;
    it->second.limited = false;
    ++m_capacityVersion;
    ++m_limitVersion;
}

void PlacementPlanner::setJob(const Job &job)
{
    const auto known = m_ids.find(job.name);
    if (known != m_ids.end()) {
        const JobEntry &old = *m_jobs[known->second];
        if (old.job == job)
            return;
        removeJob(job.name);
    }
    std::uint32_t id = static_cast<std::uint32_t>(m_jobs.size());
    if (m_unusedIds.empty()) {
        m_jobs.emplace_back();
    } else {
        id = m_unusedIds.back();
        m_unusedIds.pop_back();
    }
    m_ids.insert_or_assign(job.name, id);
    m_jobs[id] = std::make_unique<JobEntry>();
    JobEntry &entry = *m_jobs[id];
    entry.job = job;
    entry.sequence = ++m_sequence;
    entry.planned = declaredNeed(job);
    if (job.cancelled)
        return;
    entry.tasks.resize(static_cast<std::size_t>(std::max(0, job.tasks)));
    for (auto n = static_cast<std::uint32_t>(entry.tasks.size()); n-- > 0;)
        entry.waiting.push_back(n);
    enqueue(id);
}

void PlacementPlanner::removeJob(std::string_view name)
{
    const auto it = m_ids.find(name);
    if (it == m_ids.end())
        return;
    const auto id = it->second;
    stopTasks(id, "the job was cancelled, changed or removed");
    const JobEntry &entry = *m_jobs[id];
    m_queues[static_cast<std::size_t>(entry.job.priority)].erase({entry.sequence, id});
    m_ids.erase(it);
    m_refusedJobs.erase(id);
    m_jobs[id].reset();
    m_unusedIds.push_back(id);
}

void PlacementPlanner::restoreTask(std::string_view job, int index, std::string_view worker,
                                   std::int64_t nowMs)
{
    rebuildWorkers();
    JobEntry *entry = findJob(job);
    const TaskSlot *slot = findTask(entry, index);
    const auto position = m_workers.find(worker);
    if (slot == nullptr || !position || slot->worker != TaskSlot::noWorker)
        return;
    const auto task = static_cast<std::uint32_t>(index);
    std::erase(entry->waiting, task);
    assignTask(m_ids.find(job)->second, task, static_cast<std::uint32_t>(*position), nowMs);
}

void PlacementPlanner::renewTask(std::string_view job, int index, std::int64_t nowMs)
{
    TaskSlot *slot = findTask(findJob(job), index);
    if (slot != nullptr && slot->worker != TaskSlot::noWorker)
        slot->leaseUntilMs = nowMs + m_settings.taskLease.count();
}

void PlacementPlanner::reportUsage(std::string_view job, int index, const Resources &usage)
{
    JobEntry *entry = findJob(job);
    const TaskSlot *slot = findTask(entry, index);
    if (slot == nullptr || slot->worker == TaskSlot::noWorker || slot->throttled)
        return;
    const auto &capacity = m_workers.at(slot->worker).worker.capacity;
    entry->observed.milliCores = std::max(entry->observed.milliCores, usage.milliCores);
    entry->observed.memoryMb = std::max(entry->observed.memoryMb, usage.memoryMb);
    entry->hasObservation = true;
    const Resources wanted{
            internal::withMargin(entry->observed.milliCores, m_settings.usageMargin,
                                 internal::minPlannedSize.milliCores, capacity.milliCores),
            internal::withMargin(entry->observed.memoryMb, m_settings.usageMargin,
                                 internal::minPlannedSize.memoryMb, capacity.memoryMb),
            entry->planned.accelerators};
    if (internal::differsBeyondThreshold(entry->planned.milliCores, wanted.milliCores)
        || internal::differsBeyondThreshold(entry->planned.memoryMb, wanted.memoryMb))
        updatePlannedSize(m_ids.find(job)->second, wanted);
}

void PlacementPlanner::endTask(std::string_view job, int index, TaskOutcome outcome,
                               std::int64_t nowMs)
{
    JobEntry *entry = findJob(job);
    TaskSlot *slot = findTask(entry, index);
    if (slot == nullptr || slot->worker == TaskSlot::noWorker)
        return;
    const auto id = m_ids.find(job)->second;
    const std::size_t worker = slot->worker;
    releaseTask(id, static_cast<std::uint32_t>(index));
    if (outcome == TaskOutcome::Succeeded) {
        slot->finished = true;
        ++entry->finished;
        recordSuccess(*entry, worker);
        return;
    }
    requeueTask(id, static_cast<std::uint32_t>(index));
    if (outcome == TaskOutcome::Failed)
        recordFailure(id, worker, nowMs);
}

std::vector<PlacementAction> PlacementPlanner::decide(std::int64_t nowMs)
{
    rebuildWorkers();
    expireLeases(nowMs);
    readmitWorkers(nowMs);
    preemptOnOverloadedWorkers();
    if (m_settings.resumesThrottled)
        resumeThrottled();
    retryRefusedJobs();
    runQueue(Priority::Urgent, nowMs);
    runQueue(Priority::Normal, nowMs);
    runQueue(Priority::Batch, nowMs);
    return std::exchange(m_actions, {});
}

std::vector<JobStatus> PlacementPlanner::statuses() const
{
    std::vector<JobStatus> statuses;
    statuses.reserve(m_ids.size());
    for (const auto &it : m_ids) {
        const JobEntry &entry = *m_jobs[it.second];
        JobStatus status;
        status.name = it.first;
        status.team = entry.job.team;
        status.ticket = entry.job.ticket;
        status.tasks = entry.job.tasks;
        status.placed = entry.running;
        status.finished = entry.finished;
        status.reason = entry.reason;
        status.remedy = entry.remedy;
        if (entry.job.cancelled)
            status.state = JobState::Cancelled;
        else if (entry.impossible)
            status.state = JobState::Impossible;
        else if (entry.finished == entry.job.tasks)
            status.state = JobState::Finished;
        else
            status.state = entry.waiting.empty() ? JobState::Running : JobState::Waiting;
        statuses.push_back(std::move(status));
    }
    return statuses;
}

Resources PlacementPlanner::used(std::string_view team) const
{
    const auto it = m_teams.find(team);
    return it == m_teams.end() ? Resources() : it->second.used;
}

JobEntry *PlacementPlanner::findJob(std::string_view name)
{
    const auto it = m_ids.find(name);
    return it == m_ids.end() ? nullptr : m_jobs[it->second].get();
}

TaskSlot *PlacementPlanner::findTask(JobEntry *entry, int index)
{
    if (entry == nullptr || index < 0 || static_cast<std::size_t>(index) >= entry->tasks.size())
        return nullptr;
    return &entry->tasks[static_cast<std::size_t>(index)];
}

void PlacementPlanner::enqueue(std::uint32_t id)
{
    JobEntry &entry = *m_jobs[id];
    if (entry.queued || entry.waiting.empty())
        return;
    entry.queued = true;
    entry.triedCapacityVersion = 0;
    m_queues[static_cast<std::size_t>(entry.job.priority)].insert({entry.sequence, id});
}

void PlacementPlanner::rebuildWorkers()
{
    if (!m_workers.needsRebuild())
        return;
    const auto newPositions = m_workers.rebuild();
    for (auto &it : m_jobs) {
        if (!it)
            continue;
        it->racks.clear();
        for (auto &slot : it->tasks) {
            if (slot.worker == TaskSlot::noWorker)
                continue;
            slot.worker = static_cast<std::uint32_t>(newPositions[slot.worker]);
            ++internal::rackCount(*it, m_workers.at(slot.worker).rackEnd);
        }
    }
    std::set<std::size_t> overloaded;
    for (const auto it : m_overloadedWorkers)
        overloaded.insert(newPositions[it]);
    m_overloadedWorkers = std::move(overloaded);
    std::set<std::size_t> throttled;
    for (const auto it : m_throttled)
        throttled.insert(newPositions[it]);
    m_throttled = std::move(throttled);
}

void PlacementPlanner::resumeThrottled()
{
    std::erase_if(m_throttled, [this](std::size_t it) { return resumeTasksOn(it); });
}

bool PlacementPlanner::resumeTasksOn(std::size_t worker)
{
    bool all = true;
    for (const auto &it : m_workers.at(worker).tasks) {
        JobEntry &entry = *m_jobs[it.job];
        TaskSlot &slot = entry.tasks[it.index];
        if (!slot.throttled)
            continue;
        const auto more = entry.planned - occupiedBy(entry, slot);
        const auto &target = m_workers.at(worker);
        if (!(target.worker.capacity - target.used).covers(more)) {
            all = false;
            continue;
        }
        slot.throttled = false;
        adjustUsage(worker, entry, more);
        addAction(PlacementAction::Kind::Resume, entry, it.index, worker,
                  "its worker has free cores again");
    }
    return all;
}

void PlacementPlanner::expireLeases(std::int64_t nowMs)
{
    while (!m_leases.empty() && m_leases.front().first <= nowMs) {
        const auto task = m_leases.front().second;
        m_leases.pop_front();
        JobEntry *entry = m_jobs[task.job].get();
        if (entry == nullptr || task.index >= entry->tasks.size())
            continue;
        TaskSlot &slot = entry->tasks[task.index];
        slot.leaseQueued = false;
        if (slot.worker == TaskSlot::noWorker)
            continue;
        if (slot.leaseUntilMs > nowMs) {
            slot.leaseQueued = true;
            m_leases.emplace_back(slot.leaseUntilMs, task);
            continue;
        }
        addAction(PlacementAction::Kind::Stop, *entry, task.index, slot.worker,
                  "its lease expired");
        releaseTask(task.job, task.index);
        requeueTask(task.job, task.index);
    }
}

void PlacementPlanner::readmitWorkers(std::int64_t nowMs)
{
    while (!m_quarantines.empty() && m_quarantines.begin()->first <= nowMs) {
        const auto position = m_workers.find(m_quarantines.begin()->second);
        m_quarantines.erase(m_quarantines.begin());
        if (!position)
            continue;
        auto &worker = m_workers.at(*position);
        worker.quarantinedUntilMs = 0;
        worker.onProbation = true;
        m_workers.refresh(*position);
        ++m_capacityVersion;
        m_actions.push_back({PlacementAction::Kind::Readmit, {}, 0, worker.worker.name, {}});
    }
}

void PlacementPlanner::runQueue(Priority priority, std::int64_t nowMs)
{
    auto &queue = m_queues[static_cast<std::size_t>(priority)];
    auto &cursor = m_cursors[static_cast<std::size_t>(priority)];
    int failedAttempts = 0;
    auto it = queue.lower_bound(cursor);
    for (std::size_t n = queue.size(); n > 0; --n) {
        if (it == queue.end())
            it = queue.begin();
        cursor = *it;
        if (failedAttempts >= m_settings.attemptsPerDecision && priority != Priority::Urgent)
            return;
        if (m_jobs[it->second]->triedCapacityVersion == m_capacityVersion) {
            ++it;
        } else if (tryJob(it->second, nowMs)) {
            m_jobs[it->second]->queued = false;
            it = queue.erase(it);
        } else {
            ++failedAttempts;
            ++it;
        }
    }
    // Every job was tried, so the next call starts with the oldest one.
    cursor = {};
}

bool PlacementPlanner::tryJob(std::uint32_t id, std::int64_t nowMs)
{
    const bool done = !checkPossible(id) || place(id, nowMs);
    m_jobs[id]->triedCapacityVersion = m_capacityVersion;
    return done;
}

void PlacementPlanner::retryRefusedJobs()
{
    if (m_retriedLimitVersion == m_limitVersion)
        return;
    m_retriedLimitVersion = m_limitVersion;
    for (const auto id : std::exchange(m_refusedJobs, {})) {
        m_jobs[id]->impossible = false;
        m_jobs[id]->failures = 0;
        enqueue(id);
    }
}

bool PlacementPlanner::checkPossible(std::uint32_t id)
{
    JobEntry &entry = *m_jobs[id];
    if (entry.checkedLimitVersion == m_limitVersion)
        return !entry.impossible;
    entry.checkedLimitVersion = m_limitVersion;
    auto reason = findImpossibleReason(entry);
    if (reason.empty())
        return true;
    refuseJob(id, std::move(reason));
    return false;
}

std::string PlacementPlanner::findImpossibleReason(const JobEntry &entry) const
{
    const auto &need = entry.planned;
    const auto ranges = m_workers.ranges(entry.job.pool);
    const bool fits = std::any_of(ranges.begin(), ranges.end(), [&](const auto &it) {
        return m_workers.capacity().findFirst(it.first, it.second, need) >= 0;
    });
    if (!fits) {
        return "one task needs " + internal::describe(need) + "; no worker of "
               + (entry.job.pool.empty() ? "any pool" : "pool " + entry.job.pool) + " has that";
    }
    const auto count = entry.job.gang ? entry.job.tasks : 1;
    const auto together = need.times(count);
    const auto team = m_teams.find(entry.job.team);
    if (team != m_teams.end() && team->second.limited && !team->second.limit.covers(together)) {
        return std::to_string(count) + " tasks that start together need "
               + internal::describe(together) + "; the quota of team " + entry.job.team + " is "
               + internal::describe(team->second.limit);
    }
    if (!entry.job.gang)
        return {};
    Resources total;
    for (const auto &it : ranges) {
        for (std::size_t n = it.first; n < it.second; ++n) {
            if (!m_workers.at(n).removed)
                total += m_workers.at(n).worker.capacity;
        }
    }
    if (total.covers(together))
        return {};
    return "the gang needs " + internal::describe(together) + "; its workers have "
           + internal::describe(total);
}

void PlacementPlanner::refuseJob(std::uint32_t id, std::string reason)
{
    JobEntry &entry = *m_jobs[id];
    entry.impossible = true;
    m_refusedJobs.insert(id);
    if (entry.reason == reason)
        return;
    entry.reason = std::move(reason);
    entry.remedy = "change the job's needs, its pool or the quota with a ticket";
    addAction(PlacementAction::Kind::Refuse, entry, 0, m_workers.size(), entry.reason);
}

bool PlacementPlanner::place(std::uint32_t id, std::int64_t nowMs)
{
    JobEntry &entry = *m_jobs[id];
    entry.reason.clear();
    entry.remedy.clear();
    if (entry.job.gang && entry.running == 0) {
        if (placeGang(id, nowMs))
            return true;
    } else {
        while (!entry.waiting.empty() && placeNextTask(id, nowMs)) {
        }
    }
    if (entry.job.priority == Priority::Urgent) {
        while (!entry.waiting.empty() && preemptForUrgent(id, nowMs)) {
        }
    }
    if (entry.waiting.empty())
        return true;
    const bool quota = !withinQuota(entry);
    entry.reason = quota ? "the quota of team " + entry.job.team + " is used up"
                         : "no worker has " + internal::describe(entry.planned) + " free";
    entry.remedy = quota ? "raise the quota, or cancel other jobs of the team"
                         : "wait, raise the priority, or add workers";
    return false;
}

bool PlacementPlanner::placeNextTask(std::uint32_t id, std::int64_t nowMs)
{
    JobEntry &entry = *m_jobs[id];
    if (!withinQuota(entry))
        return false;
    const int worker = findWorker(entry);
    if (worker < 0)
        return false;
    const auto index = entry.waiting.back();
    entry.waiting.pop_back();
    assignTask(id, index, static_cast<std::uint32_t>(worker), nowMs);
    addAction(PlacementAction::Kind::Start, entry, index, static_cast<std::size_t>(worker));
    return true;
}

bool PlacementPlanner::placeGang(std::uint32_t id, std::int64_t nowMs)
{
    JobEntry &entry = *m_jobs[id];
    const auto actions = m_actions.size();
    while (!entry.waiting.empty() && placeNextTask(id, nowMs)) {
    }
    if (entry.waiting.empty())
        return true;
    m_actions.resize(actions);
    const auto version = m_capacityVersion;
    for (std::uint32_t n = 0; n < entry.tasks.size(); ++n) {
        if (entry.tasks[n].worker == TaskSlot::noWorker)
            continue;
        releaseTask(id, n);
        entry.waiting.push_back(n);
    }
    // Restores the version: the gang occupied nothing before this attempt, so no capacity became
    // free for other jobs.
    m_capacityVersion = version;
    return false;
}

int PlacementPlanner::findWorker(const JobEntry &entry) const
{
    if (entry.job.pool.empty())
        return findInRange(entry, {0, m_workers.size()});
    for (const auto &it : m_workers.ranges(entry.job.pool)) {
        const int found = findInRange(entry, it);
        if (found >= 0)
            return found;
    }
    return -1;
}

int PlacementPlanner::findInRange(const JobEntry &entry, const WorkerTable::Range &range) const
{
    const int limit = internal::rackLimit(entry.job);
    int fallback = -1;
    for (std::size_t from = range.first; from < range.second;) {
        const int found = m_workers.free().findFirst(from, range.second, entry.planned);
        if (found < 0)
            return fallback;
        const auto rackEnd = m_workers.at(static_cast<std::size_t>(found)).rackEnd;
        if (internal::rackCount(entry, rackEnd) < limit)
            return found;
        if (fallback < 0)
            fallback = found;
        from = rackEnd;
    }
    return fallback;
}

bool PlacementPlanner::withinQuota(const JobEntry &entry) const
{
    const auto it = m_teams.find(entry.job.team);
    if (it == m_teams.end() || !it->second.limited)
        return true;
    return it->second.limit.covers(it->second.used + entry.planned);
}

bool PlacementPlanner::preemptForUrgent(std::uint32_t id, std::int64_t nowMs)
{
    JobEntry &entry = *m_jobs[id];
    const auto team = m_teams.find(entry.job.team);
    const auto count = entry.job.gang && entry.running == 0 ? entry.job.tasks : 1;
    if (team != m_teams.end() && team->second.limited
        && !team->second.limit.covers(team->second.used + entry.planned.times(count)))
        return false;
    const auto workers = findPreemptionWorkers(entry);
    if (workers.empty())
        return false;
    for (const auto worker : workers) {
        const auto &target = m_workers.at(worker);
        const auto missing = entry.planned - (target.worker.capacity - target.used);
        const auto selection = selectVictims(target, m_jobs, missing);
        for (const auto &it : selection.victims)
            preempt(it, "makes room for urgent job " + entry.job.name);
        const auto index = entry.waiting.back();
        entry.waiting.pop_back();
        assignTask(id, index, static_cast<std::uint32_t>(worker), nowMs);
        addAction(PlacementAction::Kind::Start, entry, index, worker);
    }
    return true;
}

std::vector<WorkerTable::Range> PlacementPlanner::rotatedRanges(std::string_view pool) const
{
    std::vector<WorkerTable::Range> first;
    std::vector<WorkerTable::Range> last;
    for (const auto &it : m_workers.ranges(pool)) {
        const auto middle = std::clamp(m_preemptionCursor, it.first, it.second);
        first.emplace_back(middle, it.second);
        last.emplace_back(it.first, middle);
    }
    first.insert(first.end(), last.begin(), last.end());
    return first;
}

std::vector<std::size_t> PlacementPlanner::findPreemptionWorkers(const JobEntry &entry)
{
    if (entry.job.gang && entry.running == 0)
        return findPreemptionWorkersForGang(entry);
    std::vector<std::size_t> best;
    std::pair<int, std::int64_t> bestCost;
    int candidates = 0;
    for (const auto &range : rotatedRanges(entry.job.pool)) {
        for (std::size_t from = range.first; from < range.second; ++from) {
            const int found = m_workers.reclaimable().findFirst(from, range.second, entry.planned);
            if (found < 0)
                break;
            from = static_cast<std::size_t>(found);
            const auto &target = m_workers.at(from);
            const auto missing = entry.planned - (target.worker.capacity - target.used);
            const auto selection = selectVictims(target, m_jobs, missing);
            // Prefers workers with more urgent tasks: packing them together leaves whole workers
            // for large urgent tasks.
            const auto urgent = (target.used - target.preemptible).milliCores;
            const auto cost = std::make_pair(selection.cost, -urgent);
            if (selection.sufficient && (best.empty() || cost < bestCost)) {
                best = {from};
                bestCost = cost;
            }
            if (++candidates < internal::maxPreemptionCandidates)
                continue;
            m_preemptionCursor = from + 1;
            return best;
        }
    }
    return best;
}

std::vector<std::size_t> PlacementPlanner::findPreemptionWorkersForGang(const JobEntry &entry) const
{
    std::vector<std::size_t> chosen;
    for (const auto &range : m_workers.ranges(entry.job.pool)) {
        Resources onWorker;
        for (std::size_t from = range.first; from < range.second;) {
            const int found = m_workers.reclaimable().findFirst(from, range.second, entry.planned);
            if (found < 0)
                break;
            if (static_cast<std::size_t>(found) != from)
                onWorker = {};
            from = static_cast<std::size_t>(found);
            const auto &target = m_workers.at(from);
            const auto missing = onWorker + entry.planned - (target.worker.capacity - target.used);
            if (!selectVictims(target, m_jobs, missing).sufficient) {
                onWorker = {};
                ++from;
                continue;
            }
            onWorker += entry.planned;
            chosen.push_back(from);
            if (chosen.size() == entry.waiting.size())
                return chosen;
        }
    }
    return {};
}

void PlacementPlanner::preemptOnOverloadedWorkers()
{
    for (const auto worker : std::exchange(m_overloadedWorkers, {})) {
        const auto &target = m_workers.at(worker);
        // Only memory needs to be freed: tasks share cores, and the platform ends tasks only if the
        // memory they actually use, which is the plan without its margin, exceeds the capacity.
        const auto tolerated = internal::scaled(target.worker.capacity, m_settings.usageMargin);
        const Resources missing{0, target.used.memoryMb - tolerated.memoryMb, 0};
        if (Resources{}.covers(missing))
            continue;
        const auto selection = selectVictims(target, m_jobs, missing);
        for (const auto &it : selection.victims)
            preempt(it, "its worker is overloaded");
    }
}

void PlacementPlanner::preempt(const Victim &victim, std::string_view reason)
{
    JobEntry &entry = *m_jobs[victim.task.job];
    if (entry.tasks[victim.task.index].worker == TaskSlot::noWorker)
        return;
    if (!entry.job.gang || victim.kind == PlacementAction::Kind::Throttle) {
        preemptTask(victim.task, victim.kind, reason);
        return;
    }
    // The tasks of a gang run together, so all of them are preempted.
    for (std::uint32_t n = 0; n < entry.tasks.size(); ++n) {
        if (entry.tasks[n].worker != TaskSlot::noWorker)
            preemptTask({victim.task.job, n}, victim.kind, reason);
    }
}

void PlacementPlanner::preemptTask(const TaskReference &task, PlacementAction::Kind kind,
                                   std::string_view reason)
{
    JobEntry &entry = *m_jobs[task.job];
    TaskSlot &slot = entry.tasks[task.index];
    addAction(kind, entry, task.index, slot.worker, reason);
    if (kind != PlacementAction::Kind::Throttle) {
        releaseTask(task.job, task.index);
        requeueTask(task.job, task.index);
        return;
    }
    const auto before = occupiedBy(entry, slot);
    slot.throttled = true;
    m_throttled.insert(slot.worker);
    adjustUsage(slot.worker, entry, occupiedBy(entry, slot) - before);
}

void PlacementPlanner::assignTask(std::uint32_t id, std::uint32_t index, std::uint32_t worker,
                                  std::int64_t nowMs)
{
    const std::int64_t untilMs = nowMs + m_settings.taskLease.count();
    JobEntry &entry = *m_jobs[id];
    TaskSlot &slot = entry.tasks[index];
    slot.worker = worker;
    slot.throttled = false;
    slot.leaseUntilMs = untilMs;
    slot.startedMs = nowMs;
    if (!slot.leaseQueued) {
        slot.leaseQueued = true;
        m_leases.emplace_back(untilMs, TaskReference{id, index});
    }
    ++entry.running;
    ++internal::rackCount(entry, m_workers.at(worker).rackEnd);
    m_workers.at(worker).tasks.push_back({id, index});
    adjustUsage(worker, entry, entry.planned);
}

void PlacementPlanner::releaseTask(std::uint32_t id, std::uint32_t index)
{
    JobEntry &entry = *m_jobs[id];
    TaskSlot &slot = entry.tasks[index];
    const std::size_t worker = slot.worker;
    auto &tasks = m_workers.at(worker).tasks;
    const auto it = std::find(tasks.begin(), tasks.end(), TaskReference{id, index});
    *it = tasks.back();
    tasks.pop_back();
    --entry.running;
    --internal::rackCount(entry, m_workers.at(worker).rackEnd);
    const auto freed = Resources() - occupiedBy(entry, slot);
    slot.worker = TaskSlot::noWorker;
    slot.throttled = false;
    adjustUsage(worker, entry, freed);
    ++m_capacityVersion;
}

void PlacementPlanner::requeueTask(std::uint32_t id, std::uint32_t index)
{
    m_jobs[id]->waiting.push_back(index);
    if (!m_jobs[id]->impossible)
        enqueue(id);
}

void PlacementPlanner::adjustUsage(std::size_t worker, const JobEntry &entry,
                                   const Resources &change)
{
    auto &target = m_workers.at(worker);
    target.used += change;
    if (entry.job.priority != Priority::Urgent)
        target.preemptible += change;
    m_teams[entry.job.team].used += change;
    if (!target.worker.capacity.covers(target.used))
        m_overloadedWorkers.insert(worker);
    m_workers.refresh(worker);
}

void PlacementPlanner::stopTasks(std::uint32_t id, std::string_view reason)
{
    JobEntry &entry = *m_jobs[id];
    for (std::uint32_t n = 0; n < entry.tasks.size(); ++n) {
        const auto worker = entry.tasks[n].worker;
        if (worker == TaskSlot::noWorker)
            continue;
        addAction(PlacementAction::Kind::Stop, entry, n, worker, reason);
        releaseTask(id, n);
    }
}

void PlacementPlanner::recordFailure(std::uint32_t id, std::size_t worker, std::int64_t nowMs)
{
    JobEntry &entry = *m_jobs[id];
    auto &target = m_workers.at(worker);
    // A failure counts against the job only on a worker that has completed other tasks; otherwise
    // the worker may be the cause.
    if (target.everSucceeded && !entry.everSucceeded
        && ++entry.failures >= m_settings.failuresUntilRefusal && !entry.impossible)
        refuseJob(id, "its last " + std::to_string(entry.failures)
                              + " runs failed on workers that run other tasks");
    if (target.quarantinedUntilMs > 0)
        return;
    if (target.consecutiveFailures > 0 && target.lastFailedJob != id)
        target.failedForSeveralJobs = true;
    target.lastFailedJob = id;
    ++target.consecutiveFailures;
    const int limit = m_settings.failuresUntilQuarantine
                      * (target.failedForSeveralJobs ? 1 : internal::singleJobFailureFactor);
    if (!target.onProbation && target.consecutiveFailures < limit)
        return;
    const auto doublings
            = std::min(target.consecutiveQuarantines, internal::maxQuarantineDoublings);
    ++target.consecutiveQuarantines;
    target.quarantinedUntilMs = nowMs + (m_settings.quarantine.count() << doublings);
    target.onProbation = false;
    target.consecutiveFailures = 0;
    target.failedForSeveralJobs = false;
    m_quarantines.insert({target.quarantinedUntilMs, target.worker.name});
    m_workers.refresh(worker);
    m_actions.push_back({PlacementAction::Kind::Quarantine,
                         {},
                         0,
                         target.worker.name,
                         "every task on it failed"});
}

void PlacementPlanner::recordSuccess(JobEntry &entry, std::size_t worker)
{
    entry.everSucceeded = true;
    entry.failures = 0;
    auto &target = m_workers.at(worker);
    target.everSucceeded = true;
    target.consecutiveFailures = 0;
    target.failedForSeveralJobs = false;
    target.consecutiveQuarantines = 0;
    target.onProbation = false;
    m_workers.refresh(worker);
}

void PlacementPlanner::updatePlannedSize(std::uint32_t id, const Resources &planned)
{
    JobEntry &entry = *m_jobs[id];
    std::vector<Resources> before(entry.tasks.size());
    for (std::size_t n = 0; n < entry.tasks.size(); ++n)
        before[n] = occupiedBy(entry, entry.tasks[n]);
    entry.planned = planned;
    entry.checkedLimitVersion = 0;
    for (std::size_t n = 0; n < entry.tasks.size(); ++n) {
        const TaskSlot &slot = entry.tasks[n];
        if (slot.worker != TaskSlot::noWorker)
            adjustUsage(slot.worker, entry, occupiedBy(entry, slot) - before[n]);
    }
    ++m_capacityVersion;
}

void PlacementPlanner::addAction(PlacementAction::Kind kind, const JobEntry &entry,
                                 std::uint32_t index, std::size_t worker, std::string_view reason)
{
    m_actions.push_back(
            {kind, entry.job.name, static_cast<int>(index),
             worker < m_workers.size() ? m_workers.at(worker).worker.name : std::string(),
             std::string(reason)});
}

} // namespace dragonflysill
