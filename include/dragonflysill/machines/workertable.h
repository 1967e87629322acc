#pragma once

#include "dragonflysill/contracts/configuration.h"
#include "dragonflysill/machines/worker.h"
#include "dragonflysill/machines/workerindex.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dragonflysill {

/** Identifies a task in the placement planner by the id of its job and its index in the job. */
struct TaskReference
{
    std::uint32_t job = 0;
    std::uint32_t index = 0;

    bool operator==(const TaskReference &) const = default;
};

/**
 * The workers of the placement planner and the resources that their tasks occupy. Workers are
 * sorted by accelerators (those without come first), pool, zone and rack. So each rack is one
 * contiguous range, each pool at most two, and a first-fit search leaves accelerators free.
 * Positions change only in rebuild().
 */
class WorkerTable
{
public:
    /** A worker and its state. */
    struct Entry
    {
        Worker worker;
        Resources used; ///< Sum of the planned sizes of its tasks.
        Resources preemptible; ///< The part of `used` that urgent tasks may preempt.
        std::vector<TaskReference> tasks;
        std::size_t rackEnd = 0; ///< First position after the worker's rack.
        std::int64_t quarantinedUntilMs = 0; ///< Unix time; 0 if not quarantined.
        int consecutiveQuarantines = 0; ///< Each one doubles the duration of the next.
        int consecutiveFailures = 0;
        std::uint32_t lastFailedJob = 0;
        bool failedForSeveralJobs = false;
        bool everSucceeded = false;
        bool onProbation
                = false; ///< After a quarantine: runs one task at a time until one succeeds.
        bool removed = false; ///< Removed; its position is unused unless it is added again.
    };

    using Range = std::pair<std::size_t, std::size_t>;

    /** Adds or updates a worker; the next rebuild() sorts a new one into its place. */
    void set(const Worker &worker);

    /** Returns true if rebuild() must be called because the order of the workers changed. */
    [[nodiscard]] bool needsRebuild() const { return m_needsRebuild; }

    /**
     * Sorts the workers and rebuilds the indexes.
     * @return the new position of each old position
     */
    std::vector<std::size_t> rebuild();

    [[nodiscard]] std::optional<std::size_t> find(std::string_view name) const;
    [[nodiscard]] std::size_t size() const { return m_entries.size(); }
    [[nodiscard]] Entry &at(std::size_t position) { return m_entries[position]; }
    [[nodiscard]] const Entry &at(std::size_t position) const { return m_entries[position]; }

    /** Returns the ranges of a pool, at most two, or of all workers if @p pool is empty. */
    [[nodiscard]] std::vector<Range> ranges(std::string_view pool) const;

    /** Updates the indexes after an entry changed. */
    void refresh(std::size_t position);

    /** Returns the index of free resources. */
    [[nodiscard]] const WorkerIndex &free() const { return m_free; }
    /** Returns the index of free resources plus those that urgent tasks may preempt. */
    [[nodiscard]] const WorkerIndex &reclaimable() const { return m_reclaimable; }
    /** Returns the index of capacities, including workers that accept no tasks now. */
    [[nodiscard]] const WorkerIndex &capacity() const { return m_capacity; }

private:
    std::vector<Entry> m_entries;
    ByName<std::size_t> m_positions;
    ByName<std::vector<Range>> m_ranges;
    WorkerIndex m_free;
    WorkerIndex m_reclaimable;
    WorkerIndex m_capacity;
    bool m_needsRebuild = false;
};

} // namespace dragonflysill
