#pragma once

#include "dragonflysill/jobs/scheduler.h"
#include "simulation.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace dragonflysill::test {

/**
 * Simulation of the task protocol with seeded fault injection: orders and answers are delayed,
 * lost, reordered and carried out seconds late; workers crash, restart and are disconnected; owners
 * end at any time and the next owner starts from the saved progress; saves are lost before or after
 * they are applied.
 */
class ProtocolModel : public Simulation
{
public:
    explicit ProtocolModel(std::uint64_t seed);
    ~ProtocolModel();

    /** Runs the simulation; returns the first violated guarantee, empty if there is none. */
    std::string run();

private:
    struct ModelWorker
    {
        std::string id;
        std::int64_t incarnation = 1;
        bool up = true;
        bool disconnected = false;
        std::int64_t fence = 0;
        WorkerClock holdUntil = 0;
        TimePoint clockStart{};
        std::int64_t nextEnd = 1;
        std::int64_t acknowledged = 0;
        std::map<TaskId, RunningReport> running;
        std::map<TaskId, TimePoint> finishAt;
        std::map<TaskId, int> blockedRun;
        std::vector<EndReport> ended;
        std::int64_t expiredUpTo = 0; ///< The hold expired after the ends up to this number.
    };

    [[nodiscard]] WorkerClock clock(const ModelWorker &worker) const;

    void step();
    void injectFaults();
    void beginOwner();
    void decide();
    void save();
    void sendHolds();
    void send(const StartTask &start);
    void send(const StopTask &stop);
    void send(const PaceTask &) { }
    void send(const RequestAdmission &) { }
    void hold(ModelWorker &worker);
    void crash(ModelWorker &worker);
    [[nodiscard]] static WorkerDescription describe(const ModelWorker &worker,
                                                    std::int64_t incarnation);
    void extendHold(ModelWorker &worker, WorkerClock until) const;

    std::string applyStart(ModelWorker &worker, const StartTask &start, std::int64_t fence);
    void applyStop(ModelWorker &worker, const StopTask &stop, std::int64_t fence);
    void advance(ModelWorker &worker);
    void end(ModelWorker &worker, const TaskId &task, RunEnd how);
    void acknowledge(ModelWorker &worker, std::int64_t upTo);
    void checkStart(const ModelWorker &worker, const StartTask &start);
    void checkProgress(const std::string &job, const JobProgress &progress);

    TimePoint m_decidedAt{}; ///< Time of the last full decision.
    TimePoint m_faultsUntil;
    std::map<std::string, ModelWorker> m_workers;
    std::map<std::string, SubmittedJob> m_jobs;
    std::map<std::string, JobProgress> m_saved;
    std::map<std::string, std::uint64_t> m_savedVersion;
    std::map<std::string, bool> m_holdPending;
    std::map<std::string, TimePoint> m_nextHold;
    std::set<TaskId> m_done; ///< Tasks with a completed run.
    std::set<TaskId> m_doneAcknowledged;
    std::map<TaskId, std::set<int>> m_failedAcknowledged;
    std::set<std::string> m_cancelled;
    std::unique_ptr<Scheduler> m_scheduler;
    std::shared_ptr<bool> m_ownerAlive;
    std::int64_t m_fence = 0;
    int m_generation = 0;
    bool m_saving = false;
};

} // namespace dragonflysill::test
