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

/** A task in a planner: number of its job and index within the job. */
struct TaskReference
{
    std::uint32_t job = 0;
    std::uint32_t index = 0;

    bool operator==(const TaskReference &) const = default;
};

/**
 * The workers of a planner with what their tasks occupy. Workers without accelerators come first,
 * then by pool, zone and rack, so that a pool and a rack are contiguous ranges and a first fit
 * keeps accelerators free. Positions change only in rebuild().
 */
class WorkerTable
{
public:
    /** A worker with its state. */
    struct Entry
    {
        Worker worker;
        Resources used; ///< Planned sizes of its tasks.
        Resources preemptible; ///< The part of `used` that urgent tasks may take.
        std::vector<TaskReference> tasks;
        std::size_t rackEnd = 0; ///< First position after this worker's rack.
        std::int64_t quarantinedUntilMs = 0;
        int quarantines = 0; ///< In a row; each doubles the time of the next one.
        int failuresInARow = 0;
        std::uint32_t lastFailedJob = 0;
        bool failedForSeveralJobs = false;
        bool everSucceeded = false;
        bool onProbation = false; ///< After a quarantine: one task at a time until one succeeds.
        bool gone = false; ///< Removed; the position is unused until the next rebuild().
    };

    using Range = std::pair<std::size_t, std::size_t>;

    /** Adds or updates a worker; a new one gets its position with the next rebuild(). */
    void set(const Worker &worker);

    /** Returns true if a worker was added and rebuild() must be called. */
    [[nodiscard]] bool needsRebuild() const { return m_needsRebuild; }

    /**
     * Orders the workers and builds the indexes again.
     * @return the new position of each old position
     */
    std::vector<std::size_t> rebuild();

    [[nodiscard]] std::optional<std::size_t> find(std::string_view name) const;
    [[nodiscard]] std::size_t size() const { return m_entries.size(); }
    [[nodiscard]] Entry &at(std::size_t position) { return m_entries[position]; }
    [[nodiscard]] const Entry &at(std::size_t position) const { return m_entries[position]; }

    /** Returns the ranges of a pool, at most two; of all workers if the name is empty. */
    [[nodiscard]] std::vector<Range> ranges(std::string_view pool) const;

    /** Updates the indexes after a change of an entry. */
    void refresh(std::size_t position);

    /** The free resources of each worker. */
    [[nodiscard]] const WorkerIndex &free() const { return m_free; }
    /** The free resources of each worker plus what urgent tasks may take. */
    [[nodiscard]] const WorkerIndex &reclaimable() const { return m_reclaimable; }
    /** The capacity of each worker, also of one that takes no tasks now. */
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
