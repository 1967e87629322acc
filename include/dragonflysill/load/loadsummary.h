#pragma once

#include "dragonflysill/base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dragonflysill {

/** The outcome of one attempt as its caller sees it. */
enum class CallerOutcome {
    Answered, ///< A complete response from the backend server.
    NotRun, ///< Dragonflysill-Outcome: not-run.
    Unknown, ///< Dragonflysill-Outcome: unknown.
    Interrupted, ///< The connection broke before a complete response arrived.
    Unreached, ///< No target accepted a connection.
};

/** One attempt of a request, as recorded by the load generator. */
struct Attempt
{
    std::string requestId;
    std::string key; ///< Idempotency-Key; empty if none was sent.
    CallerOutcome outcome = CallerOutcome::Answered;
    int status = 0;
    bool correct = true; ///< False if the response belongs to another request.
    bool late = false; ///< True if the response arrived after the deadline.
    Duration arrival{}; ///< Offset of the scheduled arrival.
    Duration latency{}; ///< From the scheduled arrival to the response.
};

/** Number of runs of each request and idempotency key, summed over all backend servers. */
struct RunCounts
{
    std::map<std::string, int, std::less<>> byRequestId;
    std::map<std::string, int, std::less<>> byKey;
    /** Requests that an instance started for a pool while requests of another pool were running, or
     * with an epoch that was no longer current. */
    int mixedPoolStarts = 0;
};

/** Totals over all attempts of a load run. */
struct LoadSummary
{
    std::size_t attempts = 0;
    std::size_t answered = 0;
    std::size_t good = 0; ///< Correct answers with a status below 500 within the deadline.
    std::size_t notRun = 0;
    std::size_t unknown = 0;
    std::size_t interrupted = 0;
    std::size_t unreached = 0;
    std::size_t wrongAnswers = 0;
    std::size_t lateAnswers = 0;
    std::size_t doubledRuns = 0; ///< Keys that ran more than once.
    std::size_t falseNotRun = 0; ///< Reported as not run although the attempt ran.
    int mixedPoolStarts = 0; ///< See RunCounts.
    std::size_t executions = 0; ///< Runs on the backend servers, including those of retries.
    double goodputPerSecond = 0;
    Duration p50{};
    Duration p90{};
    Duration p99{};
    Duration longest{};
};

/**
 * Summarizes attempts and compares the outcomes that callers saw with the runs that the backend
 * servers counted.
 * @param attempts all attempts of the load run
 * @param runs the counts of the backend servers; empty counts skip the comparison
 * @param length the duration of the load run, from which the goodput is computed
 */
LoadSummary summarize(std::vector<Attempt> attempts, const RunCounts &runs, Duration length);

/** Returns the number of good answers by the second of their scheduled arrival. */
std::vector<std::size_t> goodPerSecond(const std::vector<Attempt> &attempts, Duration length);

} // namespace dragonflysill
