#pragma once

#include "dragonflysill/base/error.h"
#include "dragonflysill/jobs/job.h"
#include "dragonflysill/jobs/orderoutcome.h"
#include "dragonflysill/jobs/scheduler.h"
#include "dragonflysill/jobs/worker.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dragonflysill {

/** Asks the owner of the schedule for the status of a job. */
struct StatusQuery
{
    std::string job;
    Milliseconds wait{0}; ///< Time to wait for the end of a job that is about to end.
};

/** Asks the owner of the schedule how many jobs of a queue have not started a task. */
struct PendingQuery
{
    std::string queue;
};

/**
 * Tells the owner of the schedule of a job or cancel request that the sender has stored, before the
 * owner's watch reports it. It is not answered.
 */
struct StoredKey
{
    std::string key;
    std::string value;
    std::int64_t revision = 0;
};

/** A worker that a delegate shall call. */
struct WorkerTarget
{
    std::string id;
    std::string address; ///< "IP:PORT"
};

/** Asks a delegate to send a start order. */
struct DelegatedStart
{
    StartTask order;
    std::string address;
    Milliseconds timeout{0};
};

/** Asks a delegate to send a stop order. */
struct DelegatedStop
{
    StopTask order;
    std::string address;
    Milliseconds timeout{0};
};

/** Asks a delegate to send a pace order. */
struct DelegatedPace
{
    PaceTask order;
    std::string address;
    Milliseconds timeout{0};
};

/** Asks a delegate to extend the hold of a worker and to read its report. */
struct DelegatedHold
{
    WorkerTarget worker;
    HoldRequest request;
    Milliseconds wait{0}; ///< Time for which the worker may wait for a run to end.
    Milliseconds timeout{0}; ///< Time for the response after the wait.
    bool listRunning = true; ///< Whether the report shall list the running tasks.
};

using PeerRequest = std::variant<StatusQuery, PendingQuery, StoredKey, DelegatedStart,
                                 DelegatedStop, DelegatedPace, DelegatedHold>;

/** Answer to a StatusQuery; without a status if the peer does not know the job. */
struct StatusAnswer
{
    std::optional<JobStatus> status;
    /** Team of the job, empty for none; missing if the peer uses no teams or is an earlier version.
     */
    std::optional<std::string> team = std::nullopt;
};

/** Answer to a PendingQuery; empty if the peer does not own the schedule. */
struct PendingAnswer
{
    std::optional<int> count;
};

/** Answers to the requests; Error if a request could not be carried out or was not answered. */
using PeerAnswer = std::variant<StatusAnswer, PendingAnswer, OrderConfirmed, StartRefusal,
                                WorkerReport, Error>;

/** Number of a request that is not answered. */
constexpr std::uint32_t noCall = 0;

/** A request or answer with the number of its call. */
template <typename Message>
struct Numbered
{
    std::uint32_t call = 0;
    Message message;
};

/** The contents of one frame: messages that were due at about the same time. */
struct PeerBatch
{
    std::int64_t sentMs = 0; ///< Sender's monotonic clock when the frame was sent.
    std::int64_t fence = 0; ///< Fencing token of the owner for its orders; 0 if there are none.
    std::vector<Numbered<PeerRequest>> requests;
    std::vector<Numbered<PeerAnswer>> answers;

    [[nodiscard]] bool empty() const { return requests.empty() && answers.empty(); }
};

} // namespace dragonflysill
