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

/** Milliseconds on a worker's own clock, which starts anew with each of its lives. */
using WorkerClock = std::int64_t;

/** What a worker says about itself in the store. */
struct WorkerDescription
{
    std::string id;
    std::string pool;
    std::string address; ///< "IP:PORT"
    std::string zone;
    std::string instance; ///< The machine it runs on; empty if unknown.
    std::string rack; ///< Empty if unknown.
    std::vector<std::string> labels;
    Resources capacity;
    std::int64_t startedMs = 0; ///< Start of its life in Unix milliseconds; 0 if unknown.
    std::int64_t sequence = 0; ///< Rises with each report of one life.
    bool draining = false;
    std::optional<Milliseconds> drainTimeLeft; ///< Least time left while draining.

    /** Returns true if the worker has the label; any worker has the empty one. */
    [[nodiscard]] bool hasLabel(std::string_view label) const
    {
        return label.empty() || std::ranges::find(labels, label) != labels.end();
    }
};

/** A run of a task that a worker reports as present. */
struct RunningReport
{
    TaskId task;
    int run = 0;
    std::string checkpoint; ///< Newest checkpoint; empty for none.
    int percent = 0; ///< Work done; for a persistent task 100 means that it serves.
    std::optional<double> usage; ///< Tail latency in ms of a serving task, else CPU in milli-cores.
};

/** How a run ended. */
enum class RunEnd {
    Done,
    Failed,
    Stopped,
    HoldExpired, ///< Its hold expired.
    GangMemberEnded, ///< Another member of its gang ended.
    GangIncomplete, ///< The other members of its gang did not arrive.
};

/** A run that a worker reports as ended. */
struct EndReport
{
    std::int64_t number = 0; ///< Rises by one with each end of the worker's life.
    TaskId task;
    int run = 0;
    RunEnd end = RunEnd::Stopped;
    std::string checkpoint;
};

/** A worker's answer to a hold. */
struct WorkerReport
{
    std::int64_t startedMs = 0;
    WorkerClock clock = 0;
    std::vector<RunningReport> running;
    std::vector<EndReport> ended;
};

/** Why a worker did not start a task. */
enum class StartRefusal {
    Fenced, ///< It has seen a higher fencing token.
    StaleRun, ///< The run was stopped or ended there, or a later one was.
    HoldExpired, ///< The hold of the start had expired on arrival.
    InsufficientCapacity, ///< The task exceeds its capacity.
    InvalidTicket, ///< The queue's policy does not admit the worker, or the ticket expired.
    Unhealthy, ///< The worker did nothing because it is overloaded or unwell.
    Invalid, ///< The worker could not use the request.
    OtherIncarnation, ///< Another life of the worker answered.
};

} // namespace dragonflysill
