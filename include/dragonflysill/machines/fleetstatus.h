#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/machines/instancerecord.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/** A move of an instance between pools that is not complete. */
struct MoveStatus
{
    std::string instance;
    std::string fromPool;
    std::string toPool;
    InstancePhase phase = InstancePhase::Serving; ///< Phase of the instance's record.
    std::int64_t epoch = 0; ///< Epoch of the instance's record.
    std::int64_t ticket = 0; ///< Number of the ticket that declared the target pool.
    std::int64_t sinceMs = 0; ///< Unix time of the last phase change.
    std::vector<std::string> waitingFor; ///< Entries that have not acknowledged this epoch.
    std::string reason; ///< What the move waits for; empty if it makes progress.
    std::string remedy; ///< What an operator can do about the reason.

    bool operator==(const MoveStatus &) const = default;
};

/** Where a maintenance wave stands. */
enum class WaveState { Running, Paused, Finished, Cancelled };

/** The progress of a maintenance order. */
struct WaveStatus
{
    std::string name; ///< Name of the maintenance order.
    std::int64_t ticket = 0; ///< Number of the ticket that last changed the order.
    WaveState state = WaveState::Running;
    int total = 0; ///< Instances that the order covers.
    int done = 0; ///< Instances that were maintained.
    std::vector<std::string> active; ///< Instances in maintenance now.
    std::int64_t sinceMs = 0; ///< Unix time of the last change of state.
    std::string reason; ///< Why the wave is paused or makes no progress; empty otherwise.
    std::string remedy; ///< What an operator can do about the reason.

    bool operator==(const WaveStatus &) const = default;
};

/** What became of a job's tasks. */
enum class JobState {
    Waiting, ///< Some tasks have no worker yet.
    Running, ///< Every task has a worker.
    Finished, ///< Every task ended.
    Impossible, ///< No worker can ever run it as declared.
    Cancelled,
};

/** The placement of a job. */
struct JobStatus
{
    std::string name;
    std::string team;
    std::int64_t ticket = 0; ///< Number of the ticket that last changed the job.
    JobState state = JobState::Waiting;
    int tasks = 0; ///< Declared tasks.
    int placed = 0; ///< Tasks that have a worker.
    int finished = 0; ///< Tasks that ended.
    std::string reason; ///< Why tasks wait or cannot run; empty otherwise.
    std::string remedy; ///< What an operator can do about the reason.

    bool operator==(const JobStatus &) const = default;
};

/** The size of the shared buffer in the spare pool. */
struct BufferStatus
{
    int idleInstances = 0; ///< Instances held idle in the spare pool now: the buffer cost.
    int requiredInstances = 0; ///< Instances that the shared buffer needs.
    int baselineInstances = 0; ///< What the sum of a separate buffer for each pool would need.

    bool operator==(const BufferStatus &) const = default;
};

/**
 * What the fleet decisions of one control process report: moves, waves and jobs of the pools whose
 * lease it holds. The states of several control processes are merged for operators.
 */
struct FleetStatus
{
    std::int64_t revision = 0; ///< View revision of the last decision.
    std::int64_t atMs = 0; ///< Unix time of the last decision; 0 before the first.
    std::int64_t movesFinished = 0; ///< Moves completed since the process started.
    std::vector<MoveStatus> moves;
    std::vector<WaveStatus> waves;
    std::vector<JobStatus> jobs;
    BufferStatus buffer; ///< All zero unless the process holds the spare pool's lease.

    bool operator==(const FleetStatus &) const = default;
};

/** Returns the fixed text of a state, for example "paused". */
std::string_view toText(WaveState state);
std::string_view toText(JobState state);

/** Returns a status as JSON text, the format of the operators' interface between processes. */
std::string encodeFleetStatus(const FleetStatus &status);

/** Decodes a status; Corrupt if the text is not a status. */
Result<FleetStatus> decodeFleetStatus(std::string_view text);

/**
 * Merges the status of another process into @p target: lists are concatenated and ordered by name,
 * counts and buffer sizes are added, the lower revision and time are kept. An element that both
 * report, which happens while a lease changes its holder, is taken from the later state: of a move
 * or a wave the higher sinceMs, of a job the higher ticket.
 */
void mergeFleetStatus(FleetStatus &target, const FleetStatus &other);

/** Holds the newest FleetStatus of a process. Thread-safe; no other lock is taken inside. */
class FleetStatusHolder
{
public:
    /** Replaces the status. */
    void set(FleetStatus status);

    /** Returns a copy of the status. */
    [[nodiscard]] FleetStatus get() const;

private:
    mutable std::mutex m_mutex;
    FleetStatus m_status;
};

} // namespace dragonflysill
