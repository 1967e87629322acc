#pragma once

#include "dragonflysill/base/random.h"
#include "dragonflysill/base/time.h"
#include "dragonflysill/links/attempt.h"

#include <cstdint>
#include <optional>

namespace dragonflysill {

/** The state of a request after a failed attempt. */
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
 * Decides about retries. The retry budget is a token bucket: each request adds a tenth of a token
 * and each retry takes one, so retries add at most 10 % to the load. A retry after a refusal before
 * the start takes no token, because the request was not executed; the number of refusals per
 * request is limited instead.
 */
class RetryPolicy
{
public:
    static constexpr double tokensPerRequest = 0.1;
    static constexpr double maxTokens = 50; ///< Retries that can be saved up.
    static constexpr int maxRetries = 2;
    static constexpr int maxRefusals = 8;

    explicit RetryPolicy(std::uint64_t seed);

    /** Adds a new request to the retry budget. */
    void requestArrived();

    /**
     * Returns the delay before the next attempt, or nothing if the request must not be retried. On
     * a route that is not repeatable, a request is never retried after a byte of it was sent,
     * unless the backend server refused it before the start.
     */
    std::optional<Duration> nextAttempt(const AttemptHistory &history);

private:
    Duration backoff(int retries);

    Random m_random;
    double m_tokens = 0;
};

} // namespace dragonflysill
