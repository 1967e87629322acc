#include "dragonflysill/daymodel/daymodel.h"

#include "arrivals.h"
#include "dragonflysill/base/random.h"
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

/** Time between two decisions about instances, and between two reports of a worker. */
constexpr Duration balanceTime = 100ms;
constexpr Duration reportTime = 500ms;
/** From the order of a move until the instance works in its new pool, as on the users' platform. */
constexpr Duration moveTime = 1500ms;
/** Jobs are followed for this long after the last arrival. */
constexpr Duration aftermath = 15s;
/** Part of the credit that a job earns up to three objectives; of the users' request sheets. */
constexpr double lateCredit = 0.07;
/** Share of the workers that a trouble affects, and how many times as long slow ones take. */
constexpr double troubledWorkers = 0.15;
constexpr double slowFactor = 5;
/** A grey worker fails a task after this time. */
constexpr Duration greyTime = 60ms;
constexpr const char *standbyPool = "standby";

/** What the model knows to be true of a job. */
struct Truth
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
    std::int64_t lastEnd = 0;
    TimePoint reportAt{};
    bool news = true;
};

struct Instance
{
    std::string name;
    std::string pool;
    bool up = true;
    bool troubled = false;
    TimePoint upAt{}; ///< End of a move.
    TimePoint idleSince{};
    Worker worker;
};

/** The world around the decisions. */
class Day
{
public:
    Day(const DayShape &shape, DayPattern pattern, DayPolicies policies, std::uint64_t seed)
        : m_shape(shape)
        , m_pattern(pattern)
        , m_policies(policies)
        , m_random(seed)
        , m_arrivals(drawArrivals(shape, pattern, m_random))
    {
        if (policies.scheduler)
            m_dispatch.emplace<Scheduler>(SchedulerSettings{}, 0);
        for (const auto &pool : shape.pools) {
            for (int n = 0; n < pool.instances; ++n)
                addInstance(pool.name);
        }
        // Without a balancer nothing would ever use them.
        for (int n = 0; n < shape.standby && policies.balancer; ++n)
            addInstance(standbyPool);
        for (const auto &it : m_arrivals) {
            auto &truth = m_truth[it.job.id];
            truth.arrival = &it;
            for (const auto &step : it.job.spec.steps)
                truth.tasks += static_cast<std::size_t>(step.count);
        }
    }

    DayResult play()
    {
        const auto end = m_start + m_shape.length + aftermath;
        std::size_t next = 0;
        for (; m_now < end; m_now += tick) {
            for (; next < m_arrivals.size() && m_start + m_arrivals[next].at <= m_now; ++next)
                submit(m_arrivals[next].job);
            for (auto &it : m_instances)
                advance(it);
            if (auto *scheduler = std::get_if<Scheduler>(&m_dispatch))
                scheduler->updatesSaved(scheduler->takeUpdates(m_truth.size()), true);
            if (m_policies.balancer && (m_now - m_start) % balanceTime == Duration{0})
                balance();
            decide();
        }
        return count();
    }

private:
    [[nodiscard]] bool troubleNow() const
    {
        return m_now - m_start >= troubleBegin && m_now - m_start < troubleBegin + troubleLength;
    }

    void addInstance(const std::string &pool)
    {
        Instance it;
        it.name = "m-" + std::to_string(m_instances.size());
        it.pool = pool;
        it.idleSince = m_now;
        it.troubled = m_random.unit() < troubledWorkers;
        it.up = pool != standbyPool;
        m_instances.push_back(std::move(it));
        if (pool != standbyPool)
            beginLife(m_instances.back());
    }

    void beginLife(Instance &it)
    {
        it.up = true;
        it.worker = {};
        it.worker.id = "i-" + std::to_string(++m_lastWorker);
        m_byWorker[it.worker.id] = static_cast<std::size_t>(&it - m_instances.data());
        const Resources capacity{m_shape.milliCores, 0, 0};
        if (auto *scheduler = std::get_if<Scheduler>(&m_dispatch)) {
            WorkerDescription description;
            description.id = it.worker.id;
            description.pool = it.pool;
            description.instance = it.name;
            description.capacity = capacity;
            description.startedMs = m_lastWorker;
            scheduler->addOrUpdateWorker(description, m_now);
        } else {
            std::get<FirstInFirstOut>(m_dispatch).addWorker(it.worker.id, it.pool, capacity);
        }
    }

