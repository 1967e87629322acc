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

/** State of a maintenance wave. */
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

/** State of a job. */
enum class JobState {
    Waiting, ///< Some tasks have no worker yet.
    Running, ///< Every task has a worker.
    Finished, ///< Every task ended successfully.
    Impossible, ///< Refused because it cannot run as declared or keeps failing.
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
    int finished = 0; ///< Tasks that ended successfully.
    std::string reason; ///< Why tasks wait or cannot run; empty otherwise.
    std::string remedy; ///< What an operator can do about the reason.

    bool operator==(const JobStatus &) const = default;
};

/** The size of the shared buffer in the spare pool. */
struct BufferStatus
{
    int idleInstances = 0; ///< Idle instances in the spare pool, which are the cost of the buffer.
    int requiredInstances = 0; ///< Instances that the shared buffer needs.
    int baselineInstances
            = 0; ///< Instances that a separate buffer for each pool would need in total.

    bool operator==(const BufferStatus &) const = default;
};

/**
 * The moves, waves and jobs of the pools that one control process owns. The statuses of all control
 * processes are merged for operators.
 */
struct FleetStatus
{
    std::int64_t revision = 0; ///< View revision of the last pass.
    std::int64_t atMs = 0; ///< Unix time of the last pass in ms; 0 before the first.
    std::int64_t movesFinished = 0; ///< Moves completed since the process started.
    std::vector<MoveStatus> moves;
    std::vector<WaveStatus> waves;
    std::vector<JobStatus> jobs;
    BufferStatus buffer; ///< All zero unless the process owns the spare pool.

    bool operator==(const FleetStatus &) const = default;
};

/** Returns the name of a state as used in JSON, for example "paused". */
std::string_view toText(WaveState state);
std::string_view toText(JobState state);

/** Encodes a status as JSON, the format in which control processes exchange it for operators. */
std::string encodeFleetStatus(const FleetStatus &status);

/** Decodes a status; returns Corrupt if the text is not valid. */
Result<FleetStatus> decodeFleetStatus(std::string_view text);

/**
 * Merges the status of another process into @p target. Lists are concatenated and sorted by name,
 * counts and buffer sizes are added, and the lower revision and time are kept. While a pool changes
 * its owner, both processes may report the same element; the newer one is kept: the higher sinceMs
 * of a move or a wave, the higher ticket of a job.
 */
void mergeFleetStatus(FleetStatus &target, const FleetStatus &other);

/** Holds the newest FleetStatus of a process. Thread-safe; takes no lock except its own. */
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
