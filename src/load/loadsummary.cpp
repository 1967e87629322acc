#include "dragonflysill/load/loadsummary.h"

#include <algorithm>
#include <cmath>

namespace dragonflysill {

namespace internal {

constexpr int firstServerError = 500;

bool isGood(const Attempt &attempt)
{
    return attempt.outcome == CallerOutcome::Answered && attempt.correct && !attempt.late
           && attempt.status < firstServerError;
}

void addToSummary(LoadSummary &summary, const Attempt &attempt)
{
    ++summary.attempts;
    summary.good += isGood(attempt) ? 1 : 0;
    switch (attempt.outcome) {
    case CallerOutcome::Answered:
        ++summary.answered;
        summary.wrongAnswers += attempt.correct ? 0 : 1;
        summary.lateAnswers += attempt.late ? 1 : 0;
        break;
    case CallerOutcome::NotRun:
        ++summary.notRun;
        break;
    case CallerOutcome::Unknown:
        ++summary.unknown;
        break;
    case CallerOutcome::Interrupted:
        ++summary.interrupted;
        break;
    case CallerOutcome::Unreached:
        ++summary.unreached;
        break;
    }
}

bool attemptRan(const RunCounts &runs, const Attempt &attempt)
{
    return runs.byRequestId.contains(attempt.requestId);
}

Duration percentile(const std::vector<Duration> &sorted, double share)
{
    if (sorted.empty())
        return {};
    const double rank = std::ceil(share * static_cast<double>(sorted.size()));
    const auto index = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
    return sorted[std::min(index, sorted.size() - 1)];
}

} // namespace internal

LoadSummary summarize(std::vector<Attempt> attempts, const RunCounts &runs, Duration length)
{
    LoadSummary summary;
    std::vector<Duration> latencies;
    for (const auto &it : attempts) {
        internal::addToSummary(summary, it);
        if (it.outcome == CallerOutcome::NotRun && internal::attemptRan(runs, it))
            ++summary.falseNotRun;
        if (it.outcome == CallerOutcome::Answered)
            latencies.push_back(it.latency);
    }
    for (const auto &it : runs.byKey)
        summary.doubledRuns += it.second > 1 ? 1 : 0;
    for (const auto &it : runs.byRequestId)
        summary.executions += static_cast<std::size_t>(it.second);
    summary.mixedPoolStarts = runs.mixedPoolStarts;
    std::sort(latencies.begin(), latencies.end());
    summary.p50 = internal::percentile(latencies, 0.50);
    summary.p90 = internal::percentile(latencies, 0.90);
    summary.p99 = internal::percentile(latencies, 0.99);
    summary.longest = latencies.empty() ? Duration{} : latencies.back();
    const double seconds = std::chrono::duration<double>(length).count();
    summary.goodputPerSecond = seconds > 0 ? static_cast<double>(summary.good) / seconds : 0;
    return summary;
}

std::vector<std::size_t> goodPerSecond(const std::vector<Attempt> &attempts, Duration length)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(length).count();
    std::vector<std::size_t> counts(static_cast<std::size_t>(seconds));
    for (const auto &it : attempts) {
        const auto second = static_cast<std::size_t>(
                std::chrono::floor<std::chrono::seconds>(it.arrival).count());
        if (internal::isGood(it) && second < counts.size())
            ++counts[second];
    }
    return counts;
}

} // namespace dragonflysill