    void endLife(Instance &it)
    {
        if (auto *scheduler = std::get_if<Scheduler>(&m_dispatch))
            scheduler->retireWorker(it.worker.id, m_now);
        else
            std::get<FirstInFirstOut>(m_dispatch).removeWorker(it.worker.id);
        m_byWorker.erase(it.worker.id);
        it.up = false;
    }

    void submit(const SubmittedJob &job)
    {
        if (auto *scheduler = std::get_if<Scheduler>(&m_dispatch))
            scheduler->addJob(job, {}, false, Duration{0}, m_now);
        else
            std::get<FirstInFirstOut>(m_dispatch).addJob(job);
    }

    /** Lets time pass on an instance: ends of runs, reports, and the end of a move. */
    void advance(Instance &it)
    {
        if (!it.up) {
            if (it.upAt != TimePoint{} && m_now >= it.upAt) {
                it.upAt = {};
                if (it.pool != standbyPool)
                    beginLife(it);
            }
            return;
        }
        m_figures.instanceSeconds += toSeconds(tick);
        auto &worker = it.worker;
        for (auto run = worker.runs.begin(); run != worker.runs.end();) {
            const auto current = run++;
            if (current->second.endsAt <= m_now)
                end(worker, current, current->second.fails ? RunEnd::Failed : RunEnd::Done);
        }
        if (!worker.runs.empty())
            it.idleSince = m_now;
        if (worker.news || m_now >= worker.reportAt)
            report(worker);
    }

    void end(Worker &worker, std::map<TaskId, Run>::iterator run, RunEnd how)
    {
        const EndReport end{++worker.lastEnd, run->first, run->second.number, how, {}};
        auto &truth = m_truth[run->first.job];
        if (how == RunEnd::Done) {
            truth.done.insert(run->first);
            if (truth.done.size() == truth.tasks)
                truth.completed = m_now;
        } else {
            m_figures.wastedCoreSeconds += toSeconds(m_now - run->second.startedAt)
                                           * static_cast<double>(run->second.milliCores) / 1000;
        }
        m_running.erase(run->first);
        worker.runs.erase(run);
        worker.news = true;
        if (auto *fifo = std::get_if<FirstInFirstOut>(&m_dispatch))
            fifo->ended(worker.id, end);
        else
            worker.ended.push_back(end);
    }

    void report(Worker &worker)
    {
        worker.news = false;
        worker.reportAt = m_now + reportTime;
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
            worker.news = true;
    }

    void decide()
    {
        const auto actions = std::holds_alternative<Scheduler>(m_dispatch)
                                     ? std::get<Scheduler>(m_dispatch).decide(m_now, 0)
                                     : std::get<FirstInFirstOut>(m_dispatch).decide();
        for (const auto &action : actions)
            std::visit([this](const auto &order) { carryOut(order); }, action);
    }

    void carryOut(const StartTask &start)
    {
        auto &instance = m_instances[m_byWorker.at(start.worker)];
        auto &truth = m_truth[start.task.job];
        const auto &arrival = *truth.arrival;
        const auto step = static_cast<std::size_t>(start.task.step);
        if (m_running.contains(start.task) || truth.done.contains(start.task))
            ++m_figures.duplicateStarts;
        m_running.insert(start.task);
        if (!truth.firstStart)
            truth.firstStart = m_now;
        Run run;
        run.number = start.run;
        run.milliCores = arrival.job.spec.steps[step].need.milliCores;
        run.startedAt = m_now;
        auto length = arrival.runTimes[step][static_cast<std::size_t>(start.task.index)];
        const bool troubled = instance.troubled && troubleNow();
        run.fails = arrival.hopeless || (troubled && m_pattern == DayPattern::GreyWorkers);
        if (run.fails && !arrival.hopeless)
            length = greyTime;
        if (troubled && m_pattern == DayPattern::SlowWorkers)
            length = scaled(length, slowFactor);
        run.endsAt = m_now + length;
        instance.worker.runs[start.task] = run;
        if (auto *scheduler = std::get_if<Scheduler>(&m_dispatch))
            scheduler->startConfirmed(start, m_now.time_since_epoch() / 1ms, m_now);
    }

