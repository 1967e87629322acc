#include "dragonflysill/daymodel/daymodel.h"

#include "arrivals.h"
#include "dragonflysill/base/random.h"
#include "dragonflysill/jobs/overloadplan.h"
#include "dragonflysill/jobs/poolbalancer.h"
#include "dragonflysill/jobs/scheduler.h"
#include "firstinfirstout.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <set>
#include <utility>
#include <variant>

namespace dragonflysill::daymodel {

namespace internal {

using namespace std::chrono_literals;

/** Time between two balancing passes. */
constexpr Duration balanceInterval = 100ms;
/** Longest time between two reports of a worker. */
constexpr Duration reportInterval = 500ms;
/** From a move's decision until the instance is up in its new pool, as on the users' platform. */
constexpr Duration moveDuration = 1500ms;
/** The simulation continues for this long after the arrivals end, so that jobs can complete. */
constexpr Duration completionPeriod = 15s;
/** Weight with which no job is beyond the rate of its team. */
constexpr double unlimitedWeight = 1e9;
/** Share of the credit for a job that takes up to three times its objective, as in the users'
 * request sheets. */
constexpr double lateCreditShare = 0.07;
/** Share of the instances that are affected in the fault period. */
constexpr double faultyInstanceShare = 0.15;
/** Run time on slow workers relative to the normal one. */
constexpr double slowFactor = 5;
/** Time after which a task fails on a grey worker. */
constexpr Duration greyFailureDelay = 60ms;
constexpr const char *standbyPool = "standby";

/** The actual state of a job, independent of what the scheduler knows. */
struct ActualJobState
{
    const Arrival *arrival = nullptr;
    std::set<TaskId> done;
    std::size_t tasks = 0;
    std::optional<TimePoint> firstStart;
    std::optional<TimePoint> completed;
};

struct Run
{
    int number = 0;
    std::int64_t milliCores = 0;
    TimePoint startedAt{};
    TimePoint endsAt{};
    bool fails = false;
};

struct Worker
{
    std::string id;
    std::map<TaskId, Run> runs;
    std::vector<EndReport> ended;
    std::int64_t lastEndNumber = 0;
    TimePoint reportAt{};
    bool reportPending = true;
};

struct Instance
{
    std::string name;
    std::string pool;
    bool up = true;
    bool faulty = false;
    TimePoint upAt{}; ///< End of a running move; TimePoint{} if there is none.
    TimePoint idleSince{};
    Worker worker;
};

/** Simulates callers, workers and instances, and applies the decisions of the policies. */
class DaySimulation
{
public:
    DaySimulation(const DayShape &shape, DayPattern pattern, DayPolicies policies,
                  std::uint64_t seed)
        : m_shape(shape)
        , m_pattern(pattern)
        , m_policies(policies)
        , m_random(seed)
        , m_arrivals(drawArrivals(shape, pattern, m_random))
    {
        if (policies.scheduler)
            setTeams(m_dispatch.emplace<Scheduler>(SchedulerSettings{}, 0));
        for (const auto &pool : shape.pools) {
            for (int n = 0; n < pool.instances; ++n)
                addInstance(pool.name);
        }
        // Standby instances are only used by the balancer.
        for (int n = 0; n < shape.standby && policies.balancer; ++n)
            addInstance(standbyPool);
        std::map<std::string, int> jobs;
        for (const auto &it : m_arrivals) {
            auto &state = m_jobStates[it.job.id];
            state.arrival = &it;
            auto &mean = m_meanWork[it.job.queue];
            mean += (it.coreSeconds - mean) / ++jobs[it.job.queue];
            for (const auto &step : it.job.spec.steps)
                state.tasks += static_cast<std::size_t>(step.count);
        }
    }

    DayResult simulate()
    {
        const auto end = m_start + m_shape.length + completionPeriod;
        std::size_t next = 0;
        for (; m_now < end; m_now += tick) {
            for (; next < m_arrivals.size() && m_start + m_arrivals[next].at <= m_now; ++next)
                submit(m_arrivals[next].job);
            for (auto &it : m_instances)
                advance(it);
            if (auto *scheduler = std::get_if<Scheduler>(&m_dispatch))
                scheduler->updatesSaved(scheduler->takeUpdates(m_jobStates.size()), true);
            if (m_policies.balancer && (m_now - m_start) % balanceInterval == Duration{0})
                balance();
            decide();
        }
        return summarize();
    }

private:
    void setTeams(Scheduler &scheduler) const
    {
        auto teams = teamsOf(m_shape, m_pattern);
        if (teams.empty())
            return;
        double weight = 0;
        for (const auto &it : teams)
            weight += it.weight / static_cast<double>(teams.size());
        for (auto &it : teams) {
            if (m_policies.teams == TeamPolicy::EqualShares)
                it.weight = weight;
            else if (m_policies.teams == TeamPolicy::None)
                it.weight = unlimitedWeight;
        }
        scheduler.setTeams(teams);
        scheduler.setOverloadPlanning(m_policies.teams != TeamPolicy::None);
    }

