#include "dragonflysill/links/entrymetrics.h"

#include <string>

namespace dragonflysill {

namespace internal {

constexpr std::array<const char *, 6> attemptNames{"success", "refused", "connect-failed",
                                                   "failed",  "silent",  "abandoned"};

template <typename Enum>
std::string label(std::size_t index)
{
    return std::string(toText(static_cast<Enum>(index)));
}

prometheus::Gauge &addGauge(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace internal

EntryMetrics::EntryMetrics(prometheus::Registry &registry)
{
    auto &outcomes = prometheus::BuildCounter()
                             .Name("dragonflysill_entry_responses_total")
                             .Help("Responses to callers by outcome")
                             .Register(registry);
    for (std::size_t i = 0; i < outcomeCount; ++i)
        m_outcomes.at(i) = &outcomes.Add({{"outcome", internal::label<Outcome>(i)}});
    auto &failures = prometheus::BuildCounter()
                             .Name("dragonflysill_entry_failures_total")
                             .Help("Responses that the entry process made itself, by reason")
                             .Register(registry);
    for (std::size_t i = 0; i < failureCount; ++i)
        m_failures.at(i) = &failures.Add({{"reason", internal::label<Failure>(i)}});
    auto &attempts = prometheus::BuildCounter()
                             .Name("dragonflysill_entry_attempts_total")
                             .Help("Attempts on backend servers by result")
                             .Register(registry);
    for (std::size_t i = 0; i < attemptCount; ++i)
        m_attempts.at(i) = &attempts.Add({{"result", internal::attemptNames.at(i)}});
    m_retries = &prometheus::BuildCounter()
                         .Name("dragonflysill_entry_retries_total")
                         .Help("Attempts after the first that were charged to the retry budget")
                         .Register(registry)
                         .Add({});
    m_inFlight = &internal::addGauge(registry, "dragonflysill_entry_in_flight",
                                     "Requests in flight on backend servers");
    m_queued = &internal::addGauge(registry, "dragonflysill_entry_queued",
                                   "Requests that wait for a backend server");
    m_claimsGranted = &internal::addGauge(registry, "dragonflysill_entry_claims_granted",
                                          "At-most-once claims granted since the start");
    m_claimCalls = &internal::addGauge(registry, "dragonflysill_entry_claim_store_calls",
                                       "Store calls for claims since the start");
}

void EntryMetrics::setClaims(const ClaimCounters &counters)
{
    m_claimsGranted->Set(static_cast<double>(counters.granted));
    m_claimCalls->Set(static_cast<double>(counters.calls));
}

void EntryMetrics::setLoad(int inFlight, std::size_t queued)
{
    m_inFlight->Set(inFlight);
    m_queued->Set(static_cast<double>(queued));
}

} // namespace dragonflysill
