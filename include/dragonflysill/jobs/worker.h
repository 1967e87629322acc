#pragma once

#include "dragonflysill/base/resources.h"
#include "dragonflysill/jobs/job.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/** Milliseconds on a worker's own clock, which restarts with each incarnation of the worker. */
using WorkerClock = std::int64_t;

/** A worker's entry in the store. */
struct WorkerDescription
{
    std::string id;
    std::string pool;
    std::string address; ///< "IP:PORT"
    std::string zone;
    std::string instance; ///< Instance that the worker runs on; empty if unknown.
    std::string rack; ///< Empty if unknown.
    std::vector<std::string> labels;
    Resources capacity;
    std::int64_t startedMs
            = 0; ///< Start time of this incarnation in Unix milliseconds; 0 if unknown.
    /** An earlier incarnation had the same id; only set in the record of an owner's workers. */
    bool restarted = false;
    std::int64_t sequence = 0; ///< Increases with each update of the entry by one incarnation.
    bool draining = false; ///< The worker will stop by itself.
    std::optional<Milliseconds> drainTimeLeft; ///< Minimum time left while draining.

    /** Returns true if the worker has the label, or if the label is empty. */
    [[nodiscard]] bool hasLabel(std::string_view label) const
    {
        return label.empty() || std::ranges::find(labels, label) != labels.end();
    }
};

/** A worker's report of a run that has not ended. */
struct RunningReport
{
    TaskId task;
    int run = 0;
    std::string checkpoint; ///< Newest checkpoint; empty for none.
    int percent = 0; ///< Work done; 100 means that a persistent task is serving.
    /** Tail latency in ms of a persistent task that is serving, otherwise CPU in milli-cores. */
    std::optional<double> usage;
};

/** How a run ended. Logs print the numbers, so the order of the enumerators must not change. */
enum class RunEnd {
    Done,
    Failed,
    Stopped,
    HoldExpired, ///< Its hold expired.
    GangMemberEnded, ///< Another member of its gang ended.
    GangIncomplete, ///< The other members of its gang did not start in time.
};

/** A worker's report of a run that has ended. */
struct EndReport
{
    std::int64_t number = 0; ///< Incremented with each end within an incarnation of the worker.
    TaskId task;
    int run = 0;
    RunEnd end = RunEnd::Stopped;
    std::string checkpoint;
};

/** A worker's answer to a hold request. */
struct WorkerReport
{
    std::int64_t startedMs = 0; ///< Start time of the incarnation in Unix milliseconds.
    WorkerClock clock = 0; ///< The worker's clock when it answered.
    std::vector<RunningReport> running;
    std::vector<EndReport> ended; ///< Ends that have not been acknowledged.
    bool runningListed = true; ///< False if the running tasks were left out.
    std::optional<Duration> age; ///< Of the incarnation, by the time of day; not set if unknown.
};

/** Why a worker did not start a task. */
enum class StartRefusal {
    Fenced, ///< The worker has seen a higher fencing token.
    StaleRun, ///< The worker has already stopped or ended this run or a later one.
    HoldExpired, ///< The hold of the start order had expired when it arrived.
    InsufficientCapacity, ///< The task exceeds the worker's free capacity.
    InvalidTicket, ///< The queue's policy does not admit the worker, or the ticket has expired.
    Unhealthy, ///< The worker is overloaded or unhealthy and did nothing.
    Invalid, ///< The worker rejected the request as invalid.
    OtherIncarnation, ///< Another incarnation of the worker answered.
    NotSent, ///< There was no connection, or earlier orders to the worker took too long.
};

} // namespace dragonflysill
