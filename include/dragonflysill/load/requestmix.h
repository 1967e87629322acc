#pragma once

#include "dragonflysill/base/random.h"
#include "dragonflysill/base/result.h"

#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/** One kind of request of a load. */
struct RequestKind
{
    std::string method; ///< "GET" or "POST".
    std::string path;
    double weight = 1;
    bool hasIdempotencyKey = false; ///< Sent with an Idempotency-Key.
    int bodyBytes = 0;

    bool operator==(const RequestKind &) const = default;
};

/** A weighted choice of request kinds. */
class RequestMix
{
public:
    /**
     * Parses "METHOD PATH [weight=N] [keyed] [body=BYTES]", several separated by commas.
     * @return the mix, or InvalidInput with the part that is wrong
     */
    static Result<RequestMix> parse(std::string_view text);

    /** Chooses a kind with the probability of its weight. */
    const RequestKind &choose(Random &random) const;

    [[nodiscard]] const std::vector<RequestKind> &kinds() const { return m_kinds; }

private:
    std::vector<RequestKind> m_kinds;
    double m_totalWeight = 0;
};

} // namespace dragonflysill
