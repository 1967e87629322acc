#pragma once

#include "cluster.h"

#include "dragonflysill/machines/placementplanner.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace dragonflysill {

/** The interface between a simulation and a placement policy. */
class PlacementPolicy
{
public:
    virtual ~PlacementPolicy() = default;

    virtual void submit(const Job &job) = 0;
    virtual void cancel(const Job &job) = 0;
    virtual void usage(const std::string &job, int index, const Resources &usage) = 0;
    virtual void end(const std::string &job, int index, TaskOutcome outcome, std::int64_t nowMs)
            = 0;
    virtual void renew(const std::string &job, int index, std::int64_t nowMs) = 0;
    virtual std::vector<PlacementAction> decide(std::int64_t nowMs) = 0;
};

/** Uses PlacementPlanner, which the product uses. */
class PlannerPolicy : public PlacementPolicy
{
public:
    explicit PlannerPolicy(const Workload &workload);

    void submit(const Job &job) override { m_planner.setJob(job); }
    void cancel(const Job &job) override;
    void usage(const std::string &job, int index, const Resources &usage) override;
    void end(const std::string &job, int index, TaskOutcome outcome, std::int64_t nowMs) override;
    void renew(const std::string &job, int index, std::int64_t nowMs) override;
    std::vector<PlacementAction> decide(std::int64_t nowMs) override;

private:
    PlacementPlanner m_planner;
};

/**
 * The baseline: first fit by declared sizes in the order of arrival, urgent jobs first. Failed
 * tasks are restarted without delay, and jobs that do not fit are skipped.
 */
class FirstFitPolicy : public PlacementPolicy
{
public:
    explicit FirstFitPolicy(const Workload &workload);

    void submit(const Job &job) override;
    void cancel(const Job &job) override;
    void usage(const std::string &, int, const Resources &) override { }
    void end(const std::string &job, int index, TaskOutcome outcome, std::int64_t nowMs) override;
    void renew(const std::string &, int, std::int64_t) override { }
    std::vector<PlacementAction> decide(std::int64_t nowMs) override;

private:
    struct Entry
    {
        Job job;
        std::vector<int> waiting;
        std::vector<int> workers; ///< By task: index of its worker, or -1 if it is not running.
    };

    int firstFit(const Job &job) const;
    void free(Entry &entry, int index);

    std::vector<Worker> m_workers;
    std::vector<Resources> m_free;
    std::deque<Entry> m_entries; ///< In the order of arrival.
    ByName<std::size_t> m_positions;
    std::vector<PlacementAction> m_actions;
};

} // namespace dragonflysill
