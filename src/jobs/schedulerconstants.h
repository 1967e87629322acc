#pragma once

#include "dragonflysill/base/time.h"
#include "dragonflysill/jobs/job.h"

#include <cstddef>

namespace dragonflysill::internal {

using namespace std::chrono_literals;

/**
 * 100 %. As progress of a persistent task it means that the task is serving (defined by the worker
 * protocol); as pace of a run it means full speed.
 */
constexpr int fullPercent = 100;
/** Maximum fraction by which a worker's clock is slow, from the worker protocol. */
constexpr double maxClockDrift = 0.02;
/** Maximum additional duration of a hold due to delays of the network and of the worker. */
constexpr Duration holdMargin = 100ms;
/** Maximum time from the decision to send a call to a worker to the arrival of its last copy. */
constexpr Duration maxCallTime = 2s;
/** Maximum time to the answer of an order of which no second copy has been sent. */
constexpr Duration singleCopyTime = 80ms;
/** Maximum age of a report, from its request, after which its incarnation may have ended. */
constexpr Duration maxReportAge = 1s;
/** Maximum error of the time of day, which may jump, from the platform's rules. */
constexpr Duration maxWallClockError = 5s;
/** Maximum time from the start of an incarnation until its owner has heard of it. */
constexpr Duration maxFirstContactTime = 6s;
/** Time after which a stop whose outcome is not known, or an unconfirmed pace, is sent again. */
constexpr Duration orderRetryDelay = 500ms;
/** Interval between two checks of a worker's runs for missing answers and progress. */
constexpr Duration runCheckInterval = 200ms;
/** Minimum time without progress after which a run counts as stalled. */
constexpr Duration minStallTimeout = 1500ms;
/**
 * Maximum time that the last attempt of a task waits for a worker that has completed a run since
 * the task's last failure. A worker that starts to fail all its runs looks healthy until the first
 * of them ends.
 */
constexpr Duration lastAttemptWait = 1500ms;
/**
 * Maximum time that a task waits for a worker that is neither slow nor in quarantine while at most
 * half of its pool is in use; a task that could run must run within 3 s.
 */
constexpr Duration betterWorkerDelay = 2500ms;
/** Age of a run from which a crash of its worker is not put down to its task. */
constexpr Duration crashSuspicionTime = 3s;
/** Time for which a task that may crash its worker runs without tasks of other jobs beside it. */
constexpr Duration probationTime = 1s;
/** Maximum time that such a task waits for a worker without tasks of other jobs. */
constexpr Duration emptyWorkerDelay = 1s;
/**
 * Maximum time that a task waits for the answers of workers that may have crashed under it, once
 * they would be too many.
 */
constexpr Duration crashAnswerDelay = 2500ms;
/** Time without an answer to a save after which the store may have become unavailable. */
constexpr Duration delayedSaveTime = 100ms;
/** Minimum number of workers of a rack that fall silent together if it has failed. */
constexpr std::ptrdiff_t rackFailureWorkers = 3;
/** Maximum time between the first and the last of them. */
constexpr Duration rackFailureSpread = 500ms;
/** Minimum progress, in percent, from which a run time can be projected. */
constexpr int minProgressPercent = 10;
/** Maximum start-up time of a persistent task; after that it is started on another worker. */
constexpr Duration startupTimeout = 5000ms;
/** Pause of starts on a worker that refused one for lack of capacity or as stale. */
constexpr Duration capacityPause = 100ms;
/** Pause of starts on a worker that refused one because it is overloaded or unhealthy. */
constexpr Duration unhealthyPause = 500ms;
/** Maximum time for which the entry of a worker that has ended may stay in the store. */
constexpr Duration retiredRetention = 10s;
/**
 * Time since its last answer for which an unlisted worker is kept to learn whether it has crashed.
 * One that has crashed is replaced, and one that was cut off answers again, within some seconds.
 */
constexpr Duration unexplainedRetention = 20s;
/**
 * Time for which a reachable worker still gets tasks after its entry was removed from the store.
 * Entries that expired during a store outage are back within about 2 s of the store's return.
 */
constexpr Duration unlistGrace = 2500ms;
/** Time before a ticket's expiry from which it is not used, to allow for the way to the worker. */
constexpr Duration ticketMargin = 200ms;
/** Delay before an unanswered admission request is repeated. */
constexpr Duration admissionRetryDelay = 250ms;
/** Workers named in an admission request for each waiting task, since each takes time. */
constexpr int admissionWorkersPerTask = 2;
/** Bounds of the number of workers in one admission request. */
constexpr int minAdmissionWorkers = 4;
constexpr int maxAdmissionWorkers = 30;
/** Interval at which the queues of waiting steps take over changed run time estimates. */
constexpr Duration queueRebuildInterval = 1000ms;
/** Interval between two choices of the jobs that are deferred. */
constexpr Duration overloadPlanInterval = 100ms;
/** Number of jobs over which the work of a mean job of a queue is taken. */
constexpr double meanWorkWindow = 100;
/** Steps without a suitable worker after which a decision after an event ends the search. */
constexpr int maxStepsWithoutWorker = 16;
/** Steps that wait for their team's ceiling after which such a decision passes over the team. */
constexpr int maxStepsWithoutTeamRoom = 8;
/** Maximum number of waiting steps of a pool that a decision after an event considers. */
constexpr int maxStepsAfterEvent = 64;
/** Time to stop a persistent task, to start it on another worker and until it serves there. */
constexpr Duration persistentMoveTime = 2000ms;
/**
 * Multiple of that time for which the moves of a step are planned, since owners may change and
 * pools may be full meanwhile.
 */
constexpr int moveTimeReserve = 2;
/**
 * Number of busy workers with room beside their persistent tasks from which a persistent task may
 * be moved without a free one: among so many, room becomes free within a fraction of a second.
 */
constexpr int minBusyWorkersForMove = 8;
/**
 * Time for which persistent tasks of a leaving worker wait for one that does not await maintenance;
 * enough for an instance that is moved to the pool for them.
 */
constexpr Duration maintainedWorkerDelay = 4000ms;
/**
 * Time for which a pool keeps the demand for one more worker after a persistent task found no room;
 * until then the task starts on the worker that has come.
 */
constexpr Duration lackingRetention = 1000ms;
/** Maximum number of ends in a worker's report, from the worker protocol. */
constexpr std::size_t maxEndsPerReport = 500;
/** Multiple of its expected run time after which a speculative task gets a second copy. */
constexpr int copyThresholdFactor = 2;

/** Returns the maximum local time for which a hold of this length may last. */
inline Duration maxHoldTime(Duration hold)
{
    return hold + scaled(hold, maxClockDrift) + holdMargin;
}

} // namespace dragonflysill::internal
