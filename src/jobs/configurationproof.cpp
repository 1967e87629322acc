#include "dragonflysill/jobs/configurationproof.h"

#include <algorithm>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** While the store discards its history, polls return no changes for up to this time. */
constexpr Duration maxPollSilence = 1000ms;
/** Part of the revocation time that is left unused, for clocks that run at different rates. */
constexpr int clockMarginDivisor = 50;
/** Limits of the time that a poll waits for changes. */
constexpr Duration minPollWait = 100ms;
constexpr Duration maxPollWait = 1000ms;
/** Time for the responses to two polls; a slow store takes up to 240 ms for each. */
constexpr Duration responseTime = 500ms;

} // namespace internal

void ConfigurationProof::pollAnswered(TimePoint sentAt)
{
    add(sentAt - internal::maxPollSilence);
}

void ConfigurationProof::add(TimePoint asOf)
{
    m_asOf = std::max(asOf, m_asOf.value_or(asOf));
}

std::optional<Duration> ConfigurationProof::age(TimePoint now) const
{
    return m_asOf ? std::optional(now - *m_asOf) : std::nullopt;
}

bool ConfigurationProof::covers(Duration revocationTime, TimePoint now) const
{
    return m_asOf && now - *m_asOf < revocationTime - revocationTime / internal::clockMarginDivisor;
}

std::chrono::milliseconds ConfigurationProof::pollWait(const AccessSettings &settings)
{
    // Just before a response, the newest proof is that of the poll before. Half of the revocation
    // time is left for outages of the store.
    const auto maxAge = std::min(settings.configurationTime, settings.revocationTime / 2);
    const auto wait = (maxAge - internal::maxPollSilence - internal::responseTime) / 2;
    return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::clamp(wait, internal::minPollWait, internal::maxPollWait));
}

} // namespace dragonflysill
