#pragma once

#include "dragonflysill/base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dragonflysill {

/** What a caller was told about one attempt. */
enum class CallerOutcome {
    Answered, ///< A complete response of the backend server.
    NotRun, ///< Dragonflysill-Outcome: not-run.
    Unknown, ///< Dragonflysill-Outcome: unknown.
    Interrupted, ///< The connection broke before a complete response arrived.
    Unreached, ///< No target accepted a connection.
};

/** The record of one attempt. */
struct Attempt
{
    std::string requestId;
    std::string key; ///< Idempotency-Key; empty if there was none.
    CallerOutcome outcome = CallerOutcome::Answered;
    int status = 0;
    bool correct = true; ///< False if an answer does not belong to this request.
    bool late = false; ///< True if an answer arrived after the deadline.
    Duration arrival{}; ///< Offset of the scheduled arrival.
    Duration latency{}; ///< From the scheduled arrival to the response.
};

/** How often requests and keys ran, summed over all backend servers. */
struct RunCounts
{
    std::map<std::string, int, std::less<>> byRequestId;
    std::map<std::string, int, std::less<>> byKey;
    /** Requests that an instance started for a pool while it ran another's, or after its epoch. */
    int mixedPoolStarts = 0;
};

/** Totals over all attempts. */
struct LoadSummary
{
    std::size_t attempts = 0;
    std::size_t answered = 0;
    std::size_t good = 0; ///< Answered correctly, with a status below 500, within the deadline.
    std::size_t notRun = 0;
    std::size_t unknown = 0;
    std::size_t interrupted = 0;
    std::size_t unreached = 0;
    std::size_t wrongAnswers = 0;
    std::size_t lateAnswers = 0;
    std::size_t doubledRuns = 0; ///< Keys that ran more than once.
    std::size_t falseNotRun = 0; ///< Told "not run" although the attempt ran.
    int mixedPoolStarts = 0; ///< Requests that reached an instance for a pool it had left.
    std::size_t executions = 0; ///< Runs on the backend servers, attempts of retries included.
    double goodputPerSecond = 0;
    Duration p50{};
    Duration p90{};
    Duration p99{};
    Duration longest{};
};

/**
 * Sums up attempts and compares what callers were told with what the backend servers ran.
 * @param attempts every attempt of the run
 * @param runs what the backend servers counted; empty counts skip the comparison
 * @param length the length of the run, for the goodput
 */
LoadSummary summarize(std::vector<Attempt> attempts, const RunCounts &runs, Duration length);

/** Returns the number of good answers in each second of the run, by scheduled arrival. */
std::vector<std::size_t> goodPerSecond(const std::vector<Attempt> &attempts, Duration length);

} // namespace dragonflysill
