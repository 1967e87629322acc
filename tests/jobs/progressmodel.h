#pragma once

#include "dragonflysill/jobs/holdschedule.h"
#include "dragonflysill/jobs/poolbalancer.h"
#include "dragonflysill/jobs/scheduler.h"
#include "simulation.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace dragonflysill::test {

/**
 * Simulation of an owner with its workers and seeded faults, which looks for tasks that could run
 * and do not. Once there has been no fault for the contact time, a job may not be without any run
 * for 3 s while it has a ready task, sound workers have room for two such tasks and less than half
 * of the cores of its pool is in use. If it has a team, the rule applies while the team has less
 * than half of its ceiling running, and no start may bring it above the ceiling by more than a
 * tenth and one task. A job may only be given up after all attempts of a task or two crashes under
 * it, and a task that crashes its workers may be started twice after three. Two runs of a task at
 * once and a start after an acknowledged end are never allowed; workers do no more against them
 * than the protocol demands.
 */
class ProgressModel : public Simulation
{
public:
    enum class Mode {
        OnePool,
        Balanced, ///< Several pools and a standby pool, between which the balancer moves instances.
        Teams, ///< Two pools, and jobs of teams with ceilings, which they all may wait for.
    };

    ProgressModel(std::uint64_t seed, Mode mode);
    ~ProgressModel();

    /**
     * Runs the simulation; returns the first violation with the events of the job and the states
     * of the workers, empty if there is none.
     */
    std::string run();

    /** Returns the number of checks of jobs in which all conditions of the rule were met. */
    [[nodiscard]] std::int64_t observedWaits() const { return m_observedWaits; }

private:
    /** Kinds of faults; a seed uses some of them. */
    enum class Fault {
        OwnerEnds,
        Crash,
        RackCrash,
        CutOff,
        Fails,
        StandsStill,
        Slow,
        LosesAnswers,
        LateOrders,
        EntryLapses,
        Shrinks,
        Cancel,
    };
    static constexpr int faultKinds = 12;

    using RunKey = std::pair<TaskId, int>; ///< Task and number of a run.

    struct ModelRun
    {
        RunningReport row;
        Resources need;
        Duration total{0}; ///< Time that the run takes on a sound worker.
        Duration done{0};
        bool fails = false;
        bool persistent = false;
        std::optional<TimePoint> stopsAt; ///< When a run that is being stopped ends.
    };

    /** One life of a worker's process. */
    struct Process
    {
        [[nodiscard]] bool hasRunOf(const TaskId &task) const;

        std::string id;
        std::int64_t startedMs = 0;
        TimePoint begin{};
        std::int64_t fence = 0;
        WorkerClock holdUntil = 0;
        std::int64_t nextEnd = 1;
        std::map<RunKey, ModelRun> runs;
        std::map<TaskId, int> blockedRun;
        std::vector<EndReport> ended;
        std::int64_t expiredUpTo = 0; ///< The hold expired after the ends up to this number.
    };

    struct Machine
    {
        std::string name;
        std::string rack;
        std::string pool;
        std::shared_ptr<Process> process; ///< Not set while it is down, moving or in standby.
        bool moving = false;
        Resources capacity;
        double failShare = 0;
        double slowness = 1;
        bool standsStill = false;
        bool cutOff = false;
        bool losesAnswers = false;
        bool lateOrders = false;
    };

    struct ModelJob
    {
        SubmittedJob job;
        TimePoint submitted{};
        JobProgress saved;
        bool cancelled = false;
        bool hopeless = false; ///< Each of its runs fails.
        bool deadly = false; ///< Each of its runs ends its worker's process in the fault period.
        std::vector<Duration> runTimes; ///< By step.
        std::map<TaskId, int> crashes; ///< Processes that crashed with a run of the task.
        std::map<TaskId, int> startsAfterCrashes; ///< Starts after maxCrashes of them.
        std::set<TaskId> doneAcknowledged; ///< Tasks with an acknowledged end of a completed run.
        std::optional<TimePoint> lastRunAt; ///< Time of the last end of a run.
        std::string events;
    };

    /** Since when a job or a persistent task has been waiting under the conditions of the rule. */
    using Waits = std::map<std::string, TimePoint>;

    /** What becomes of the copies of an order. */
    enum class OrderLoss {
        None,
        Order, ///< No copy arrives, and none is answered.
        OrderAtOnce, ///< The same, and the owner learns at once that there is no answer.
        Answer, ///< The order is carried out, and no copy is answered.
    };

    struct MoveOrder
    {
        std::string targetPool;
        TimePoint sentAt{};
        bool answered = false;
        std::string workerBefore;
    };

    // Setup.
    void addTeams();
    void addMachines();
    void addJobs();
    [[nodiscard]] JobStep randomStep(int poolSize, bool persistent);
    [[nodiscard]] Duration randomDuration(int firstMs, int lastMs);