    [[nodiscard]] bool inFaultPeriod() const
    {
        return m_now - m_start >= faultStart && m_now - m_start < faultStart + faultDuration;
    }

    void addInstance(const std::string &pool)
    {
        Instance it;
        it.name = "m-" + std::to_string(m_instances.size());
        it.pool = pool;
        it.idleSince = m_now;
        it.faulty = m_random.unit() < faultyInstanceShare;
        it.up = pool != standbyPool;
        m_instances.push_back(std::move(it));
        if (pool != standbyPool)
            startWorker(m_instances.back());
    }

    void startWorker(Instance &it)
    {
        it.up = true;
        it.worker = {};
        it.worker.id = "i-" + std::to_string(++m_lastWorkerNumber);
        m_instanceByWorker[it.worker.id] = static_cast<std::size_t>(&it - m_instances.data());
        const Resources capacity{m_shape.milliCores, 0, 0};
        if (auto *scheduler = std::get_if<Scheduler>(&m_dispatch)) {
            WorkerDescription description;
            description.id = it.worker.id;
            description.pool = it.pool;
            description.instance = it.name;
            description.capacity = capacity;
            description.startedMs = m_lastWorkerNumber;
            scheduler->addOrUpdateWorker(description, m_now);
        } else {
            std::get<FirstInFirstOut>(m_dispatch).addWorker(it.worker.id, it.pool, capacity);
        }
    }

    void stopWorker(Instance &it)
    {
        if (auto *scheduler = std::get_if<Scheduler>(&m_dispatch))
            scheduler->retireWorker(it.worker.id, Scheduler::WorkerEnd::Down, m_now);
        else
            std::get<FirstInFirstOut>(m_dispatch).removeWorker(it.worker.id);
        m_instanceByWorker.erase(it.worker.id);
        it.up = false;
    }

    void submit(const SubmittedJob &job)
    {
        if (auto *scheduler = std::get_if<Scheduler>(&m_dispatch))
            scheduler->addJob(job, {}, false, Duration{0}, m_now);
        else
            std::get<FirstInFirstOut>(m_dispatch).addJob(job);
    }

    /** Advances an instance to the current time: completes its move, ends runs and reports. */
    void advance(Instance &it)
    {
        if (!it.up) {
            if (it.upAt != TimePoint{} && m_now >= it.upAt) {
                it.upAt = {};
                if (it.pool != standbyPool)
                    startWorker(it);
            }
            return;
        }
        m_result.instanceSeconds += toSeconds(tick);
        auto &worker = it.worker;
        for (auto run = worker.runs.begin(); run != worker.runs.end();) {
            const auto current = run++;
            if (current->second.endsAt <= m_now)
                end(worker, current, current->second.fails ? RunEnd::Failed : RunEnd::Done);
        }
        if (!worker.runs.empty())
            it.idleSince = m_now;
        if (worker.reportPending || m_now >= worker.reportAt)
            report(worker);
    }

    void end(Worker &worker, std::map<TaskId, Run>::iterator run, RunEnd outcome)
    {
        const EndReport end{++worker.lastEndNumber, run->first, run->second.number, outcome, {}};
        auto &state = m_jobStates[run->first.job];
        if (outcome == RunEnd::Done) {
            state.done.insert(run->first);
            if (state.done.size() == state.tasks)
                state.completed = m_now;
        } else {
            m_result.wastedCoreSeconds += toSeconds(m_now - run->second.startedAt)
                                          * static_cast<double>(run->second.milliCores) / 1000;
        }
        m_running.erase(run->first);
        worker.runs.erase(run);
        worker.reportPending = true;
        if (auto *fifo = std::get_if<FirstInFirstOut>(&m_dispatch))
            fifo->ended(worker.id, end);
        else
            worker.ended.push_back(end);
    }