    void carryOut(const StopTask &stop)
    {
        const auto at = m_byWorker.find(stop.worker);
        auto &scheduler = std::get<Scheduler>(m_dispatch);
        if (at != m_byWorker.end()) {
            auto &worker = m_instances[at->second].worker;
            const auto run = worker.runs.find(stop.task);
            if (run != worker.runs.end() && run->second.number == stop.run)
                end(worker, run, RunEnd::Stopped);
        }
        scheduler.stopConfirmed(stop, m_now);
    }

    void carryOut(const PaceTask & /*pace*/) { }
    void carryOut(const RequestAdmission & /*question*/) { }

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
        for (const auto &pool : m_shape.pools)
            fleet.load[pool.name] = std::holds_alternative<Scheduler>(m_dispatch)
                                            ? std::get<Scheduler>(m_dispatch).load(pool.name)
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
            ++m_figures.moves;
            if (it.up)
                endLife(it);
            it.pool = move.pool;
            it.upAt = m_now + moveTime;
            it.idleSince = it.upAt;
        }
    }

    DayResult count()
    {
        std::vector<double> works;
        for (const auto &[id, truth] : m_truth)
            works.push_back(truth.arrival->work);
        std::ranges::sort(works);
        const double median = works.empty() ? 0 : works[works.size() / 2];
        double earned = 0;
        double owed = 0;
        int small = 0;
        int large = 0;
        for (const auto &[id, truth] : m_truth) {
            if (truth.arrival->hopeless)
                continue;
            countJob(truth, earned, owed);
            const auto arrived = m_start + truth.arrival->at;
            const auto wait = toSeconds(truth.firstStart.value_or(m_now) - arrived);
            const bool isSmall = truth.arrival->work < median;
            (isSmall ? m_figures.smallWait : m_figures.largeWait) += wait;
            ++(isSmall ? small : large);
        }
        m_figures.credit = owed > 0 ? earned / owed : 0;
        m_figures.smallWait /= std::max(1, small);
        m_figures.largeWait /= std::max(1, large);
        return m_figures;
    }

    [[nodiscard]] bool failed(const std::string &id) const
    {
        if (const auto *fifo = std::get_if<FirstInFirstOut>(&m_dispatch))
            return fifo->failed(id);
        const auto *job = std::get<Scheduler>(m_dispatch).job(id);
        return job != nullptr && job->progress().state == JobStatus::Failed;
    }

    void countJob(const Truth &truth, double &earned, double &owed)
    {
        ++m_figures.jobs;
        owed += truth.arrival->work;
        if (!truth.completed) {
            m_figures.falselyFailed += static_cast<int>(failed(truth.arrival->job.id));
            return;
        }
        const auto objective = targetRuntime + scaled(truth.arrival->chain, slackFactor);
        const auto took = *truth.completed - (m_start + truth.arrival->at);
        if (took <= objective) {
            ++m_figures.inTime;
            earned += truth.arrival->work;
        } else if (took <= 3 * objective) {
            ++m_figures.late;
            earned += truth.arrival->work * lateCredit;
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
    std::map<std::string, std::size_t> m_byWorker; ///< Instance by worker.
    std::map<std::string, Truth> m_truth;
    std::set<TaskId> m_running;
    std::int64_t m_lastWorker = 0;
    TimePoint m_start{1000s};
    TimePoint m_now{1000s};
    DayResult m_figures;
};

} // namespace internal

DayResult simulateDay(const DayShape &shape, DayPattern pattern, DayPolicies policies,
                      std::uint64_t seed)
{
    return internal::Day(shape, pattern, policies, seed).play();
}

} // namespace dragonflysill::daymodel
