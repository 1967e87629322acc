#pragma once

#include "dragonflysill/jobs/scheduler.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace dragonflysill::daymodel::internal {

/**
 * The baseline for the Scheduler: starts jobs in the order of their arrival and each task on the
 * first worker of the pool with enough free capacity. Failed tasks are retried without delay until
 * the job's attempts are used up.
 */
class FirstInFirstOut
{
public:
    void addJob(const SubmittedJob &job);
    void addWorker(const std::string &id, const std::string &pool, const Resources &capacity);
    void removeWorker(const std::string &id) { m_workers.erase(id); }

    /** Records the end of a run and queues a retry, the next step or nothing. */
    void ended(const std::string &worker, const EndReport &end);

    /** Returns the tasks to start now. */
    std::vector<SchedulerAction> decide();

    [[nodiscard]] PoolLoad load(const std::string &pool) const;
    [[nodiscard]] bool empty(const std::string &worker) const;

    /** Returns true if a task of the job has used up its attempts. */
    [[nodiscard]] bool failed(const std::string &job) const { return m_failed.contains(job); }

private:
    struct Job
    {
        SubmittedJob job;
        int step = 0; ///< The current step; steps run one after another.
        std::vector<int> waiting; ///< Indexes of the tasks of the step that are not started.
        int open = 0; ///< Number of tasks of the step that have not completed.
        std::map<int, int> failures; ///< By task index.
    };
    struct Worker
    {
        std::string pool;
        Resources free;
        int runs = 0;
    };

    static void beginStep(Job &job);

    std::deque<std::string> m_order; ///< Ids of open jobs in the order of arrival.
    std::map<std::string, Job> m_jobs;
    std::map<std::string, Worker> m_workers;
    std::map<std::string, PoolLoad> m_arrived; ///< Total arrivals by pool.
    std::set<std::string> m_failed;
    int m_lastRun = 0;
};

} // namespace dragonflysill::daymodel::internal
