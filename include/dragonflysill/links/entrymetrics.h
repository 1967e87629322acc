#pragma once

#include "dragonflysill/links/attempt.h"
#include "dragonflysill/links/claimbatcher.h"
#include "dragonflysill/links/outcome.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <array>
#include <memory>

namespace dragonflysill {

/** The metrics of the request path. Thread-safe; the registry owns the metric objects. */
class EntryMetrics
{
public:
    explicit EntryMetrics(prometheus::Registry &registry);

    void countOutcome(Outcome outcome) { m_outcomes.at(index(outcome))->Increment(); }
    void countFailure(Failure failure) { m_failures.at(index(failure))->Increment(); }
    void countAttempt(AttemptResult result) { m_attempts.at(index(result))->Increment(); }
    void countRetry() { m_retries->Increment(); }

    /** Updates the load gauges; called at intervals, not per request. */
    void setLoad(int inFlight, std::size_t queued);
    /** Updates the claim gauges; called at intervals. */
    void setClaims(const ClaimCounters &counters);

private:
    static constexpr std::size_t outcomeCount = 3;
    static constexpr std::size_t failureCount = 12;
    static constexpr std::size_t attemptCount = 6;

    template <typename Enum>
    static std::size_t index(Enum value)
    {
        return static_cast<std::size_t>(value);
    }

    std::array<prometheus::Counter *, outcomeCount> m_outcomes{};
    std::array<prometheus::Counter *, failureCount> m_failures{};
    std::array<prometheus::Counter *, attemptCount> m_attempts{};
    prometheus::Counter *m_retries = nullptr;
    prometheus::Gauge *m_inFlight = nullptr;
    prometheus::Gauge *m_queued = nullptr;
    prometheus::Gauge *m_claimsGranted = nullptr;
    prometheus::Gauge *m_claimCalls = nullptr;
};

} // namespace dragonflysill