    // Platform.
    [[nodiscard]] std::int64_t unixMs() const;
    [[nodiscard]] Machine *machineOf(std::string_view worker);
    [[nodiscard]] WorkerClock clock(const Process &process) const;
    void beginProcess(Machine &machine, const std::string &id);
    void endProcess(Machine &machine);
    void putEntry(const Machine &machine);
    void notifyEntry(const std::string &id);
    void advance(Machine &machine, Duration passed);
    void endRun(Process &process, const RunKey &key, RunEnd how);
    std::optional<StartRefusal> applyStart(Machine &machine, const StartTask &start,
                                           std::int64_t fence);
    void applyStop(Machine &machine, const StopTask &stop, std::int64_t fence);
    void extendHold(Process &process, WorkerClock until) const;
    /**
     * Draws whether an order has a copy that arrives after the others, and if so carries out
     * @p apply then, also if the worker has restarted under its id.
     */
    bool drawStrayCopy(OrderLoss loss, TimePoint orderedAt, bool answered, Duration answerTime,
                       std::function<void()> apply);

    // Faults.
    void injectFaults();
    void inject(Fault fault);
    void faultUntil(TimePoint end);
    template <typename T>
    void setForSomeTime(Machine &machine, T Machine::*field, T value, Duration length,
                        const char *name);
    void crash(Machine &machine);
    void shrink(Machine &machine);
    void lapse(Machine &machine);

    // Owner.
    void beginOwner();
    void ownerEnds();
    void addJob(ModelJob &job, bool inherited);
    void submit(ModelJob &job);
    void decide();
    void save();
    void sendHolds();
    void hold(const std::string &id);
    void answerHold(const std::string &id, const std::shared_ptr<Process> &process,
                    const WorkerReport &report, TimePoint sentAt);
    void finishHold(const std::string &id, const std::optional<WorkerReport> &report,
                    TimePoint sentAt);
    void send(const StartTask &start);
    void send(const StopTask &stop);
    /** Draws whether an order is lost; it is followed by another fault at times. */
    [[nodiscard]] OrderLoss drawLoss(const std::string &job, Machine *machine);
    void send(const PaceTask &) { }
    void send(const RequestAdmission &) { }
    void listInstances();
    void balance();
    [[nodiscard]] FleetView buildView();
    void orderMove(const MoveInstance &move);
    void applyMove(Machine &machine, const std::string &pool);

    // Checks.
    void check();
    void checkGivenUp(const ModelJob &job, const JobProgress &progress);
    void checkStart(const StartTask &start);
    void checkCeiling(const StartTask &start);
    [[nodiscard]] const Team *teamOf(const std::string &job) const;
    /** Returns what a team really has running. */
    [[nodiscard]] Resources usedBy(const std::string &team) const;
    /** Returns true if a step's tasks need at most half of their team's ceiling, and it is free. */
    [[nodiscard]] bool teamUnderHalf(const std::string &job, const JobStep &spec) const;
    void checkStep(const ModelJob &job, const JobRun &run, std::size_t step, bool jobRuns,
                   Waits &waits);
    [[nodiscard]] bool sound(const Machine &machine) const;
    [[nodiscard]] int room(const std::string &job, std::size_t step, const JobStep &spec,
                           const std::string &pool) const;
    [[nodiscard]] int idleInstancesElsewhere(const std::string &pool) const;
    [[nodiscard]] bool underHalfInUse(const std::string &pool) const;
    [[nodiscard]] bool isRunnable(const TaskId &id, const Task &task) const;
    [[nodiscard]] std::string describeWorkers() const;
    [[nodiscard]] bool allEnded() const;
    void appendJobEvent(const std::string &job, const std::string &text);

    Mode m_mode;
    TimePoint m_faultsUntil;
    TimePoint m_lastFaultAt;
    TimePoint m_endAt;
    std::map<Fault, double> m_faultRates; ///< Probability of a fault in one step.
    bool m_guarded = false; ///< Workers refuse tasks that exceed their capacity.
    bool m_shortReports = false; ///< Most reports leave out the running tasks.
    bool m_sameIds = false; ///< A restarted worker keeps its id.
    /** Draws the losses of orders, which leave the other draws of a seed as they are. */
    Random m_lossRandom;
    /** Draws copies of orders, times of stops and short restarts in the same way. */
    Random m_protocolRandom;
    Random m_teamRandom; ///< Draws teams and their ceilings in the same way.
    std::vector<Team> m_teams;
    double m_lostOrders = 0; ///< Share of the orders to sound workers that are lost, at any time.
    std::map<std::string, std::vector<TimePoint>> m_lossTimes; ///< By job.
    std::vector<std::string> m_poolNames;
    std::map<std::string, Machine> m_machines;
    std::map<std::string, ModelJob> m_jobs;
    std::map<std::string, WorkerDescription> m_entries; ///< The store's entries of workers.
    std::set<std::string> m_lapsed; ///< Workers whose entries lapsed.
    int m_lastWorker = 0;

    std::unique_ptr<Scheduler> m_scheduler;
    std::shared_ptr<bool> m_ownerAlive;
    std::map<std::string, WorkerDescription> m_recorded; ///< Workers of the previous owner.
    HoldSchedule m_holds;
    std::unique_ptr<PoolBalancer> m_balancer;
    std::map<std::string, MoveOrder> m_orders;
    std::map<std::string, std::pair<std::string, TimePoint>> m_idleSince; ///< Worker and time.
    TimePoint m_decidedAt{};
    TimePoint m_balancedAt{};
    TimePoint m_listedAt{};
    TimePoint m_firstMoveAt{};
    bool m_changed = false;
    bool m_saving = false;
    std::int64_t m_fence = 0;

    Waits m_waits;
    TimePoint m_checkedAt{};
    std::int64_t m_observedWaits = 0;
};

} // namespace dragonflysill::test