    void report(Worker &worker)
    {
        worker.reportPending = false;
        worker.reportAt = m_now + reportInterval;
        auto *scheduler = std::get_if<Scheduler>(&m_dispatch);
        if (scheduler == nullptr)
            return;
        const auto request = scheduler->holdRequest(worker.id, m_now);
        std::erase_if(worker.ended, [&request](const EndReport &it) {
            return it.number <= request.acknowledgedEnds;
        });
        WorkerReport report;
        report.startedMs = scheduler->worker(worker.id)->description.startedMs;
        report.clock = m_now.time_since_epoch() / 1ms;
        for (const auto &[task, run] : worker.runs) {
            const auto percent = 100 * (m_now - run.startedAt) / (run.endsAt - run.startedAt);
            report.running.push_back({task, run.number, {}, static_cast<int>(percent), {}});
        }
        report.ended = worker.ended;
        scheduler->holdAnswered(worker.id, report, m_now, m_now);
        if (!worker.ended.empty())
            worker.reportPending = true;
    }

    void decide()
    {
        auto *scheduler = std::get_if<Scheduler>(&m_dispatch);
        do {
            const auto actions = scheduler != nullptr
                                         ? scheduler->decide(m_now, 0)
                                         : std::get<FirstInFirstOut>(m_dispatch).decide();
            for (const auto &action : actions)
                std::visit([this](const auto &order) { execute(order); }, action);
        } while (scheduler != nullptr && scheduler->hasMoreStarts());
    }

    void execute(const StartTask &start)
    {
        auto &instance = m_instances[m_instanceByWorker.at(start.worker)];
        auto &state = m_jobStates[start.task.job];
        const auto &arrival = *state.arrival;
        const auto step = static_cast<std::size_t>(start.task.step);
        if (m_running.contains(start.task) || state.done.contains(start.task))
            ++m_result.duplicateStarts;
        m_running.insert(start.task);
        if (!state.firstStart)
            state.firstStart = m_now;
        Run run;
        run.number = start.run;
        run.milliCores = arrival.job.spec.steps[step].need.milliCores;
        run.startedAt = m_now;
        auto length = arrival.runTimes[step][static_cast<std::size_t>(start.task.index)];
        const bool faulty = instance.faulty && inFaultPeriod();
        run.fails = arrival.alwaysFails || (faulty && m_pattern == DayPattern::GreyWorkers);
        if (run.fails && !arrival.alwaysFails)
            length = greyFailureDelay;
        if (faulty && m_pattern == DayPattern::SlowWorkers)
            length = scaled(length, slowFactor);
        run.endsAt = m_now + length;
        instance.worker.runs[start.task] = run;
        if (auto *scheduler = std::get_if<Scheduler>(&m_dispatch))
            scheduler->startConfirmed(start, m_now.time_since_epoch() / 1ms, m_now);
    }

    void execute(const StopTask &stop)
    {
        const auto at = m_instanceByWorker.find(stop.worker);
        auto &scheduler = std::get<Scheduler>(m_dispatch);
        if (at != m_instanceByWorker.end()) {
            auto &worker = m_instances[at->second].worker;
            const auto run = worker.runs.find(stop.task);
            if (run != worker.runs.end() && run->second.number == stop.run)
                end(worker, run, RunEnd::Stopped);
        }
        scheduler.stopConfirmed(stop, m_now);
    }

    void execute(const PaceTask & /*pace*/) { }
    void execute(const RequestAdmission & /*question*/) { }

    [[nodiscard]] bool empty(const Instance &it) const
    {
        if (const auto *scheduler = std::get_if<Scheduler>(&m_dispatch)) {
            const auto *worker = scheduler->worker(it.worker.id);
            return worker != nullptr && worker->reachable && worker->empty();
        }
        return std::get<FirstInFirstOut>(m_dispatch).empty(it.worker.id);
    }

    void balance()
    {
        FleetView fleet;
        fleet.standbyPool = standbyPool;
        auto *scheduler = std::get_if<Scheduler>(&m_dispatch);
        auto loads = scheduler == nullptr ? std::map<std::string, PoolLoad, std::less<>>()
                                          : scheduler->loads(m_now);
        for (const auto &pool : m_shape.pools)
            fleet.load[pool.name] = scheduler != nullptr
                                            ? loads[pool.name]
                                            : std::get<FirstInFirstOut>(m_dispatch).load(pool.name);
        for (const auto &it : m_instances) {
            InstanceView row;
            row.name = it.name;
            row.pool = it.pool;
            row.standby = it.pool == standbyPool;
            row.orderPending = it.upAt != TimePoint{};
            row.usable = it.up;
            row.empty = it.up && empty(it);
            row.idleSince = it.idleSince;
            row.milliCores = m_shape.milliCores;
            fleet.instances.push_back(std::move(row));
        }
        for (const auto &move : m_balancer.decide(fleet, m_now)) {
            auto &it = *std::ranges::find(m_instances, move.instance, &Instance::name);
            ++m_result.moves;
            if (it.up)
                stopWorker(it);
            it.pool = move.pool;
            it.upAt = m_now + moveDuration;
            it.idleSince = it.upAt;
        }
        if (scheduler == nullptr)
            return;
        scheduler->setObtainableCores(m_balancer.obtainableCores());
        for (const auto &it : m_instances) {
            if (it.up)
                scheduler->setLeaving(it.worker.id, m_balancer.yielding().contains(it.name));
        }
    }

