#pragma once

#include "dragonflysill/jobs/scheduler.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace dragonflysill::daymodel::internal {

/**
 * The plain baseline of the Scheduler: jobs in the order of their arrival, each task on the first
 * worker of the pool with room, failed tasks again at once until their attempts are used up.
 */
class FirstInFirstOut
{
public:
    void addJob(const SubmittedJob &job);
    void addWorker(const std::string &id, const std::string &pool, const Resources &capacity);
    void removeWorker(const std::string &id) { m_workers.erase(id); }

    /** Notes the end of a run. */
    void ended(const std::string &worker, const EndReport &end);

    /** Returns the starts that are due. */
    std::vector<SchedulerAction> decide();

    [[nodiscard]] PoolLoad load(const std::string &pool) const;
    [[nodiscard]] bool empty(const std::string &worker) const;

    /** Returns true if the job was given up. */
    [[nodiscard]] bool failed(const std::string &job) const { return m_failed.contains(job); }

private:
    struct Job
    {
        SubmittedJob job;
        int step = 0; ///< The step that runs; steps follow each other.
        std::vector<int> waiting; ///< Indexes of its tasks that wait.
        int open = 0; ///< Its tasks that have not completed.
        std::map<int, int> failures; ///< By index.
    };
    struct Worker
    {
        std::string pool;
        Resources free;
        int runs = 0;
    };

    static void beginStep(Job &job);

    std::deque<std::string> m_order;
    std::map<std::string, Job> m_jobs;
    std::map<std::string, Worker> m_workers;
    std::map<std::string, PoolLoad> m_arrived;
    std::set<std::string> m_failed;
    int m_lastRun = 0;
};

} // namespace dragonflysill::daymodel::internal
