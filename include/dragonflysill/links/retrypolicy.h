#pragma once

#include "dragonflysill/base/random.h"
#include "dragonflysill/base/time.h"
#include "dragonflysill/links/attempt.h"

#include <cstdint>
#include <optional>

namespace dragonflysill {

/** What is known about a request after a failed attempt. */
struct AttemptHistory
{
    AttemptResult result = AttemptResult::Failed;
    bool byteSent = true; ///< True if a byte of the request may have reached the backend server.
    bool repeatable = false; ///< Whether the route allows a second execution.
    int retries = 0; ///< Retries of this request that were charged to the budget.
    int refusals = 0; ///< Attempts of this request that were refused before start.
    Duration remaining{0}; ///< Time until the deadline.
};

/**
 * Decides about retries. The budget is a token bucket: each request adds a tenth of a token and
 * each retry takes one, so retries add at most 10 % of load. A refusal before start causes no
 * execution and is therefore not charged; its number per request is bounded instead.
 */
class RetryPolicy
{
public:
    static constexpr double budgetRatio = 0.1;
    static constexpr double budgetCapacity = 50; ///< Retries that can be saved up.
    static constexpr int maxRetries = 2;
    static constexpr int maxRefusals = 8;

    explicit RetryPolicy(std::uint64_t seed);

    /** Notes a new request, which adds to the budget. */
    void requestArrived();

    /**
     * Returns how long to wait before the next attempt, or nothing if there must not be one. A
     * request on a route that is not repeatable is never repeated after a byte was sent.
     */
    std::optional<Duration> nextAttempt(const AttemptHistory &history);

private:
    Duration backoff(int retries);

    Random m_random;
    double m_tokens = 0;
};

} // namespace dragonflysill