    DayResult summarize()
    {
        std::vector<double> coreSeconds;
        for (const auto &[id, state] : m_jobStates)
            coreSeconds.push_back(state.arrival->coreSeconds);
        std::ranges::sort(coreSeconds);
        const double median = coreSeconds.empty() ? 0 : coreSeconds[coreSeconds.size() / 2];
        double earned = 0;
        double owed = 0;
        int small = 0;
        int large = 0;
        std::map<std::string, std::pair<double, double>> teams; // Earned and owed.
        for (const auto &[id, state] : m_jobStates) {
            if (state.arrival->alwaysFails || !state.arrival->owed)
                continue;
            const double before = earned;
            addJobResult(state, earned, owed);
            auto &team = teams[state.arrival->job.team];
            team.first += earned - before;
            team.second += state.arrival->coreSeconds;
            const auto arrived = m_start + state.arrival->at;
            const auto wait = toSeconds(state.firstStart.value_or(m_now) - arrived);
            const bool isSmall = state.arrival->coreSeconds < median;
            (isSmall ? m_result.smallJobWait : m_result.largeJobWait) += wait;
            ++(isSmall ? small : large);
        }
        m_result.credit = owed > 0 ? earned / owed : 0;
        m_result.value /= std::max(1.0, m_owedValue);
        if (teams.size() > 1) {
            m_result.worstTeamCredit = 1;
            for (const auto &[name, it] : teams)
                m_result.worstTeamCredit = std::min(m_result.worstTeamCredit, it.first / it.second);
        }
        m_result.smallJobWait /= std::max(1, small);
        m_result.largeJobWait /= std::max(1, large);
        return m_result;
    }

    [[nodiscard]] bool failed(const std::string &id) const
    {
        if (const auto *fifo = std::get_if<FirstInFirstOut>(&m_dispatch))
            return fifo->failed(id);
        const auto *job = std::get<Scheduler>(m_dispatch).job(id);
        return job != nullptr && job->progress().state == JobStatus::Failed;
    }

    void addJobResult(const ActualJobState &state, double &earned, double &owed)
    {
        ++m_result.jobs;
        owed += state.arrival->coreSeconds;
        const double value
                = jobValue(state.arrival->coreSeconds, m_meanWork.at(state.arrival->job.queue));
        m_owedValue += value;
        if (!state.completed) {
            m_result.falselyFailed += static_cast<int>(failed(state.arrival->job.id));
            return;
        }
        const auto objective = targetRuntime + scaled(state.arrival->criticalPath, slackFactor);
        const auto turnaround = *state.completed - (m_start + state.arrival->at);
        if (turnaround <= objective) {
            ++m_result.inTime;
            earned += state.arrival->coreSeconds;
            m_result.value += value;
        } else if (turnaround <= 3 * objective) {
            ++m_result.late;
            earned += state.arrival->coreSeconds * lateCreditShare;
            m_result.value += value * lateCreditShare;
        }
    }

    const DayShape &m_shape;
    DayPattern m_pattern;
    DayPolicies m_policies;
    Random m_random;
    std::vector<Arrival> m_arrivals;
    std::variant<FirstInFirstOut, Scheduler> m_dispatch;
    PoolBalancer m_balancer;
    std::vector<Instance> m_instances;
    std::map<std::string, std::size_t> m_instanceByWorker; ///< Index in m_instances by worker id.
    std::map<std::string, ActualJobState> m_jobStates; ///< By job id.
    std::set<TaskId> m_running;
    std::int64_t m_lastWorkerNumber = 0;
    TimePoint m_start{1000s};
    TimePoint m_now{1000s};
    std::map<std::string, double> m_meanWork; ///< Core-seconds of a mean job, by queue.
    double m_owedValue = 0;
    DayResult m_result;
};

} // namespace internal

DayResult simulateDay(const DayShape &shape, DayPattern pattern, DayPolicies policies,
                      std::uint64_t seed)
{
    return internal::DaySimulation(shape, pattern, policies, seed).simulate();
}

} // namespace dragonflysill::daymodel
